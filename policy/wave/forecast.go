package wave

import "time"

// forecast estimates how long the wave will still take. It assumes that as many
// VMs are out at once as now, or as the window allows if none are, and that each
// stop takes the mean duration of the finished ones. It returns 0 if no VM
// remains.
func (p *planner) forecast() time.Duration {
	remaining := p.progress.Remaining + p.progress.Out
	if remaining == 0 {
		return 0
	}
	width := p.progress.Out
	if width == 0 {
		width = min(p.window(), remaining)
	}
	rounds := (remaining + width - 1) / width
	return time.Duration(rounds) * p.meanStopDuration()
}

package wave

import "time"

// forecast says how long the wave will still take: the VMs not done, as many
// at once as are out now or the window allows, each as long as those before.
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
	return time.Duration(rounds) * p.meanStop()
}

package lang

import (
	"strconv"
	"time"

	"github.com/pumicestage/pumicestage/policy/model"
)

// Bounds on what a job declares, far above any worker there is.
const (
	maxCores    = 1 << 20
	maxMemoryMB = 1 << 30
	maxRunTime  = 366 * 24 * time.Hour
)

// milliPerCore turns cores into the model's thousandths.
const milliPerCore = 1000

func convertSubmit(input string, s *submitLine) (Statement, error) {
	job := model.Job{ID: model.JobID(s.Job.Text), Team: model.TeamName(s.Team.Text), Kind: s.Kind.Text, Class: model.ClassNormal}
	seen := make(map[string]bool)
	for _, p := range s.Parts {
		said := word{Pos: p.Pos, Text: p.Key + p.Flag}
		if seen[said.Text] {
			return nil, atWord(input, said, []string{said.Text + " once"})
		}
		seen[said.Text] = true
		if expected := setPart(&job, p); expected != "" {
			return nil, atWord(input, p.Value, []string{expected})
		}
	}
	return SubmitJob{Reason: reason(s.Reason), Job: job}, nil
}

// setPart takes one part over, and returns what was expected where its value
// makes no sense.
func setPart(job *model.Job, p *submitPart) (expected string) {
	value := p.Value.Text
	switch p.Key + p.Flag {
	case "repeatable":
		job.Repeatable = true
	case "checkpoints":
		job.Checkpoints = true
	case "spread":
		job.SpreadByRack = true
	case "pool":
		job.Pool = model.PoolName(value)
	case "zone":
		job.Zone = model.ZoneName(value)
	case "class":
		class, ok := model.ParseClass(value)
		job.Class = class
		return unless(ok, "urgent, normal or deferrable")
	case "cpu":
		cores, err := strconv.ParseFloat(value, 64)
		job.Declared.MilliCPU = int64(cores * milliPerCore)
		return unless(err == nil && cores > 0 && cores <= maxCores, "a number of cores above 0, such as 4 or 0.5")
	case "memory-mb":
		job.Declared.MemoryMB = int64(whole(value))
		return unless(whole(value) >= 0 && whole(value) <= maxMemoryMB, "a whole number of mebibytes")
	case "accelerators":
		job.Declared.Accelerators = int64(whole(value))
		return unless(whole(value) >= 0 && whole(value) <= maxCores, "a whole number of devices")
	case "run-time":
		d, err := time.ParseDuration(value)
		job.RunTime = d
		return unless(err == nil && d > 0 && d <= maxRunTime, "a duration such as 10m")
	}
	return ""
}

// whole returns the number, or -1 where the text is none.
func whole(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		return -1
	}
	return n
}

func unless(ok bool, expected string) string {
	if ok {
		return ""
	}
	return expected
}

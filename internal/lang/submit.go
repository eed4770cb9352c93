package lang

import (
	"strconv"
	"time"

	"github.com/pumicestage/pumicestage/policy/model"
)

// Limits on the resources and run time that a job may declare. They only reject
// nonsensical values: they are far above the capacity of any worker.
const (
	maxCores    = 1 << 20
	maxMemoryMB = 1 << 30
	maxRunTime  = 366 * 24 * time.Hour
)

// milliPerCore converts cores to thousandths of a core, the unit of the model.
const milliPerCore = 1000

// convertSubmit converts a submit statement. Each option may be given once.
func convertSubmit(input string, s *submitLine) (Statement, error) {
	job := model.Job{ID: model.JobID(s.Job.Text), Team: model.TeamName(s.Team.Text), Kind: s.Kind.Text, Class: model.ClassNormal}
	seen := make(map[string]bool)
	for _, p := range s.Options {
		option := word{Pos: p.Pos, Text: p.Key + p.Flag}
		if seen[option.Text] {
			return nil, errorAtWord(input, option, []string{option.Text + " once"})
		}
		seen[option.Text] = true
		if expected := setOption(&job, p); expected != "" {
			return nil, errorAtWord(input, p.Value, []string{expected})
		}
	}
	return SubmitJob{Reason: reason(s.Reason), Job: job}, nil
}

// setOption sets one option of the job. If the option's value is invalid, it
// returns a description of the expected value, and "" otherwise.
func setOption(job *model.Job, p *submitOption) (expected string) {
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
		return expectedUnless(ok, "urgent, normal or deferrable")
	case "cpu":
		cores, err := strconv.ParseFloat(value, 64)
		job.Declared.MilliCPU = int64(cores * milliPerCore)
		return expectedUnless(err == nil && cores > 0 && cores <= maxCores, "a number of cores above 0, such as 4 or 0.5")
	case "memory-mb":
		job.Declared.MemoryMB = int64(parseCount(value))
		return expectedUnless(parseCount(value) >= 0 && parseCount(value) <= maxMemoryMB, "a whole number of mebibytes")
	case "accelerators":
		job.Declared.Accelerators = int64(parseCount(value))
		return expectedUnless(parseCount(value) >= 0 && parseCount(value) <= maxCores, "a whole number of devices")
	case "run-time":
		d, err := time.ParseDuration(value)
		job.RunTime = d
		return expectedUnless(err == nil && d > 0 && d <= maxRunTime, "a duration such as 10m")
	}
	return ""
}

// parseCount returns the whole number, or -1 if the text is not one.
func parseCount(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		return -1
	}
	return n
}

// expectedUnless returns expected unless ok, and "" otherwise.
func expectedUnless(ok bool, expected string) string {
	if ok {
		return ""
	}
	return expected
}

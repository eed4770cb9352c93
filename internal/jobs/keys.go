package jobs

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/policy/model"
)

const (
	// groupPrefix holds one key per group of jobs.
	groupPrefix = infra.JobPrefix + "g/"
	// learnedKey holds the learnedState: the usage of job kinds and the failures of
	// workers.
	learnedKey = infra.JobPrefix + "learned"
	// leaseKey names the lease holder: the entry VM that does the passes.
	leaseKey = infra.ShardPrefix + "jobs"

	// groupSize is how many jobs share a key. A record has at most about 6 KB and
	// usually 700 bytes, so a group stays below 400 KB, and one write of a group
	// can place up to 64 jobs.
	groupSize = 64
)

// jobID returns the ID of the nth job of a submit. The job's key follows from its
// ID, so finding one of 20,000 jobs needs neither an index nor a search.
func jobID(change model.ChangeID, n int) model.JobID {
	return model.JobID(fmt.Sprintf("%s.%d", change, n))
}

// keyOf returns the key of the job's group and its index in the group, or false if
// the ID is malformed.
func keyOf(id model.JobID) (key string, at int, ok bool) {
	dot := strings.LastIndexByte(string(id), '.')
	if dot <= 0 {
		return "", 0, false
	}
	n, err := strconv.Atoi(string(id)[dot+1:])
	if err != nil || n < 0 {
		return "", 0, false
	}
	return groupKey(model.ChangeID(id[:dot]), n/groupSize), n % groupSize, true
}

func groupKey(change model.ChangeID, n int) string {
	return fmt.Sprintf("%s%s/%05d", groupPrefix, change, n)
}

package jobs

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/policy/model"
)

const (
	maxNameBytes  = 128  // bytes of a job's team, kind, pool or zone
	maxSubmitJobs = 5000 // jobs in one submit
	digestBytes   = 16   // bytes of a submission's digest
)

// Submit stores the jobs and returns their IDs, in order. It sets the fields ID
// and SubmittedAt. The change ID makes it idempotent: a repeat returns the same
// IDs and adds nothing; an empty one is replaced by a new ID. Errors are *Refusal,
// after which nothing is stored, or *Error. After an *Error that is Uncertain, or any
// *Error for a batch of more than one group, the first jobs may be stored, and a
// repeat under the same change ID stores the rest.
func (j *Jobs) Submit(ctx context.Context, change model.ChangeID, all []model.Job) ([]model.JobID, error) {
	if change == "" {
		change = j.changeID()
	}
	if err := j.validate(change, all); err != nil {
		return nil, err
	}
	ids := make([]model.JobID, len(all))
	digest, err := submissionDigest(all)
	if err != nil {
		return nil, wrapError("encode jobs", change, infra.Errorf("encode", infra.KindInvalid, "%w", err))
	}
	var parts []*submission
	for from := 0; from < len(all); from += groupSize {
		g := &group{Change: change, Submission: digest}
		for i, job := range all[from:min(from+groupSize, len(all))] {
			job.ID, job.SubmittedAt = jobID(change, from+i), j.clock.Now().UTC()
			ids[from+i] = job.ID
			r := Record{Job: job}
			r.enter(Waiting, job.SubmittedAt, "")
			g.Jobs = append(g.Jobs, r)
		}
		part, err := newSubmission(groupKey(change, from/groupSize), g)
		if err != nil {
			return nil, err
		}
		if len(parts) > 0 {
			part.previous = parts[len(parts)-1]
		}
		parts = append(parts, part)
	}
	if err := j.batcher.add(ctx, j, parts); err != nil {
		return nil, err
	}
	j.urgent.add(ids, all, j.clock.Now())
	j.Wake()
	return ids, nil
}

// submissionDigest returns text that is equal only for submits of the same jobs.
func submissionDigest(all []model.Job) (string, error) {
	jobs := slices.Clone(all)
	for i := range jobs {
		jobs[i].ID, jobs[i].SubmittedAt = "", time.Time{}
	}
	raw, err := json.Marshal(jobs)
	if err != nil {
		return "", err
	}
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:digestBytes]), nil
}

// validate returns a *Refusal if the change ID, the number of jobs or a job is
// invalid.
func (j *Jobs) validate(change model.ChangeID, all []model.Job) error {
	if !validChangeID(string(change)) {
		return &Refusal{Code: CodeInvalid, Field: "change", Detail: "want 1 to 64 of a-z, A-Z, 0-9, '-' and '_'"}
	}
	if len(all) == 0 || len(all) > maxSubmitJobs {
		return &Refusal{Code: CodeInvalid, Field: "jobs", Detail: fmt.Sprintf("%d jobs, 1 to %d may be submitted at once", len(all), maxSubmitJobs)}
	}
	teams := make(map[model.TeamName]bool)
	if d := j.view.Load().Declaration; d != nil {
		for _, t := range d.Teams {
			teams[t.Name] = true
		}
	}
	for i := range all {
		if field, detail := invalidField(&all[i], teams); field != "" {
			return &Refusal{Code: CodeInvalid, Field: fmt.Sprintf("jobs[%d].%s", i, field), Detail: detail}
		}
	}
	return nil
}

// invalidField returns the first invalid field of the job and what is wrong with
// it, or "" if the job is valid. An empty teams admits every team.
func invalidField(job *model.Job, teams map[model.TeamName]bool) (field, detail string) {
	names := []struct{ field, value string }{
		{"team", string(job.Team)}, {"kind", job.Kind}, {"pool", string(job.Pool)}, {"zone", string(job.Zone)},
	}
	for _, n := range names {
		if len(n.value) > maxNameBytes {
			return n.field, fmt.Sprintf("longer than %d bytes", maxNameBytes)
		}
	}
	switch d := job.Declared; {
	case job.Team == "":
		return "team", "missing"
	case len(teams) > 0 && !teams[job.Team]:
		return "team", fmt.Sprintf("no team %q is declared", job.Team)
	case job.Kind == "":
		return "kind", "missing"
	case d.MilliCPU < 0 || d.MemoryMB < 0 || d.Accelerators < 0 || d == (model.Resources{}):
		return "declared", "processors, memory and accelerators must not be negative, and not all zero"
	case job.Class < model.ClassDeferrable || job.Class > model.ClassUrgent:
		return "class", "must be urgent, normal or deferrable"
	}
	return "", ""
}

func validChangeID(s string) bool {
	if s == "" || len(s) > 64 {
		return false
	}
	for _, c := range s {
		alpha := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z'
		if !alpha && !('0' <= c && c <= '9') && c != '-' && c != '_' {
			return false
		}
	}
	return true
}

// submitBatcher combines groups that callers submit concurrently into shared
// transactions: groups that arrive during a transaction are part of the next one.
type submitBatcher struct {
	mu       sync.Mutex
	queue    []*submission
	flushing bool
}

// submission is a new group that waits to be written.
type submission struct {
	key   string
	group *group
	value []byte     // group, encoded
	done  chan error // receives the result of the write
	// previous is the group before this one in the same submit; nil if it is the
	// first. A group is not written if the previous one was not.
	previous *submission
	err      error // the result of the write, once it is known
}

// finish passes the result of the write on.
func (s *submission) finish(err error) {
	s.err = err
	s.done <- err
}

func newSubmission(key string, g *group) (*submission, error) {
	value, err := json.Marshal(g)
	if err != nil {
		return nil, wrapError("encode jobs", g.Change, infra.Errorf("encode", infra.KindInvalid, "%w", err))
	}
	return &submission{key: key, group: g, value: value, done: make(chan error, 1)}, nil
}

// add queues the parts for writing, waits for all of them, and returns the first
// error. If ctx ends first it is not known whether the parts are written.
func (s *submitBatcher) add(ctx context.Context, j *Jobs, parts []*submission) error {
	s.mu.Lock()
	s.queue = append(s.queue, parts...)
	startFlush := !s.flushing
	s.flushing = true
	s.mu.Unlock()
	if startFlush {
		go s.flush(context.WithoutCancel(ctx), j)
	}
	for _, part := range parts {
		select {
		case err := <-part.done:
			if err != nil {
				return err
			}
		case <-ctx.Done():
			return wrapError("submit", part.group.Change, infra.Errorf("submit", infra.KindUnknown, "%w", ctx.Err()))
		}
	}
	return nil
}

// flush writes batches until the queue is empty.
func (s *submitBatcher) flush(ctx context.Context, j *Jobs) {
	for {
		batch := s.take()
		if len(batch) == 0 {
			return
		}
		j.create(ctx, batch)
	}
}

// take removes and returns as many groups from the queue as fit into a transaction.
// If there are none, the next add starts a new flush.
func (s *submitBatcher) take() []*submission {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, bytes := 0, 0
	for n < len(s.queue) && n < maxTxnGroups && (n == 0 || bytes+len(s.queue[n].value) <= maxTxnBytes) {
		bytes += len(s.queue[n].value)
		n++
	}
	batch := s.queue[:n:n]
	s.queue = s.queue[n:]
	s.flushing = n > 0
	return batch
}

// submitTimeout bounds one write of submitted jobs, repeats included.
const submitTimeout = 5 * time.Second

// create writes new groups in one transaction. If one of them exists already,
// each is written in a transaction of its own, so that a repeated submit doesn't
// fail the others. Groups whose submit has failed are left out.
func (j *Jobs) create(ctx context.Context, batch []*submission) {
	batch = withoutFailed(batch)
	if len(batch) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	txn := infra.Txn{}
	for _, s := range batch {
		txn.If = append(txn.If, infra.Cond{Key: s.key})
		txn.Then = append(txn.Then, infra.Put(s.key, s.value))
	}
	res, err := j.commit(ctx, txn)
	switch {
	case err == nil:
		for _, s := range batch {
			j.mirror.put(s.key, storedGroup{group: s.group, rev: res.Revision})
			s.finish(nil)
		}
	case infra.IsKind(err, infra.KindConflict) && len(batch) > 1:
		for _, s := range batch {
			j.create(ctx, []*submission{s})
		}
	case infra.IsKind(err, infra.KindConflict):
		batch[0].finish(j.resolveRepeat(batch[0], res))
	default:
		for _, s := range batch {
			s.finish(wrapError("submit", s.group.Change, err))
		}
	}
}

// withoutFailed returns the groups whose previous group, if any, was written or is
// written with them. The others fail as that one did.
func withoutFailed(batch []*submission) []*submission {
	var out []*submission
	for _, s := range batch {
		if s.previous != nil && s.previous.err != nil {
			s.finish(s.previous.err)
			continue
		}
		out = append(out, s)
	}
	return out
}

// resolveRepeat returns nil if the group that is already stored has the same jobs,
// and a *Refusal with CodeConflict otherwise.
func (j *Jobs) resolveRepeat(s *submission, res infra.TxnResult) error {
	if len(res.Reads) == 0 {
		return wrapError("submit", s.group.Change, infra.Errorf("submit", infra.KindUnknown, "not read back"))
	}
	existing, err := decode(res.Reads[0])
	if err != nil {
		return err
	}
	j.mirror.put(s.key, existing)
	same := len(existing.Jobs) == len(s.group.Jobs) && (existing.Submission == "" || existing.Submission == s.group.Submission)
	for i := 0; same && i < len(existing.Jobs); i++ {
		a, b := existing.Jobs[i].Job, s.group.Jobs[i].Job
		a.SubmittedAt = b.SubmittedAt
		same = a == b
	}
	if !same {
		return &Refusal{Code: CodeConflict, Field: "change", Detail: "this change ID was used for other jobs"}
	}
	return nil
}

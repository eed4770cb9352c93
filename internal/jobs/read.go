package jobs

import (
	"cmp"
	"context"
	"slices"

	"github.com/pumicestage/pumicestage/policy/model"
)

// List returns all stored jobs, sorted by ID. Ended jobs are included until they
// are deleted after endedRetention.
func (j *Jobs) List(ctx context.Context) ([]Record, error) {
	if err := j.mirror.refresh(ctx); err != nil {
		return nil, err
	}
	var out []Record
	for _, g := range j.mirror.all() {
		out = append(out, g.Jobs...)
	}
	slices.SortFunc(out, func(a, b Record) int { return cmp.Compare(a.ID, b.ID) })
	return out, nil
}

// Get returns one job, or a *Refusal with CodeNotFound if it doesn't exist.
func (j *Jobs) Get(ctx context.Context, id model.JobID) (Record, error) {
	if err := j.fetch(ctx, []model.JobID{id}); err != nil {
		return Record{}, err
	}
	r, ok := j.mirror.find(id)
	if !ok {
		return Record{}, &Refusal{Code: CodeNotFound, Detail: "no job " + string(id)}
	}
	return *r, nil
}

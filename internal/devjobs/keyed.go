package devjobs

import (
	"context"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/pumicestage/pumicestage/internal/sleep"
	"github.com/pumicestage/pumicestage/platform/standin"
)

const (
	// keyedEvery is after how many jobs of the open route one of the workspace is handed in.
	keyedEvery = 6
	// revokeAfter is after how many of these its first key is taken away.
	revokeAfter = 8
	// firstKeyed is the number of the first of these jobs.
	firstKeyed = 10_000
	// revokedVersion is of the configuration that takes the key away.
	revokedVersion = firstVersion + 1
)

// keyedPlay hands in jobs of a workspace near its limit and takes a key of it away meanwhile.
type keyedPlay struct {
	accepted    int
	servedAgain int           // calls with the revoked key by an entry VM that had refused it
	revoked     time.Duration // until every entry VM refused it
}

func (k *keyedPlay) step(ctx context.Context, d *Deployment) error {
	caller := exampleKeyed
	if k.accepted > revokeAfter {
		caller.Key = exampleWorkspace.Keys[1]
	}
	if k.accepted == revokeAfter {
		if err := k.revoke(ctx, d); err != nil {
			return err
		}
		caller.Key = exampleWorkspace.Keys[1]
	}
	job := standin.Job{ID: standin.JobID(firstKeyed + k.accepted), Spec: onceSpec, Tasks: onceTasks}
	d.Platform.Recorder.SetWorkspace(job.ID, exampleWorkspace.Name)
	if err := d.handInBy(ctx, &caller, job, k.accepted); err != nil {
		return err
	}
	k.accepted++
	return nil
}

// revoke takes the first key away and waits until every entry VM refuses it.
func (k *keyedPlay) revoke(ctx context.Context, d *Deployment) error {
	later := exampleWorkspace
	later.Keys = later.Keys[1:]
	if err := d.Platform.ConfigureWorkspaces(revokedVersion, exampleServices, exampleQueues, []standin.Workspace{later}); err != nil {
		return trace.Wrap(err)
	}
	began := time.Now()
	refused := make(map[string]bool)
	for len(refused) < len(d.Entries) {
		for _, e := range d.Entries {
			status, _, err := exampleKeyed.Call(ctx, e.Callers, http.MethodGet, standin.JobID(firstKeyed), "")
			switch {
			case err != nil:
				return err
			case status == http.StatusUnauthorized:
				refused[e.Name] = true
			case refused[e.Name]:
				k.servedAgain++
			}
		}
		if !sleep.For(ctx, look) {
			return trace.LimitExceeded("the revoked key is refused by %d of %d entry VMs", len(refused), len(d.Entries))
		}
	}
	k.revoked = time.Since(began)
	return nil
}

// finish waits for the jobs.
func (k *keyedPlay) finish(ctx context.Context, d *Deployment) error {
	caller := exampleKeyed
	caller.Key = exampleWorkspace.Keys[1]
	for n := range k.accepted {
		for {
			state, err := caller.State(ctx, d.Entries[0].Callers, standin.JobID(firstKeyed+n))
			if err == nil && state == "completed" {
				break
			}
			if !sleep.For(ctx, look) {
				return trace.LimitExceeded("job %d of the workspace is %q", n, state)
			}
		}
	}
	return nil
}

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
	// openJobsPerKeyedJob is the number of jobs submitted without a key for each job that is
	// submitted with a key of the workspace.
	openJobsPerKeyedJob = 6
	// jobsBeforeRevocation is the number of jobs submitted with the workspace's first key
	// before that key is revoked.
	jobsBeforeRevocation = 8
	// firstKeyedJob is the number of the first job submitted with a key, above those of all
	// other jobs.
	firstKeyedJob = 10_000
	// revokedConfigVersion is the version of the configuration without the revoked key.
	revokedConfigVersion = initialConfigVersion + 1
)

// keyedLoad submits jobs of a workspace that runs near its limit, and revokes one of the
// workspace's keys in between.
type keyedLoad struct {
	accepted           int
	servedAfterRefusal int           // calls served with the revoked key by an entry VM that had refused it before
	revocationTime     time.Duration // from the new configuration until every entry VM refused the key
}

// submitNext submits the workspace's next job, and revokes the first key first once
// jobsBeforeRevocation jobs are accepted.
func (k *keyedLoad) submitNext(ctx context.Context, d *Deployment) error {
	caller := exampleKeyedCaller
	if k.accepted > jobsBeforeRevocation {
		caller.Key = exampleWorkspace.Keys[1]
	}
	if k.accepted == jobsBeforeRevocation {
		if err := k.revokeKey(ctx, d); err != nil {
			return err
		}
		caller.Key = exampleWorkspace.Keys[1]
	}
	job := standin.Job{ID: standin.JobID(firstKeyedJob + k.accepted), Spec: onceSpec, Tasks: onceTasks}
	d.Platform.Recorder.SetWorkspace(job.ID, exampleWorkspace.Name)
	if err := d.submitAs(ctx, &caller, job, k.accepted); err != nil {
		return err
	}
	k.accepted++
	return nil
}

// revokeKey revokes the workspace's first key and waits until every entry VM refuses it.
func (k *keyedLoad) revokeKey(ctx context.Context, d *Deployment) error {
	later := exampleWorkspace
	later.Keys = later.Keys[1:]
	if err := d.Platform.ConfigureWorkspaces(revokedConfigVersion, exampleServices, exampleQueues, []standin.Workspace{later}); err != nil {
		return trace.Wrap(err)
	}
	began := time.Now()
	refused := make(map[string]bool)
	for len(refused) < len(d.Entries) {
		for _, e := range d.Entries {
			status, _, err := exampleKeyedCaller.Call(ctx, e.Callers, http.MethodGet, standin.JobID(firstKeyedJob), "")
			switch {
			case err != nil:
				return err
			case status == http.StatusUnauthorized:
				refused[e.Name] = true
			case refused[e.Name]:
				k.servedAfterRefusal++
			}
		}
		if !sleep.For(ctx, pollInterval) {
			return trace.LimitExceeded("the revoked key is refused by %d of %d entry VMs", len(refused), len(d.Entries))
		}
	}
	k.revocationTime = time.Since(began)
	return nil
}

// awaitJobs waits for the jobs.
func (k *keyedLoad) awaitJobs(ctx context.Context, d *Deployment) error {
	caller := exampleKeyedCaller
	caller.Key = exampleWorkspace.Keys[1]
	for n := range k.accepted {
		for {
			state, err := caller.State(ctx, d.Entries[0].Callers, standin.JobID(firstKeyedJob+n))
			if err == nil && state == "completed" {
				break
			}
			if !sleep.For(ctx, pollInterval) {
				return trace.LimitExceeded("job %d of the workspace is %q", n, state)
			}
		}
	}
	return nil
}

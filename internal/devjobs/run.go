package devjobs

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/pumicestage/pumicestage/internal/sleep"
	"github.com/pumicestage/pumicestage/platform/standin"
)

// The example deployment: one service with eight VMs and two that stand by.
var (
	exampleServices = []standin.Service{{Name: "weighting", VMs: 8, Slots: 6}, {Name: "spare", Standby: true, VMs: 2, Slots: 6}}
	example         = standin.Caller{Host: "jobs.example", Prefix: "/weights/"}
	exampleKeyed    = standin.Caller{Host: example.Host, Prefix: "/checks/", Key: "key-1"}
	exampleQueues   = []standin.Queue{
		{Name: "weights", Host: example.Host, Prefix: example.Prefix, Service: "weighting", Attempts: 3},
		{Name: "checks", Host: exampleKeyed.Host, Prefix: exampleKeyed.Prefix, Service: "weighting", Attempts: 3, RequiresKey: true},
	}
	exampleWorkspace = standin.Workspace{Name: "red", Keys: []string{exampleKeyed.Key, "key-2"}, Weight: 1, Tasks: 6}
)

const (
	exampleEntries = 4
	exampleWave    = 1
	waveAtATime    = 2
	// The load of Once: so many jobs, handed in at this pace. It loads the
	// example's 48 slots to about a half.
	onceJobs  = 120
	oncePace  = 25 * time.Millisecond
	onceSpec  = "150ms"
	onceTasks = 4
	// onceRestarts is how many workers start again under their IDs meanwhile.
	onceRestarts = 2
	// oncePatience ends Once where something does not come.
	oncePatience = 60 * time.Second
	// look separates looks at what is awaited.
	look = 20 * time.Millisecond
	// callerTries is how often a caller repeats what was not accepted.
	callerTries = 20
)

// ErrBroken: a promise did not hold.
var ErrBroken = errors.New("devjobs: a promise broke")

func exampleOptions(log io.Writer, fixed bool) Options {
	return Options{Services: exampleServices, Queues: exampleQueues, Workspaces: []standin.Workspace{exampleWorkspace}, Entries: exampleEntries, Log: log, FixedPorts: fixed}
}

// Serve runs the example deployment until ctx ends.
func Serve(ctx context.Context, out, log io.Writer) error {
	d, err := Start(exampleOptions(log, true))
	if err != nil {
		return err
	}
	for _, e := range d.Entries {
		fmt.Fprintf(out, "%s: callers %s, counters and explanations %s\n", e.Name, e.Callers, e.Metrics)
	}
	fmt.Fprintf(out, "\nhand a job in:\n  curl -i -H 'Host: %s' -d '%s' http://%s%s%s\n", example.Host, standin.Job{Spec: "20s", Tasks: 4}.Body(),
		d.Entries[0].Callers, example.Prefix, standin.JobID(0))
	fmt.Fprintf(out, "and see where it stands:\n  pumicestage explain job %s --entry %s\n", standin.JobID(0), d.Entries[1].Metrics)
	<-ctx.Done()
	return d.Close()
}

// settingsExample is a whole settings file of an entry VM on the stand-in; the name, the
// addresses of the store and the VM service, and ports are filled in.
const settingsExample = `[entry]
name = entry-0
zone = z1
address = 127.0.0.1
callers = %s
ready = %s
metrics = %s
peer-port-first = %d
peer-port-last = %d
[store]
address = %s
[vms]
address = %s
[advisor]
address = %s
[limits]
cpu-share = %g
memory-mb = %d
shutdown-s = %d
max-lease-ms = %d
stop-grace-ms = %d
status-s = %d
room-known-ms = %d
`

// Ports of the example's settings beside the callers' and the metrics'.
const (
	exampleReady = 18380
	examplePeers = 18480
)

// ServePlatform runs the stand-in of the platform alone until ctx ends, for entry
// daemons that are processes of their own, and prints settings for one.
func ServePlatform(ctx context.Context, out io.Writer) error {
	p, err := standin.New(exampleServices, exampleQueues)
	if err != nil {
		return trace.Wrap(err)
	}
	defer p.Close()
	fmt.Fprintf(out, settingsExample, fixed(FirstCallers), fixed(exampleReady), fixed(FirstMetrics), examplePeers, examplePeers,
		p.StoreAddress, p.VMAddress, p.AdvisorAddress, cpuShare, memoryMB, int(shutdown.Seconds()), maxLease.Milliseconds(), stopGrace.Milliseconds(), int(status.Seconds()), roomWithin.Milliseconds())
	<-ctx.Done()
	return nil
}

// Once runs a load on the example deployment, with a maintenance wave over all VMs and
// the loss of an entry VM after the other meanwhile, and reports. ErrBroken: a job did
// not complete, or something ran twice.
func Once(ctx context.Context, out, log io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, oncePatience)
	defer cancel()
	d, err := Start(exampleOptions(log, false))
	if err != nil {
		return err
	}
	r, err := d.play(ctx)
	if err := errors.Join(err, d.Close()); err != nil {
		return err
	}
	return r.print(out)
}

// report is what Once saw.
type report struct {
	jobs, completed int
	accepted        time.Duration // from the first try to the last acceptance
	finished        time.Duration // until the last job was shown as completed
	wave            time.Duration
	done            int // runs that ended well, by the workers' count
	twice           []string
	keyed           keyedPlay
	over            []string // starts above the workspace's limit
}

func (d *Deployment) play(ctx context.Context) (*report, error) {
	r := &report{jobs: onceJobs}
	began := time.Now()
	if err := d.Platform.OrderWave(exampleWave, waveAtATime); err != nil {
		return nil, trace.Wrap(err)
	}
	var keyed keyedPlay
	for i := range onceJobs {
		if i%keyedEvery == 0 {
			if err := keyed.step(ctx, d); err != nil {
				return nil, err
			}
		}
		if i == onceJobs/3 || i == 2*onceJobs/3 {
			if err := d.StopFirst(); err != nil {
				return nil, err
			}
		}
		if i == onceJobs/2 {
			if err := d.restartWorkers(); err != nil {
				return nil, err
			}
		}
		if err := d.handIn(ctx, standin.Job{ID: standin.JobID(i), Spec: onceSpec, Tasks: onceTasks}, i); err != nil {
			return nil, err
		}
		sleep.For(ctx, oncePace)
	}
	r.accepted = time.Since(began)
	for i := range onceJobs {
		if err := d.await(ctx, standin.JobID(i), r); err != nil {
			return nil, err
		}
	}
	r.finished = time.Since(began)
	if err := keyed.finish(ctx, d); err != nil {
		return nil, err
	}
	r.keyed = keyed
	for d.Platform.WaveState(exampleWave) != "completed" {
		if !sleep.For(ctx, look) {
			return nil, trace.LimitExceeded("the wave is not completed after %s", oncePatience)
		}
	}
	r.wave = time.Since(began)
	r.done, r.twice = d.Platform.Recorder.CompletedRuns(), d.Platform.Recorder.DuplicateRuns()
	r.over = d.Platform.Recorder.LimitViolations()
	return r, nil
}

// restartWorkers ends the lives of some workers unannounced, where they are not away for their
// maintenance; the next begin under their IDs.
func (d *Deployment) restartWorkers() error {
	for vm := range onceRestarts {
		if err := d.Platform.RestartWorker(vm); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// handIn hands the job in as callers do: again, at another entry VM, until it is
// accepted.
func (d *Deployment) handIn(ctx context.Context, j standin.Job, first int) error {
	return d.handInBy(ctx, &example, j, first)
}

func (d *Deployment) handInBy(ctx context.Context, from *standin.Caller, j standin.Job, first int) error {
	for try := range callerTries {
		status, err := from.Submit(ctx, d.Entries[(first+try)%len(d.Entries)].Callers, j)
		if err == nil && status == http.StatusOK {
			return nil
		}
		sleep.For(ctx, look)
	}
	return trace.ConnectionProblem(nil, "job %s was not accepted in %d tries", j.ID, callerTries)
}

func (d *Deployment) await(ctx context.Context, id string, r *report) error {
	for {
		state, err := example.State(ctx, d.Entries[0].Callers, id)
		if err == nil && state == "completed" {
			r.completed++
			return nil
		}
		if !sleep.For(ctx, look) {
			return trace.LimitExceeded("job %s is %q after %s", id, state, oncePatience)
		}
	}
}

func (r *report) print(out io.Writer) error {
	fmt.Fprintf(out, "jobs completed        %d of %d, the last after %.1f s\n", r.completed, r.jobs, r.finished.Seconds())
	fmt.Fprintf(out, "tasks done            %d\n", r.done)
	fmt.Fprintf(out, "tasks run twice       %d\n", len(r.twice))
	fmt.Fprintf(out, "starts over a limit   %d, by a workspace of %d tasks that has %d jobs of %d\n", len(r.over), exampleWorkspace.Tasks, r.keyed.accepted, onceTasks+1)
	fmt.Fprintf(out, "revoked key           refused by all entry VMs after %.2f s, served again %d times\n", r.keyed.revoked.Seconds(), r.keyed.servedAgain)
	fmt.Fprintf(out, "entry VMs shut down   2 of %d under the load of %.1f s\n", exampleEntries, r.accepted.Seconds())
	fmt.Fprintf(out, "workers that crashed  %d at the most, and began again under their IDs\n", onceRestarts)
	fmt.Fprintf(out, "maintenance wave      all %d VMs in %.1f s\n", exampleVMs(), r.wave.Seconds())
	if r.completed != r.jobs || len(r.twice) > 0 || r.done < (r.jobs+r.keyed.accepted)*(onceTasks+1) ||
		len(r.over) > 0 || r.keyed.servedAgain > 0 {
		return ErrBroken
	}
	return nil
}

func exampleVMs() (n int) {
	for _, s := range exampleServices {
		n += s.VMs
	}
	return n
}

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

// The example deployment: a service with eight VMs and one with two standby VMs.
var (
	exampleServices    = []standin.Service{{Name: "weighting", VMs: 8, Slots: 6}, {Name: "spare", Standby: true, VMs: 2, Slots: 6}}
	exampleCaller      = standin.Caller{Host: "jobs.example", Prefix: "/weights/"}
	exampleKeyedCaller = standin.Caller{Host: exampleCaller.Host, Prefix: "/checks/", Key: "key-1"}
	exampleQueues      = []standin.Queue{
		{Name: "weights", Host: exampleCaller.Host, Prefix: exampleCaller.Prefix, Service: "weighting", Attempts: 3},
		{Name: "checks", Host: exampleKeyedCaller.Host, Prefix: exampleKeyedCaller.Prefix, Service: "weighting", Attempts: 3, RequiresKey: true},
	}
	exampleWorkspace = standin.Workspace{Name: "red", Keys: []string{exampleKeyedCaller.Key, "key-2"}, Weight: 1, Tasks: 6}
)

const (
	exampleEntries  = 4
	exampleWave     = 1
	waveParallelVMs = 2
	// The load of Once: onceJobs jobs, one submitted per onceSubmitInterval. They use
	// about half of the example's 48 slots.
	onceJobs           = 120
	onceSubmitInterval = 25 * time.Millisecond
	onceSpec           = "150ms"
	onceTasks          = 4
	// onceRestarts is the number of workers that are restarted under the same IDs
	// during the load.
	onceRestarts = 2
	// onceTimeout is the time after which Once fails.
	onceTimeout = 60 * time.Second
	// pollInterval is the time between two queries of a state that is awaited, and
	// between two attempts to submit a job.
	pollInterval = 20 * time.Millisecond
	// maxSubmitAttempts is the number of times that a job is submitted before it counts
	// as not accepted.
	maxSubmitAttempts = 20
)

// ErrCheckFailed is returned by Once if a job did not complete, a task ran twice, a
// workspace's limit was exceeded, or a key was accepted again after it was refused.
var ErrCheckFailed = errors.New("devjobs: a promise broke")

func exampleOptions(log io.Writer, fixed bool) Options {
	return Options{Services: exampleServices, Queues: exampleQueues, Workspaces: []standin.Workspace{exampleWorkspace}, Entries: exampleEntries, Log: log, FixedPorts: fixed}
}

// Serve runs the example deployment until ctx ends. It prints the entry VMs' addresses and
// example commands to out; the entry VMs log to log.
func Serve(ctx context.Context, out, log io.Writer) error {
	d, err := Start(exampleOptions(log, true))
	if err != nil {
		return err
	}
	for _, e := range d.Entries {
		fmt.Fprintf(out, "%s: callers %s, counters and explanations %s\n", e.Name, e.Callers, e.Metrics)
	}
	fmt.Fprintf(out, "\nhand a job in:\n  curl -i -H 'Host: %s' -d '%s' http://%s%s%s\n", exampleCaller.Host, standin.Job{Spec: "20s", Tasks: 4}.Body(),
		d.Entries[0].Callers, exampleCaller.Prefix, standin.JobID(0))
	fmt.Fprintf(out, "and see where it stands:\n  pumicestage explain job %s --entry %s\n", standin.JobID(0), d.Entries[1].Metrics)
	<-ctx.Done()
	return d.Close()
}

// settingsTemplate is the format of a complete settings file of an entry VM that uses the
// stand-in. ServePlatform fills in the addresses, ports and limits.
const settingsTemplate = `[entry]
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

// Ports in the example settings, besides FirstCallerPort and FirstMetricsPort.
const (
	exampleReadyPort = 18380
	examplePeerPort  = 18480
)

// ServePlatform runs only the stand-in of the platform until ctx ends, for entry daemons
// that run as separate processes, and prints settings for one of them to out.
func ServePlatform(ctx context.Context, out io.Writer) error {
	p, err := standin.New(exampleServices, exampleQueues)
	if err != nil {
		return trace.Wrap(err)
	}
	defer p.Close()
	fmt.Fprintf(out, settingsTemplate, loopbackAddress(FirstCallerPort), loopbackAddress(exampleReadyPort), loopbackAddress(FirstMetricsPort), examplePeerPort, examplePeerPort,
		p.StoreAddress, p.VMAddress, p.AdvisorAddress, cpuShare, memoryMB, int(shutdownTimeout.Seconds()), maxLease.Milliseconds(), stopGrace.Milliseconds(), int(statusRetention.Seconds()), maxCapacityAge.Milliseconds())
	<-ctx.Done()
	return nil
}

// Once runs a load on the example deployment and prints a report to out. During the load
// a maintenance wave goes over all VMs, two entry VMs are shut down one after the other,
// workers restart and a key is revoked. Once returns ErrCheckFailed if the report shows a
// failure, and other errors if the load could not be run to its end within onceTimeout.
func Once(ctx context.Context, out, log io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, onceTimeout)
	defer cancel()
	d, err := Start(exampleOptions(log, false))
	if err != nil {
		return err
	}
	r, err := d.runLoad(ctx)
	if err := errors.Join(err, d.Close()); err != nil {
		return err
	}
	return r.print(out)
}

// report holds the results of Once. Durations count from the start of the load.
type report struct {
	jobs, completed int
	accepted        time.Duration // until the last job was accepted
	finished        time.Duration // until the last job was reported as completed
	wave            time.Duration
	completedTasks  int // tasks that ended as done, as counted by the workers
	lostEnds        int // ends that were lost with a crashed worker; their tasks ran again
	duplicateRuns   []string
	keyed           keyedLoad
	limitViolations []string // task starts above the workspace's limit
}

// runLoad submits the jobs of Once, with the disruptions in between, and waits for them
// and for the maintenance wave.
func (d *Deployment) runLoad(ctx context.Context) (*report, error) {
	r := &report{jobs: onceJobs}
	began := time.Now()
	if err := d.Platform.OrderWave(exampleWave, waveParallelVMs); err != nil {
		return nil, trace.Wrap(err)
	}
	var keyed keyedLoad
	for i := range onceJobs {
		if i%openJobsPerKeyedJob == 0 {
			if err := keyed.submitNext(ctx, d); err != nil {
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
		if err := d.submit(ctx, standin.Job{ID: standin.JobID(i), Spec: onceSpec, Tasks: onceTasks}, i); err != nil {
			return nil, err
		}
		sleep.For(ctx, onceSubmitInterval)
	}
	r.accepted = time.Since(began)
	for i := range onceJobs {
		if err := d.awaitCompletion(ctx, standin.JobID(i), r); err != nil {
			return nil, err
		}
	}
	r.finished = time.Since(began)
	if err := keyed.awaitJobs(ctx, d); err != nil {
		return nil, err
	}
	r.keyed = keyed
	for d.Platform.WaveState(exampleWave) != "completed" {
		if !sleep.For(ctx, pollInterval) {
			return nil, trace.LimitExceeded("the wave is not completed after %s", onceTimeout)
		}
	}
	r.wave = time.Since(began)
	r.completedTasks, r.lostEnds = d.Platform.Recorder.CompletedTasks(), d.Platform.Recorder.LostEnds()
	r.duplicateRuns = d.Platform.Recorder.DuplicateRuns()
	r.limitViolations = d.Platform.Recorder.LimitViolations()
	return r, nil
}

// restartWorkers ends the incarnations of the first onceRestarts workers without notice,
// except those that are down for maintenance, and starts new ones under the same IDs.
func (d *Deployment) restartWorkers() error {
	for vm := range onceRestarts {
		if err := d.Platform.RestartWorker(vm); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// submit submits the job as callers do: if it is not accepted, again at the next entry VM.
// It begins at the entry VM with index first, modulo their number.
func (d *Deployment) submit(ctx context.Context, j standin.Job, first int) error {
	return d.submitAs(ctx, &exampleCaller, j, first)
}

func (d *Deployment) submitAs(ctx context.Context, from *standin.Caller, j standin.Job, first int) error {
	for try := range maxSubmitAttempts {
		status, err := from.Submit(ctx, d.Entries[(first+try)%len(d.Entries)].Callers, j)
		if err == nil && status == http.StatusOK {
			return nil
		}
		sleep.For(ctx, pollInterval)
	}
	return trace.ConnectionProblem(nil, "job %s was not accepted in %d tries", j.ID, maxSubmitAttempts)
}

// awaitCompletion waits until the job is reported as completed, and counts it in r.
func (d *Deployment) awaitCompletion(ctx context.Context, id string, r *report) error {
	for {
		state, err := exampleCaller.State(ctx, d.Entries[0].Callers, id)
		if err == nil && state == "completed" {
			r.completed++
			return nil
		}
		if !sleep.For(ctx, pollInterval) {
			return trace.LimitExceeded("job %s is %q after %s", id, state, onceTimeout)
		}
	}
}

// print writes the report to out. It returns ErrCheckFailed if the results are not as
// expected. A job has onceTasks+1 tasks.
func (r *report) print(out io.Writer) error {
	fmt.Fprintf(out, "jobs completed        %d of %d, the last after %.1f s\n", r.completed, r.jobs, r.finished.Seconds())
	fmt.Fprintf(out, "tasks done            %d\n", r.completedTasks)
	fmt.Fprintf(out, "tasks run twice       %d\n", len(r.duplicateRuns))
	fmt.Fprintf(out, "ends lost in crashes  %d, their tasks ran again\n", r.lostEnds)
	fmt.Fprintf(out, "starts over a limit   %d, by a workspace of %d tasks that has %d jobs of %d\n", len(r.limitViolations), exampleWorkspace.Tasks, r.keyed.accepted, onceTasks+1)
	fmt.Fprintf(out, "revoked key           refused by all entry VMs after %.2f s, served again %d times\n", r.keyed.revocationTime.Seconds(), r.keyed.servedAfterRefusal)
	fmt.Fprintf(out, "entry VMs shut down   2 of %d under the load of %.1f s\n", exampleEntries, r.accepted.Seconds())
	fmt.Fprintf(out, "workers that crashed  %d at the most, and began again under their IDs\n", onceRestarts)
	fmt.Fprintf(out, "maintenance wave      all %d VMs in %.1f s\n", exampleVMs(), r.wave.Seconds())
	if r.completed != r.jobs || len(r.duplicateRuns) > 0 || r.completedTasks != (r.jobs+r.keyed.accepted)*(onceTasks+1) ||
		len(r.limitViolations) > 0 || r.keyed.servedAfterRefusal > 0 {
		return ErrCheckFailed
	}
	return nil
}

func exampleVMs() (n int) {
	for _, s := range exampleServices {
		n += s.VMs
	}
	return n
}

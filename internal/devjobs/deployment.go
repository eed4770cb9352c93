// Package devjobs runs a complete job deployment on loopback, in one process: the
// stand-in of the users' platform and entry VMs that use it. It serves for trying out
// the system and for end-to-end tests; none of it runs in production.
package devjobs

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"github.com/pumicestage/pumicestage/internal/loopback"
	"github.com/pumicestage/pumicestage/internal/node"
	"github.com/pumicestage/pumicestage/platform/standin"
)

// Options configure a Deployment.
type Options struct {
	Services []standin.Service
	Queues   []standin.Queue
	// Workspaces have keys and limits. If nil there are none, and no queue requires a key.
	Workspaces []standin.Workspace
	Entries    int       // number of entry VMs at the start
	Log        io.Writer // receives the logs of all entry VMs; nil: discarded
	// FixedPorts makes the entry VMs listen on ports counted up from FirstCallerPort and
	// FirstMetricsPort instead of on any free ports.
	FixedPorts bool
}

// Ports of the first entry VM if Options.FixedPorts is set.
const (
	FirstCallerPort  = 18280
	FirstMetricsPort = 19464
)

// initialConfigVersion is the version of the configuration that a deployment starts with.
const initialConfigVersion = 2

// Settings of the entry VMs. The timeouts are short, because the stand-in responds fast.
const (
	shutdownTimeout = 1 * time.Second
	maxLease        = 10 * time.Second
	stopGrace       = 400 * time.Millisecond
	// maxCapacityAge is the maximum age of the free capacity that workers last reported,
	// for workers that do not reject overload themselves.
	maxCapacityAge  = 3 * time.Second
	statusRetention = 2 * time.Minute
	memoryMB        = 256
	// cpuShare is the share of a processor core that an entry VM says it has. With 0.4 it
	// takes over a service's jobs, or the fleet, within 250 ms if they have no owner.
	cpuShare = 0.4
)

// Deployment is a running platform with its entry VMs.
type Deployment struct {
	Platform *standin.Platform
	Entries  []*Entry // the running ones, oldest first

	options Options
	started int
}

// Entry is one entry VM.
type Entry struct {
	Name    string
	Callers string // host:port that callers connect to
	Metrics string // host:port that serves metrics and explanations of jobs

	stop context.CancelFunc
	done chan struct{}
	err  error // result of the entry VM's Run; valid once done is closed
}

// Start starts the platform and o.Entries entry VMs. The caller must Close the
// deployment; after an error everything has been stopped already.
func Start(o Options) (*Deployment, error) {
	if o.Log == nil {
		o.Log = io.Discard
	}
	p, err := standin.New(o.Services, o.Queues)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if err := p.ConfigureWorkspaces(initialConfigVersion, o.Services, o.Queues, o.Workspaces); err != nil {
		p.Close()
		return nil, trace.Wrap(err)
	}
	d := &Deployment{Platform: p, options: o}
	for range o.Entries {
		if err := d.StartEntry(); err != nil {
			return nil, errors.Join(err, d.Close())
		}
	}
	return d, nil
}

// StartEntry starts another entry VM.
func (d *Deployment) StartEntry() error {
	n := d.started
	d.started++
	callers, metrics := d.addresses(n)
	host, text, err := net.SplitHostPort(loopback.Reserve())
	if err != nil {
		return trace.Wrap(err)
	}
	port, err := strconv.Atoi(text)
	if err != nil {
		return trace.Wrap(err)
	}
	e := &Entry{Name: fmt.Sprintf("entry-%d", n), Callers: callers, Metrics: metrics, done: make(chan struct{})}
	vm, err := node.New(&node.Settings{
		Name: e.Name, Zone: "z1", Address: host, Callers: callers, Ready: loopback.Reserve(), Metrics: metrics, Peers: [2]int{port, port},
		Store: d.Platform.StoreAddress, VMs: d.Platform.VMAddress, Advisor: d.Platform.AdvisorAddress, MemoryMB: memoryMB, CPUShare: cpuShare,
		ShutdownTimeout: shutdownTimeout, MaxLease: maxLease, StopGrace: stopGrace, MaxCapacityAge: maxCapacityAge, StatusRetention: statusRetention, ConfigWithin: standin.ConfigWithin,
	}, d.options.Log)
	if err != nil {
		return trace.Wrap(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.stop = cancel
	go func() {
		defer close(e.done)
		e.err = vm.Run(ctx)
	}()
	d.Entries = append(d.Entries, e)
	return nil
}

func (d *Deployment) addresses(n int) (callers, metrics string) {
	if d.options.FixedPorts {
		return loopbackAddress(FirstCallerPort + n), loopbackAddress(FirstMetricsPort + n)
	}
	return loopback.Reserve(), loopback.Reserve()
}

func loopbackAddress(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }

// StopFirst shuts down the oldest running entry VM gracefully, waits until it has ended
// and returns the error of its run.
func (d *Deployment) StopFirst() error {
	e := d.Entries[0]
	d.Entries = d.Entries[1:]
	return e.stopAndWait()
}

func (e *Entry) stopAndWait() error {
	e.stop()
	<-e.done
	return e.err
}

// Close stops the entry VMs and then the platform, and returns the joined errors of the
// entry VMs' runs.
func (d *Deployment) Close() error {
	for _, e := range d.Entries {
		e.stop()
	}
	var errs []error
	for _, e := range d.Entries {
		errs = append(errs, e.stopAndWait())
	}
	d.Platform.Close()
	return errors.Join(errs...)
}

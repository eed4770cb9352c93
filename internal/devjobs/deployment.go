// Package devjobs runs a whole deployment for jobs on loopback: the stand-in of the
// users' platform and entry VMs on it, in one process. It is for trying things out
// and for tests of the whole path; nothing of it runs in production.
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

// Options are what a Deployment is made of.
type Options struct {
	Services []standin.Service
	Queues   []standin.Queue
	// Workspaces have keys and limits; nil: there are none, and no route asks for a key.
	Workspaces []standin.Workspace
	Entries    int       // entry VMs
	Log        io.Writer // of all entry VMs; nil: none
	// FixedPorts has the entry VMs listen where FirstCallers and FirstMetrics say,
	// each next one a port higher, instead of anywhere.
	FixedPorts bool
}

// Ports of the first entry VM with FixedPorts.
const (
	FirstCallers = 18280
	FirstMetrics = 19464
)

// firstVersion is of the configuration that a deployment starts with.
const firstVersion = 2

// Bounds of the stand-in, which is quick.
const (
	shutdown  = 1 * time.Second
	maxLease  = 10 * time.Second
	stopGrace = 400 * time.Millisecond
	// roomWithin is how old what workers say of their room may be where they don't guard it.
	roomWithin = 3 * time.Second
	status     = 2 * time.Minute
	memoryMB   = 256
	cpuShare   = 0.4 // with it a free duty is taken within a quarter of a second
)

// Deployment is a running platform with its entry VMs.
type Deployment struct {
	Platform *standin.Platform
	Entries  []*Entry // those that were not stopped

	options Options
	started int
}

// Entry is one entry VM.
type Entry struct {
	Name    string
	Callers string // host:port of callers
	Metrics string // host:port of counters and explanations

	stop context.CancelFunc
	done chan struct{}
	err  error // of its run; to be read once done
}

// Start starts the platform and the entry VMs. Close ends them, also after an error.
func Start(o Options) (*Deployment, error) {
	if o.Log == nil {
		o.Log = io.Discard
	}
	p, err := standin.New(o.Services, o.Queues)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if err := p.ConfigureWorkspaces(firstVersion, o.Services, o.Queues, o.Workspaces); err != nil {
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

// StartEntry adds an entry VM.
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
		ShutdownTimeout: shutdown, MaxLease: maxLease, StopGrace: stopGrace, MaxCapacityAge: roomWithin, StatusRetention: status, ConfigWithin: standin.ConfigWithin,
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
		return fixed(FirstCallers + n), fixed(FirstMetrics + n)
	}
	return loopback.Reserve(), loopback.Reserve()
}

func fixed(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }

// StopFirst shuts the first entry VM down gracefully and returns once it has ended.
func (d *Deployment) StopFirst() error {
	e := d.Entries[0]
	d.Entries = d.Entries[1:]
	return e.end()
}

func (e *Entry) end() error {
	e.stop()
	<-e.done
	return e.err
}

// Close ends everything.
func (d *Deployment) Close() error {
	for _, e := range d.Entries {
		e.stop()
	}
	var errs []error
	for _, e := range d.Entries {
		errs = append(errs, e.end())
	}
	d.Platform.Close()
	return errors.Join(errs...)
}

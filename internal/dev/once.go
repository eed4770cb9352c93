package dev

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"

	"github.com/pumicestage/pumicestage/internal/config"
	"github.com/pumicestage/pumicestage/internal/fleet"
	"github.com/pumicestage/pumicestage/internal/operator/api"
	"github.com/pumicestage/pumicestage/internal/operator/client"
	"github.com/pumicestage/pumicestage/policy/model"
)

const (
	// callersPerService is the number of concurrent callers of each service.
	// Their load stays below the capacity of the pools.
	callersPerService = 6
	// startTimeout bounds how long the deployment may take to start.
	startTimeout = 15 * time.Second
	// waveTimeout bounds the wave, so that the run ends within a minute.
	waveTimeout = 40 * time.Second
	// changedLimit is the service limit that the example's change sets. It is
	// above any load of the example, so that it rejects no request.
	changedLimit = 1000
	// pollInterval is how often progress is polled, and so the resolution of
	// the reported times.
	pollInterval = 20 * time.Millisecond
	// probation is the probation of the example's waves. It is short because
	// nothing in the example is slow.
	probation = 200 * time.Millisecond
)

// Options configure Once and Serve.
type Options struct {
	Example string         // directory of the declaration
	Wave    model.WaveName // wave that Once runs; the first declared if empty
	Out     io.Writer
	Log     logr.Logger
	// FixedPorts uses the documented ports; otherwise any free ones.
	FixedPorts bool
}

// Once applies the example's declaration, runs a maintenance wave under load and
// prints a report. The error names every guarantee that was violated.
func Once(ctx context.Context, o Options) error {
	decl, err := declaration(&o)
	if err != nil {
		return err
	}
	c, err := startCluster(ctx, decl, o.FixedPorts, o.Log)
	if err != nil {
		return trace.Wrap(err)
	}
	defer c.stop()
	r := &report{began: time.Now()}
	if err := c.bringUp(ctx, r); err != nil {
		return err
	}
	w, err := c.watchAll()
	if err != nil {
		return trace.Wrap(err)
	}
	defer w.stop()
	l, stopLoad := c.startLoad(ctx, c.decl.Services)
	err = c.runWave(ctx, o.Wave, r)
	stopLoad()
	if err != nil {
		return err
	}
	r.collectCounts(c, l.tally)
	r.print(o.Out)
	return errors.Join(r.verdict(), w.verdict(l.tally))
}

// declaration loads the example and shortens the probation of its waves. It
// sets o.Wave to the first declared wave if it is empty.
func declaration(o *Options) (*model.Declaration, error) {
	decl, err := config.Load(o.Example)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	for i := range decl.Waves {
		decl.Waves[i].Probation = probation
	}
	if o.Wave == "" && len(decl.Waves) > 0 {
		o.Wave = decl.Waves[0].Name
	}
	return decl, nil
}

// bringUp applies the declaration through the operator API and waits until every
// entry VM has it in force, knows every VM and has seen it healthy. It then
// applies one change and records how long that takes.
func (c *cluster) bringUp(ctx context.Context, r *report) error {
	if _, err := c.apply(ctx, "dev-example"); err != nil {
		return err
	}
	if err := c.until(ctx, startTimeout, "declaration in force on every entry VM", c.inForce); err != nil {
		return err
	}
	if err := c.until(ctx, startTimeout, "current view of every VM", c.allKnown); err != nil {
		return err
	}
	if err := c.until(ctx, startTimeout, "every VM counted as up", func() bool { return c.allUp(ctx) }); err != nil {
		return err
	}
	return c.change(ctx, r)
}

// change applies a change to the running deployment and measures how long it
// takes until every entry VM has it in force.
func (c *cluster) change(ctx context.Context, r *report) error {
	c.decl.Services[0].Limit = changedLimit
	return c.changeTo(ctx, r, "dev-change")
}

// changeTo applies the declaration as it is now under the change ID, and waits
// until every entry VM has it in force.
func (c *cluster) changeTo(ctx context.Context, r *report, change model.ChangeID) error {
	began := time.Now()
	generation, err := c.apply(ctx, change)
	if err != nil {
		return err
	}
	everywhere := func() bool {
		for _, e := range c.entries {
			if e.View().Load().Generation() < generation {
				return false
			}
		}
		return true
	}
	err = c.until(ctx, startTimeout, "change in force on every entry VM", everywhere)
	r.inForce = time.Since(began)
	return err
}

// operator returns a client of the operator ports.
func (c *cluster) operator() *client.Client {
	var servers []string
	for _, e := range c.entries {
		servers = append(servers, e.Self().Operator)
	}
	return client.New(client.Options{Servers: servers, Operator: "dev"})
}

func (c *cluster) apply(ctx context.Context, change model.ChangeID) (generation uint64, err error) {
	reply, err := c.operator().Change(ctx, api.DeclarationRequest{Mode: api.ModeApply, Change: change, Declaration: c.decl})
	return reply.Generation, trace.Wrap(err, "apply")
}

func (c *cluster) inForce() bool { return len(c.callerBases()) == len(c.entries) }

// allKnown reports whether every entry VM knows every VM and has a current view.
// Until then entry VMs refuse orders.
func (c *cluster) allKnown() bool {
	for _, e := range c.entries {
		s := e.View().Load()
		if len(s.VMs) != len(c.decl.VMs) || time.Since(s.AsOf) > startTimeout {
			return false
		}
	}
	return true
}

// allUp reports whether every entry VM has seen every VM healthy. Until then
// budgets count the others as down and refuse planned stops.
func (c *cluster) allUp(ctx context.Context) bool {
	for _, e := range c.entries {
		budgets, err := e.Fleet().Budgets(ctx)
		if err != nil {
			return false
		}
		for _, b := range budgets {
			if b.Up < b.Total {
				return false
			}
		}
	}
	return true
}

// startLoad sends load to the services until the returned function is called.
func (c *cluster) startLoad(ctx context.Context, services []model.Service) (*load, func()) {
	b := &balancer{}
	b.set(c.callerBases())
	l := newLoad(b)
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		l.run(ctx, services, callersPerService)
	}()
	return l, func() {
		cancel()
		<-ended
	}
}

// runWave starts the wave at one entry VM and waits for its end.
func (c *cluster) runWave(ctx context.Context, name model.WaveName, r *report) error {
	f := c.entries[0].Fleet()
	began := time.Now()
	order := api.DoRequest{Text: fmt.Sprintf("start wave %s reason %q", name, "example"), Change: "dev-wave"}
	if _, err := c.operator().Do(ctx, order); err != nil {
		return trace.Wrap(err, "start wave %s", name)
	}
	meter := newMeter(c, r)
	err := c.until(ctx, waveTimeout, "end of the wave", func() bool {
		meter.sample()
		s, err := f.WaveStatus(ctx, name)
		if err != nil {
			return false
		}
		r.status = s
		return s.Record.State == fleet.WaveFinished
	})
	r.rollOut = time.Since(began)
	if err != nil {
		return fmt.Errorf("%w; state %s, progress %+v, holds: %s", err, r.status.Record.State, r.status.Progress, r.status.BlockReason)
	}
	return nil
}

// until polls a condition until it holds. It returns an error after limit, and
// ctx's error when ctx ends.
func (c *cluster) until(ctx context.Context, limit time.Duration, what string, done func() bool) error {
	deadline := time.Now().Add(limit)
	for !done() {
		if time.Now().After(deadline) {
			return fmt.Errorf("dev: no %s after %s", what, limit)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
	return nil
}

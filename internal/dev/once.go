package dev

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"

	"github.com/pumicestage/pumicestage/internal/config"
	"github.com/pumicestage/pumicestage/internal/fleet"
	"github.com/pumicestage/pumicestage/internal/platform/gateway"
	"github.com/pumicestage/pumicestage/policy/model"
)

const (
	// callersPerService is the example's load: below what the pools carry.
	callersPerService = 6
	// startLimit bounds how long the deployment may take to come up.
	startLimit = 15 * time.Second
	// waveLimit bounds the wave, so that the run ends within a minute.
	waveLimit = 40 * time.Second
	// lookEvery is how often progress is looked at.
	lookEvery = 100 * time.Millisecond
	// probation of the example's wave is short, as nothing there is slow.
	probation = 200 * time.Millisecond
)

// Options say what to run.
type Options struct {
	Example string         // folder of the declaration
	Wave    model.WaveName // that Once runs; the first declared if empty
	Out     io.Writer
	Log     logr.Logger
	// FixedPorts uses the documented ports; otherwise any free ones.
	FixedPorts bool
}

// Once applies the example, sends load, runs a maintenance wave under it and
// reports. The error says which promise broke.
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
	l, stopLoad := c.startLoad(ctx, c.decl.Services)
	err = c.runWave(ctx, o.Wave, r)
	stopLoad()
	if err != nil {
		return err
	}
	r.take(c, l.tally)
	r.print(o.Out)
	return r.verdict()
}

// declaration reads the example and shortens what only waits.
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

// bringUp applies the declaration and waits until every entry VM has it in
// force and every VM has its key.
func (c *cluster) bringUp(ctx context.Context, r *report) error {
	store := gateway.New(gateway.Options{Endpoints: []string{c.base}})
	began := time.Now()
	opts := config.ApplyOptions{Change: "dev-example", By: "dev", From: "loopback", At: began}
	if _, err := config.Apply(ctx, store, c.decl, opts); err != nil {
		return trace.Wrap(err, "apply the example")
	}
	if err := c.until(ctx, startLimit, "in force on every entry VM", c.inForce); err != nil {
		return err
	}
	r.inForce = time.Since(began)
	if err := c.until(ctx, startLimit, "current view of every VM", c.allKnown); err != nil {
		return err
	}
	return c.until(ctx, startLimit, "every VM counted as up", func() bool { return c.allUp(ctx) })
}

func (c *cluster) inForce() bool { return len(c.callerBases()) == len(c.entries) }

// allKnown reports whether every entry VM knows every VM and that its view is
// current: orders are refused before.
func (c *cluster) allKnown() bool {
	for _, e := range c.entries {
		s := e.View().Load()
		if len(s.VMs) != len(c.decl.VMs) || time.Since(s.AsOf) > startLimit {
			return false
		}
	}
	return true
}

// allUp reports whether every entry VM has seen every VM healthy: until then
// budgets count them as down, and refuse planned stops.
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
	if _, err := f.StartWave(ctx, name, nil, fleet.Order{Change: "dev-wave", Actor: "dev", Reason: "example"}); err != nil {
		return trace.Wrap(err, "start wave %s", name)
	}
	meter := newMeter(c, r)
	err := c.until(ctx, waveLimit, "end of the wave", func() bool {
		meter.look()
		s, err := f.WaveStatus(ctx, name)
		if err != nil {
			return false
		}
		r.status = s
		return s.Record.State == fleet.WaveFinished
	})
	r.rollOut = time.Since(began)
	if err != nil {
		return fmt.Errorf("%w; state %s, progress %+v, holds: %s", err, r.status.Record.State, r.status.Progress, r.status.Hold)
	}
	return nil
}

// until waits for a condition.
func (c *cluster) until(ctx context.Context, limit time.Duration, what string, done func() bool) error {
	deadline := time.Now().Add(limit)
	for !done() {
		if time.Now().After(deadline) {
			return fmt.Errorf("dev: no %s after %s", what, limit)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(lookEvery):
		}
	}
	return nil
}

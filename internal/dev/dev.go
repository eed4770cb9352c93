package dev

import (
	"context"
	"fmt"
	"time"

	"github.com/gravitational/trace"

	"github.com/pumicestage/pumicestage/policy/model"
)

// Serve runs the example until ctx ends. It generates no load of its own: the
// only requests are those that the operator sends.
func Serve(ctx context.Context, o Options) error {
	decl, err := declaration(&o)
	if err != nil {
		return err
	}
	c, err := startCluster(context.WithoutCancel(ctx), decl, o.FixedPorts, o.Log)
	if err != nil {
		return trace.Wrap(err)
	}
	defer c.stop()
	r := &report{began: time.Now()}
	if err := c.bringUp(ctx, r); err != nil {
		return err
	}
	c.announce(o)
	<-ctx.Done()
	c.printTargets(o)
	return nil
}

// printTargets prints the request counts of the fake targets.
func (c *cluster) printTargets(o Options) {
	var started, cut, abandoned int
	for _, t := range c.targets {
		counts := t.Counts()
		started += counts.Started
		cut += counts.Interrupted
		abandoned += counts.Abandoned
	}
	fmt.Fprintf(o.Out, "targets    %d requests started, %d cut, %d abandoned by an entry VM, %d keys run twice\n",
		started, cut, abandoned, c.doubleRuns())
}

func (c *cluster) announce(o Options) {
	fmt.Fprintf(o.Out, "platform   %s\n", c.base)
	for _, e := range c.entries {
		self := e.Self()
		fmt.Fprintf(o.Out, "entry VM   %s in %s: callers http://%s, operators http://%s\n", self.ID, self.Zone, self.Caller, self.Operator)
	}
	fmt.Fprintf(o.Out, "try        curl -i http://%s/services/%s/x\n", c.entries[0].Self().Caller, repeatable(c.decl))
}

// repeatable returns a service that accepts requests without an
// Idempotency-Key, or the first service if there is none.
func repeatable(d *model.Declaration) model.ServiceName {
	for _, s := range d.Services {
		if s.Repeatable {
			return s.Name
		}
	}
	return d.Services[0].Name
}

package dev

import (
	"context"
	"fmt"
	"time"

	"github.com/gravitational/trace"
)

// Serve runs the example until ctx ends, with load from nobody but the
// operator's own hands.
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
	return nil
}

func (c *cluster) announce(o Options) {
	fmt.Fprintf(o.Out, "platform   %s\n", c.base)
	for _, e := range c.entries {
		self := e.Self()
		fmt.Fprintf(o.Out, "entry VM   %s in %s: callers http://%s, operators http://%s\n", self.ID, self.Zone, self.Caller, self.Operator)
	}
	fmt.Fprintf(o.Out, "try        curl -i http://%s/services/%s/x\n", c.entries[0].Self().Caller, c.decl.Services[0].Name)
}

package node

import (
	"context"

	"github.com/go-logr/logr"

	"github.com/pumicestage/pumicestage/internal/engine"
	"github.com/pumicestage/pumicestage/internal/forward"
	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/members"
	"github.com/pumicestage/pumicestage/policy/forwarding"
	"github.com/pumicestage/pumicestage/policy/overload"
)

// entryVMs lists the fleet's entry VMs. It is kept up to date only while this entry VM
// owns a cell.
type entryVMs struct {
	directory members.Directory
	watch     sharedTask
}

func newEntryVMs(store infra.Store, log logr.Logger) *entryVMs {
	e := &entryVMs{directory: members.Directory{Log: log}}
	e.watch.reset = func() {}
	e.watch.run = func(ctx context.Context) {
		followPrefix(ctx, store, log, source{prefix: infra.WorkEntryPrefix, replace: e.directory.Replace, apply: e.directory.Change})
	}
	return e
}

// Live implements forward.Peers.
func (e *entryVMs) Live() ([]forward.Peer, uint64) {
	live, version := e.directory.Live()
	out := make([]forward.Peer, 0, len(live))
	for _, m := range live {
		out = append(out, forward.Peer{Member: forwarding.Member{Name: m.Name, Zone: m.Zone, Weight: m.Weight}, Address: m.Address})
	}
	return out, version
}

func (n *Node) publisher() *members.Publisher {
	return &members.Publisher{
		Store: n.store, Name: n.settings.Name, Log: n.log.WithName("members"),
		Self: members.Record{Zone: n.settings.Zone, Address: n.self.Address, Weight: n.settings.weight()},
	}
}

// successor tells whether another entry VM could take a duty over from this one: one that
// owns nothing and whose weight is equal to this one's, or larger.
func (n *Node) successor() overload.Successor {
	live, _ := n.members.directory.Live()
	owners := n.directory.Entries()
	own := n.settings.weight()
	best := overload.NoSuccessor
	for _, m := range live {
		if m.Name == n.settings.Name || owners[m.Name] || m.Weight < own {
			continue
		}
		if m.Weight > own {
			return overload.LargerSuccessor
		}
		best = overload.EqualSuccessor
	}
	return best
}

// workersOf returns the client by which this entry VM, as the cell's owner, calls the
// cell's workers: directly, or by way of other entry VMs.
func (n *Node) workersOf(cell string) engine.Workers {
	return forward.New(forward.Options{
		Direct: n.workers, Link: n.link, Peers: n.members, Self: n.settings.Name, Clock: n.clock,
		Log: n.log.WithName("forward").WithValues("cell", cell), SchedulingDelay: n.delay.MaxDelay,
	})
}

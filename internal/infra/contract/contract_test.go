package contract_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/infra/contract"
	"github.com/pumicestage/pumicestage/internal/infra/faulty"
	"github.com/pumicestage/pumicestage/internal/infra/gateway"
	"github.com/pumicestage/pumicestage/internal/infra/machineapi"
	"github.com/pumicestage/pumicestage/internal/infra/memstore"
	"github.com/pumicestage/pumicestage/internal/infra/standin"
)

const zone = "zone-a"

func TestMemstore(t *testing.T) {
	contract.RunStore(t, func(*testing.T) contract.Store {
		clock := clockwork.NewFakeClock()
		s := memstore.New(clock)
		return contract.Store{
			Client: s, Rival: s, Compact: s.Compact, OpenWatches: s.Watches,
			Advance: clock.Advance, ExpireLeases: s.ExpireLeases,
		}
	})
}

func TestFaultyMemstore(t *testing.T) {
	contract.RunStore(t, func(*testing.T) contract.Store {
		clock := clockwork.NewFakeClock()
		s := memstore.New(clock)
		f := faulty.Wrap(s)
		return contract.Store{
			Client: f, Rival: s, Compact: s.Compact, OpenWatches: s.Watches,
			Advance: clock.Advance, ExpireLeases: s.ExpireLeases,
			Down: f.SetDown, LoseReplies: f.LoseReplies, LoseRequests: f.LoseRequests,
		}
	})
}

func TestGateway(t *testing.T) {
	contract.RunStore(t, gatewayStore)
}

func gatewayStore(t *testing.T) contract.Store {
	clock := clockwork.NewFakeClock()
	srv, url := serve(t, clock)
	client := gateway.New(gateway.Options{
		Endpoints: []string{url}, Zone: zone, Timeout: 10 * time.Second,
		ResumeFor: 3 * time.Second, HTTPClient: srv.Network.Client(zone),
	})
	set := func(f standin.Fault) { srv.Faults.Set(zone, f) }
	return contract.Store{
		Client: client, Rival: srv.Store, Compact: srv.Store.Compact, OpenWatches: srv.Store.Watches,
		Advance:      clock.Advance,
		Down:         func(on bool) { set(standin.Fault{Down: on}) },
		Pause:        func(on bool) { set(standin.Fault{Paused: on}) },
		Held:         srv.Faults.Held,
		LoseReplies:  func(n int) { set(standin.Fault{LoseReplies: n}) },
		LoseRequests: func(n int) { set(standin.Fault{LoseRequests: n}) },
		Garble:       func(n int) { set(standin.Fault{Garble: n}) },
		RateLimit:    func() { srv.Counts.SetLimits(1, 1) },
		Resumes:      true,
	}
}

func TestMachines(t *testing.T) {
	contract.RunMachines(t, func(t *testing.T) contract.Machines {
		clock := clockwork.NewFakeClock()
		srv := standin.New(clock)
		t.Cleanup(srv.Close)
		return contract.Machines{Client: srv.Machines, Control: srv.Machines, Advance: clock.Advance}
	})
}

func TestMachineAPI(t *testing.T) {
	contract.RunMachines(t, func(t *testing.T) contract.Machines {
		clock := clockwork.NewFakeClock()
		srv, url := serve(t, clock)
		set := func(f standin.Fault) { srv.Faults.Set(zone, f) }
		return contract.Machines{
			Client: machineapi.New(machineapi.Options{
				Endpoints: []string{url}, Zone: zone, Timeout: 10 * time.Second, HTTPClient: srv.Network.Client(zone),
			}),
			Control:      srv.Machines,
			Advance:      clock.Advance,
			Down:         func(on bool) { set(standin.Fault{Down: on}) },
			Pause:        func(on bool) { set(standin.Fault{Paused: on}) },
			Held:         srv.Faults.Held,
			LoseReplies:  func(n int) { set(standin.Fault{LoseReplies: n}) },
			LoseRequests: func(n int) { set(standin.Fault{LoseRequests: n}) },
			Garble:       func(n int) { set(standin.Fault{Garble: n}) },
			RateLimit:    func() { srv.Counts.SetLimits(1, 1) },
			StaleList:    func(on bool) { set(standin.Fault{StaleList: on}) },
		}
	})
}

func serve(t *testing.T, clock clockwork.Clock) (*standin.Server, string) {
	t.Helper()
	srv := standin.New(clock)
	t.Cleanup(srv.Close)
	url, err := srv.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	return srv, url
}

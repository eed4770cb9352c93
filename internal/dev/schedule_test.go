package dev

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/config"
	"github.com/pumicestage/pumicestage/internal/faketarget"
	"github.com/pumicestage/pumicestage/internal/fleet"
	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/infra/gateway"
	"github.com/pumicestage/pumicestage/internal/infra/standin"
	"github.com/pumicestage/pumicestage/policy/model"
)

var seeds = flag.Int("seeds", 2, "how many random fault schedules to play")

// scheduleSteps is how many faults one schedule injects; each lasts until the
// next one has been active for a while, so that two overlap.
const scheduleSteps = 16

// Seeded random faults are injected, two at a time, while callers send requests
// and repeat keys at many entry VMs, and operators concurrently drain, undrain and
// move VMs, start and resume a wave and change the configuration. Orders may be
// refused or late, but no guarantee may be violated, the operators' calls must be
// linearizable, and after the faults every VM must return to a pool.
func TestFaultSchedule(t *testing.T) {
	t.Parallel()
	for seed := range uint64(*seeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			playSchedule(t, seed)
		})
	}
}

func playSchedule(t *testing.T, seed uint64) {
	c := startSmall(t)
	s := &schedule{c: c, w: c.startObserver(t), rng: rand.New(rand.NewPCG(seed, 0))}
	l, stopLoad := c.startLoad(context.Background(), c.decl.Services)
	s.load = l
	ctx, stopActors := context.WithCancel(context.Background())
	var actors sync.WaitGroup
	for n := range 3 {
		actors.Go(func() { s.operate(ctx, n, rand.New(rand.NewPCG(seed, uint64(10+n)))) })
	}
	actors.Go(func() { s.configure(ctx) })
	for k := range 6 {
		actors.Go(func() { s.repeatKey(ctx, fmt.Sprintf("repeat-%d", k), rand.New(rand.NewPCG(seed, uint64(20+k)))) })
	}

	heal := func() {}
	for range scheduleSteps {
		next := s.injectFault()
		s.sleep(300, 900)
		heal()
		heal = next
	}
	heal()
	c.platform.Faults.Clear()
	stopActors()
	actors.Wait()
	s.cancelWave(t)
	s.w.settle(t)
	stopLoad()

	assert.Check(t, s.w.verdict(l.tally))
	s.history.check(t, s.w)
	for key, n := range c.runs() {
		assert.Check(t, n <= 1, "%s ran %d times", key, n)
	}
}

// schedule is one run of a fault schedule.
type schedule struct {
	c       *cluster
	w       *observer
	load    *load
	rng     *rand.Rand
	history history

	mu sync.Mutex // guards c.entries against replacement
}

func (s *schedule) sleep(from, to int) {
	time.Sleep(time.Duration(from+s.rng.IntN(to-from)) * time.Millisecond)
}

// entry returns an entry VM as it is now.
func (s *schedule) entry(n int) *entryVM {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.c.entries[n%len(s.c.entries)]
}

// injectFault starts a random fault and returns the function that ends it.
func (s *schedule) injectFault() (heal func()) {
	zone := string(s.c.decl.Zones[s.rng.IntN(2)])
	n := s.rng.IntN(len(s.c.entries))
	vm := s.c.decl.VMs[s.rng.IntN(len(s.c.decl.VMs))].ID
	net, platformFaults := s.c.platform.Network, s.c.platform.Faults
	set := func(f standin.Fault) func() {
		platformFaults.Set(standin.AnyZone, f)
		return func() { platformFaults.Set(standin.AnyZone, standin.Fault{}) }
	}
	switch s.rng.IntN(22) {
	case 0:
		net.Cut("za", "zb")
		return func() { net.Heal("za", "zb") }
	case 1:
		net.Drop("za", "zb")
		return func() { net.Heal("za", "zb") }
	case 2:
		net.DropAll(zone, true)
		return func() { net.DropAll(zone, false) }
	case 3:
		net.Isolate(zone, true)
		return func() { net.Isolate(zone, false) }
	case 4:
		return set(standin.Fault{Slow: 400 * time.Millisecond})
	case 5:
		return set(standin.Fault{Paused: true})
	case 6:
		return set(standin.Fault{LoseReplies: 8, LoseRequests: 4, Garble: 4})
	case 7:
		return set(standin.Fault{StaleList: true})
	case 8:
		return s.w.fail(vm)
	case 9:
		return s.entry(n).dialer.stall()
	case 10:
		s.c.targets[vm].SetFault(faketarget.Fault(1+s.rng.IntN(int(faketarget.Silent))), 10)
		s.replaceEntry(n)
	}
	return func() {} // without a fault, so that orders succeed too
}

// replaceEntry kills an entry VM and starts another one under the same ID.
func (s *schedule) replaceEntry(n int) {
	old := s.entry(n)
	old.kill()
	next, err := s.c.startEntry(context.Background(), n, old.Self().Zone, []string{s.entry(n + 1).Self().Peer})
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	s.c.entries[n] = next
	s.mu.Unlock()
	s.load.balancer.set(s.c.allBases())
}

// allBases returns the caller base URLs of all entry VMs, ready or not, as a
// balancer that lags would use them.
func (c *cluster) allBases() []string {
	var bases []string
	for _, e := range c.entries {
		bases = append(bases, "http://"+e.Self().Caller)
	}
	return bases
}

// operate gives orders at random entry VMs, about half of them conditional on the
// revision that the operator last saw.
func (s *schedule) operate(ctx context.Context, who int, rng *rand.Rand) {
	seen := make(map[model.VMID]infra.Revision)
	for n := 0; ctx.Err() == nil; n++ {
		vm := s.c.decl.VMs[rng.IntN(len(s.c.decl.VMs))]
		o := fleet.Order{Change: model.ChangeID(fmt.Sprintf("o%d-%d", who, n)), Actor: fmt.Sprint("op-", who)}
		if rng.IntN(2) == 0 {
			o.IfRevision = seen[vm.ID]
		}
		f := s.entry(rng.IntN(8)).Fleet()
		callCtx, cancel := context.WithTimeout(ctx, 3*time.Second)
		switch kind := rng.IntN(8); kind {
		case 0:
			seen[vm.ID] = s.history.order(who, vm.ID, o, func() (fleet.Outcome, error) { return f.Drain(callCtx, vm.ID, o) })
		case 1, 2, 3, 4:
			seen[vm.ID] = s.history.order(who, vm.ID, o, func() (fleet.Outcome, error) { return f.Undrain(callCtx, vm.ID, o) })
		case 5:
			to := []model.PoolName{"quick", "once"}[rng.IntN(2)]
			seen[vm.ID] = s.history.order(who, vm.ID, o, func() (fleet.Outcome, error) { return f.Move(callCtx, vm.ID, to, o) })
		case 6:
			_, _ = f.StartWave(callCtx, "all", nil, o) // most are refused, or fail under the faults
		case 7:
			_, _ = f.ResumeWave(callCtx, "all", o)
		}
		cancel()
		pauseFor(ctx, time.Duration(20+rng.IntN(130))*time.Millisecond)
	}
}

func pauseFor(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// configure changes the configuration, conditional on the generation that it last
// saw, over its own connection to the platform.
func (s *schedule) configure(ctx context.Context) {
	store := gateway.New(gateway.Options{Endpoints: []string{s.c.base}, Timeout: 2 * time.Second})
	decl := *s.c.decl
	decl.Services = append([]model.Service(nil), decl.Services...)
	generation := s.entry(0).View().Load().Generation()
	for n := 0; ctx.Err() == nil; n++ {
		decl.Services[0].Limit = 2000 + n
		o := config.ApplyOptions{Change: model.ChangeID(fmt.Sprintf("g-%d", n)), By: "test", At: time.Now(), IfGeneration: &generation}
		callCtx, cancel := context.WithTimeout(ctx, 3*time.Second)
		generation = s.history.apply(generation, func() (uint64, error) {
			got, err := config.Apply(callCtx, store, &decl, o)
			return got.Generation, err
		}, func() uint64 { return s.entry(n).View().Load().Generation() })
		cancel()
		pauseFor(ctx, 500*time.Millisecond)
	}
}

// repeatKey repeatedly sends the same request to random entry VMs. Its service
// is not repeatable, so the request may run at most once.
func (s *schedule) repeatKey(ctx context.Context, key string, rng *rand.Rand) {
	client := &http.Client{Timeout: 8 * time.Second}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		post(client, s.entry(rng.IntN(8)).Self().Caller, "once", key)
		pauseFor(ctx, time.Duration(50+rng.IntN(200))*time.Millisecond)
	}
}

// cancelWave cancels the wave if it is running or paused.
func (s *schedule) cancelWave(t *testing.T) {
	t.Helper()
	n := 0
	s.c.await(t, "no wave", func() bool {
		n++
		f := s.c.entries[0].Fleet()
		_, _ = f.CancelWave(context.Background(), "all", fleet.Order{Change: model.ChangeID(fmt.Sprintf("cancel-%d", n)), Actor: "test"})
		all, err := f.WaveStatuses(context.Background())
		for _, st := range all {
			if st.Record.State == fleet.WaveRunning || st.Record.State == fleet.WavePaused {
				return false
			}
		}
		return err == nil
	})
}

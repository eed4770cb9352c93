package config

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/infra/faulty"
	"github.com/pumicestage/pumicestage/internal/infra/memstore"
	"github.com/pumicestage/pumicestage/policy/model"
)

var testTime = time.Date(2026, 3, 1, 3, 0, 0, 0, time.UTC)

func testDeclaration(t testing.TB, extra string) *model.Declaration {
	t.Helper()
	d, err := Parse(Source{File: "f.ini", Text: []byte(sound + extra)})
	assert.NilError(t, err)
	return d
}

func limited(t testing.TB, limit int) *model.Declaration {
	return testDeclaration(t, fmt.Sprintf("[service api]\nrepeatable = yes\npools = web\nmin-available = 1\nlimit = %d\n", limit))
}

func options(change model.ChangeID, by string) ApplyOptions {
	return ApplyOptions{Change: change, By: by, From: "10.0.0.7", At: testTime}
}

// What the operator sees when the way to the store fails in each manner: a
// change that is in effect is never called refused, one that is not is never
// called applied, and a repeat under the same change ID never makes a second
// generation.
func TestApplyUnderFaults(t *testing.T) {
	ctx := context.Background()
	rival := func(t *testing.T, inner infra.Store, change model.ChangeID) func() {
		return func() {
			_, err := Apply(ctx, inner, limited(t, 99), options(change, "bea"))
			assert.NilError(t, err)
		}
	}
	cases := []struct {
		name       string
		prepare    func(t *testing.T, inner infra.Store, way *faulty.Store)
		wantErr    error // its type decides
		wantGen    uint64
		wantRepeat ApplyResult // of the same change once the fault is over
	}{
		{"no fault", func(*testing.T, infra.Store, *faulty.Store) {}, nil, 2, ApplyResult{Generation: 2, Current: 2, Repeated: true}},
		{"store down", func(_ *testing.T, _ infra.Store, way *faulty.Store) { way.SetDown(true) },
			&UnavailableError{}, 0, ApplyResult{Generation: 2, Current: 2}},
		{"reply lost", func(_ *testing.T, _ infra.Store, way *faulty.Store) { way.LoseReplies(1) },
			nil, 2, ApplyResult{Generation: 2, Current: 2, Repeated: true}},
		{"request lost", func(_ *testing.T, _ infra.Store, way *faulty.Store) { way.LoseRequests(1) },
			nil, 2, ApplyResult{Generation: 2, Current: 2, Repeated: true}},
		{"every reply lost", func(_ *testing.T, _ infra.Store, way *faulty.Store) { way.LoseReplies(9) },
			nil, 2, ApplyResult{Generation: 2, Current: 2, Repeated: true}},
		{"every request lost", func(_ *testing.T, _ infra.Store, way *faulty.Store) { way.LoseRequests(9) },
			&UnknownError{}, 0, ApplyResult{Generation: 2, Current: 2}},
		{"rival first", func(t *testing.T, inner infra.Store, way *faulty.Store) {
			beforeWrite(way, 1, rival(t, inner, "c-rival"))
		}, &ConflictError{}, 0, ApplyResult{Generation: 3, Current: 3}},
		{"reply lost, then a rival replaces it", func(t *testing.T, inner infra.Store, way *faulty.Store) {
			way.LoseReplies(1)
			beforeWrite(way, 2, rival(t, inner, "c-rival"))
		}, nil, 2, ApplyResult{Generation: 2, Current: 3, Repeated: true}},
		{"request lost, then a rival is first", func(t *testing.T, inner infra.Store, way *faulty.Store) {
			way.LoseRequests(1)
			beforeWrite(way, 2, rival(t, inner, "c-rival"))
		}, &ConflictError{}, 0, ApplyResult{Generation: 3, Current: 3}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			inner := memstore.New(clockwork.NewFakeClockAt(testTime))
			_, err := Apply(ctx, inner, limited(t, 1), options("c-first", "ana"))
			assert.NilError(t, err)
			way := faulty.Wrap(inner)
			tc.prepare(t, inner, way)

			res, err := Apply(ctx, way, limited(t, 2), options("c-mine", "ana"))
			assertSameType(t, err, tc.wantErr)
			assert.Equal(t, res.Generation, tc.wantGen)
			if err == nil {
				assert.Equal(t, res.Current, tc.wantRepeat.Current)
			}
			var lost *ConflictError
			if errors.As(err, &lost) {
				assert.Equal(t, lost.Winner.By, "bea")
				assert.Equal(t, lost.Differences[0].String(), "~ service api: limit 99 -> 2")
			}

			way.SetDown(false)
			way.LoseReplies(0)
			way.LoseRequests(0)
			way.BeforeWrite(nil)
			again, err := Apply(ctx, way, limited(t, 2), options("c-mine", "ana"))
			assert.NilError(t, err)
			again.Revision, again.Differences = 0, nil
			assert.DeepEqual(t, again, tc.wantRepeat)
		})
	}
}

// beforeWrite runs f before the nth write on the way.
func beforeWrite(way *faulty.Store, nth int, f func()) {
	seen := 0
	way.BeforeWrite(func(string, infra.Txn) {
		seen++
		if seen == nth {
			f()
		}
	})
}

func assertSameType(t *testing.T, err, want error) {
	t.Helper()
	if want == nil {
		assert.NilError(t, err)
		return
	}
	switch want.(type) {
	case *UnavailableError:
		var e *UnavailableError
		assert.Assert(t, errors.As(err, &e), "%v", err)
	case *UnknownError:
		var e *UnknownError
		assert.Assert(t, errors.As(err, &e), "%v", err)
	case *ConflictError:
		var e *ConflictError
		assert.Assert(t, errors.As(err, &e), "%v", err)
	default:
		t.Fatalf("no case for %T", want)
	}
}

func TestApplyTerms(t *testing.T) {
	ctx := context.Background()
	newStore := func(t *testing.T) infra.Store {
		store := memstore.New(clockwork.NewFakeClockAt(testTime))
		_, err := Apply(ctx, store, limited(t, 1), options("c-1", "ana"))
		assert.NilError(t, err)
		return store
	}
	t.Run("the same content makes no generation", func(t *testing.T) {
		res, err := Apply(ctx, newStore(t), limited(t, 1), options("c-2", "bea"))
		assert.NilError(t, err)
		assert.Assert(t, res.Unchanged)
		assert.Equal(t, res.Generation, uint64(1))
	})
	t.Run("another generation than expected is a conflict", func(t *testing.T) {
		opts := options("c-2", "bea")
		opts.IfGeneration = new(uint64)
		_, err := Apply(ctx, newStore(t), limited(t, 2), opts)
		var lost *ConflictError
		assert.Assert(t, errors.As(err, &lost), "%v", err)
		assert.Equal(t, lost.Winner, Applied{Generation: 1, Change: "c-1", By: "ana", From: "10.0.0.7", At: testTime})
	})
	t.Run("a dry run writes nothing", func(t *testing.T) {
		store := newStore(t)
		opts := options("c-2", "bea")
		opts.DryRun = true
		res, err := Apply(ctx, store, limited(t, 2), opts)
		assert.NilError(t, err)
		assert.Equal(t, res.Generation, uint64(2))
		now, _, err := Read(ctx, store)
		assert.NilError(t, err)
		assert.Equal(t, now.Generation, uint64(1))
	})
	t.Run("an invalid declaration writes nothing", func(t *testing.T) {
		store := newStore(t)
		bad := limited(t, 2)
		bad.Services[0].Pools = []model.PoolName{"nowhere"}
		_, err := Apply(ctx, store, bad, options("c-2", "bea"))
		var invalid *InvalidError
		assert.Assert(t, errors.As(err, &invalid), "%v", err)
		now, _, err := Read(ctx, store)
		assert.NilError(t, err)
		assert.Equal(t, now.Generation, uint64(1))
	})
	// The store was restored from an old copy: it says generation 1 while the
	// entry VMs hold 7 and never step back. A change numbered 2 would be
	// accepted by the store and be in force nowhere.
	t.Run("a store restored from an old copy", func(t *testing.T) {
		opts := options("c-8", "ana")
		opts.InForce = limited(t, 70)
		opts.InForce.Generation = 7
		res, err := Apply(ctx, newStore(t), limited(t, 2), opts)
		assert.NilError(t, err)
		assert.Equal(t, res.Generation, uint64(8))
		assert.Equal(t, res.Differences[0].String(), "~ service api: limit 70 -> 2")
	})
	t.Run("recent changes are bounded", func(t *testing.T) {
		store := newStore(t)
		for i := range recentLimit + 10 {
			_, err := Apply(ctx, store, limited(t, 10+i), options(model.ChangeID(fmt.Sprintf("c-%d", 10+i)), "ana"))
			assert.NilError(t, err)
		}
		now, _, err := Read(ctx, store)
		assert.NilError(t, err)
		assert.Equal(t, len(now.Recent), recentLimit)
		assert.Equal(t, now.Recent[recentLimit-1].Generation, now.Generation-1)
	})
}

func TestRemovalThatBreaksABudget(t *testing.T) {
	ctx := context.Background()
	without := func(vm model.VMID) *model.Declaration {
		d := testDeclaration(t, "")
		var kept []model.VMDecl
		for _, v := range d.VMs {
			if v.ID != vm {
				kept = append(kept, v)
			}
		}
		d.VMs = kept
		d.Services[0].Budget.MinAvailable = model.Quantity{Count: 1}
		return d
	}
	noService := testDeclaration(t, "")
	noService.Services = nil
	cases := []struct {
		name string
		next *model.Declaration
		live map[model.VMID]model.VM
		want []string
	}{
		{"enough VMs are left", without("v1"), nil, nil},
		{"one of those left is rebooting", without("v1"), map[model.VMID]model.VM{"v2": {Pool: "web", State: model.VMRebooting}},
			[]string{"service web keeps 1 VMs, its budget in force is 2 (1 removed)"}},
		{"one of those left has moved away", without("v1"), map[model.VMID]model.VM{"v2": {Pool: "other", State: model.VMInPool}},
			[]string{"service web keeps 1 VMs, its budget in force is 2 (1 removed)"}},
		{"the service is gone", noService, nil, []string{"service web is removed with its budget of 2 VMs"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			store := memstore.New(clockwork.NewFakeClockAt(testTime))
			_, err := Apply(ctx, store, testDeclaration(t, ""), options("c-1", "ana"))
			assert.NilError(t, err)
			opts := options("c-2", "ana")
			opts.Live = tc.live
			_, err = Apply(ctx, store, tc.next, opts)
			var broken *RemovalError
			var got []string
			if errors.As(err, &broken) {
				for _, b := range broken.Broken {
					got = append(got, b.String())
				}
			}
			assert.DeepEqual(t, got, tc.want)
			opts.ConfirmRemoval = true
			_, err = Apply(ctx, store, tc.next, opts)
			assert.NilError(t, err)
		})
	}
}

func TestDiffReads(t *testing.T) {
	old := testDeclaration(t, "[team t]\ncpu = 1\n")
	next := testDeclaration(t, "[pool api]\n[rack r3]\nzone = b\nvm.v4 = api 10.0.0.4:80\n[wave w]\npools = api\ngrace = 1m\n")
	next.Services[0].Budget.MinAvailable = model.Quantity{Share: 0.5}
	next.Zones = append(next.Zones, "c")
	var got []string
	for _, d := range Diff(old, next) {
		got = append(got, d.String())
	}
	assert.DeepEqual(t, got, []string{
		"~ deployment: zones a, b -> a, b, c",
		"+ pool api",
		"+ vm v4 (pool api, zone b, rack r3, address 10.0.0.4:80, cpu 4, memory-mb 1024, accelerators 0)",
		"~ service web: min-available 2 -> 50%",
		"+ wave w (pools api, canary 1, max-batch 0, max-failures 2, probation 30s, grace 1m0s, roll-out-time 1, buffer-cost 1, moves 1)",
		"- team t (cpu 1, memory-mb 0, accelerators 0)",
	})
	assert.Equal(t, len(Diff(old, old)), 0)
}

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
	d, err := Parse(Source{File: "f.ini", Text: []byte(validText + extra)})
	assert.NilError(t, err)
	return d
}

func declarationWithLimit(t testing.TB, limit int) *model.Declaration {
	return testDeclaration(t, fmt.Sprintf("[service api]\nrepeatable = yes\npools = web\nmin-available = 1\nlimit = %d\n", limit))
}

func testOptions(change model.ChangeID, by string) ApplyOptions {
	return ApplyOptions{Change: change, By: by, From: "10.0.0.7", At: testTime}
}

// Checks the result of Apply while store requests or replies are lost: a change
// that is in effect must not be reported as refused, one that is not must not
// be reported as applied, and repeating the same change ID must not make a
// second generation.
func TestApplyUnderFaults(t *testing.T) {
	ctx := context.Background()
	competingApply := func(t *testing.T, inner infra.Store, change model.ChangeID) func() {
		return func() {
			_, err := Apply(ctx, inner, declarationWithLimit(t, 99), testOptions(change, "bea"))
			assert.NilError(t, err)
		}
	}
	cases := []struct {
		name       string
		prepare    func(t *testing.T, inner infra.Store, faultyStore *faulty.Store)
		wantErr    error // only its type is compared
		wantGen    uint64
		wantRepeat ApplyResult // result of the same change after the fault is cleared
	}{
		{"no fault", func(*testing.T, infra.Store, *faulty.Store) {}, nil, 2, ApplyResult{Generation: 2, Current: 2, Repeated: true}},
		{"store down", func(_ *testing.T, _ infra.Store, faultyStore *faulty.Store) { faultyStore.SetDown(true) },
			&UnavailableError{}, 0, ApplyResult{Generation: 2, Current: 2}},
		{"reply lost", func(_ *testing.T, _ infra.Store, faultyStore *faulty.Store) { faultyStore.LoseReplies(1) },
			nil, 2, ApplyResult{Generation: 2, Current: 2, Repeated: true}},
		{"request lost", func(_ *testing.T, _ infra.Store, faultyStore *faulty.Store) { faultyStore.LoseRequests(1) },
			nil, 2, ApplyResult{Generation: 2, Current: 2, Repeated: true}},
		{"every reply lost", func(_ *testing.T, _ infra.Store, faultyStore *faulty.Store) { faultyStore.LoseReplies(9) },
			nil, 2, ApplyResult{Generation: 2, Current: 2, Repeated: true}},
		{"every request lost", func(_ *testing.T, _ infra.Store, faultyStore *faulty.Store) { faultyStore.LoseRequests(9) },
			&UnknownError{}, 0, ApplyResult{Generation: 2, Current: 2}},
		{"another change is committed first", func(t *testing.T, inner infra.Store, faultyStore *faulty.Store) {
			beforeWrite(faultyStore, 1, competingApply(t, inner, "c-competing"))
		}, &ConflictError{}, 0, ApplyResult{Generation: 3, Current: 3}},
		{"reply lost, then another change replaces it", func(t *testing.T, inner infra.Store, faultyStore *faulty.Store) {
			faultyStore.LoseReplies(1)
			beforeWrite(faultyStore, 2, competingApply(t, inner, "c-competing"))
		}, nil, 2, ApplyResult{Generation: 2, Current: 3, Repeated: true}},
		{"request lost, then another change is committed first", func(t *testing.T, inner infra.Store, faultyStore *faulty.Store) {
			faultyStore.LoseRequests(1)
			beforeWrite(faultyStore, 2, competingApply(t, inner, "c-competing"))
		}, &ConflictError{}, 0, ApplyResult{Generation: 3, Current: 3}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			inner := memstore.New(clockwork.NewFakeClockAt(testTime))
			_, err := Apply(ctx, inner, declarationWithLimit(t, 1), testOptions("c-first", "ana"))
			assert.NilError(t, err)
			faultyStore := faulty.Wrap(inner)
			tc.prepare(t, inner, faultyStore)

			res, err := Apply(ctx, faultyStore, declarationWithLimit(t, 2), testOptions("c-mine", "ana"))
			assertSameType(t, err, tc.wantErr)
			assert.Equal(t, res.Generation, tc.wantGen)
			if err == nil {
				assert.Equal(t, res.Current, tc.wantRepeat.Current)
			}
			var conflict *ConflictError
			if errors.As(err, &conflict) {
				assert.Equal(t, conflict.Winner.By, "bea")
				assert.Equal(t, conflict.Differences[0].String(), "~ service api: limit 99 -> 2")
			}

			faultyStore.SetDown(false)
			faultyStore.LoseReplies(0)
			faultyStore.LoseRequests(0)
			faultyStore.BeforeWrite(nil)
			repeat, err := Apply(ctx, faultyStore, declarationWithLimit(t, 2), testOptions("c-mine", "ana"))
			assert.NilError(t, err)
			repeat.Revision, repeat.Differences = 0, nil
			assert.DeepEqual(t, repeat, tc.wantRepeat)
		})
	}
}

// beforeWrite runs f before the nth write to the store.
func beforeWrite(faultyStore *faulty.Store, nth int, f func()) {
	seen := 0
	faultyStore.BeforeWrite(func(string, infra.Txn) {
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

func TestApplyPreconditions(t *testing.T) {
	ctx := context.Background()
	newStore := func(t *testing.T) infra.Store {
		store := memstore.New(clockwork.NewFakeClockAt(testTime))
		_, err := Apply(ctx, store, declarationWithLimit(t, 1), testOptions("c-1", "ana"))
		assert.NilError(t, err)
		return store
	}
	t.Run("unchanged content does not make a generation", func(t *testing.T) {
		res, err := Apply(ctx, newStore(t), declarationWithLimit(t, 1), testOptions("c-2", "bea"))
		assert.NilError(t, err)
		assert.Assert(t, res.Unchanged)
		assert.Equal(t, res.Generation, uint64(1))
	})
	t.Run("a generation other than the expected one is a conflict", func(t *testing.T) {
		opts := testOptions("c-2", "bea")
		opts.IfGeneration = new(uint64)
		_, err := Apply(ctx, newStore(t), declarationWithLimit(t, 2), opts)
		var conflict *ConflictError
		assert.Assert(t, errors.As(err, &conflict), "%v", err)
		assert.Equal(t, conflict.Winner, Applied{Generation: 1, Change: "c-1", By: "ana", From: "10.0.0.7", At: testTime})
	})
	t.Run("a dry run writes nothing", func(t *testing.T) {
		store := newStore(t)
		opts := testOptions("c-2", "bea")
		opts.DryRun = true
		res, err := Apply(ctx, store, declarationWithLimit(t, 2), opts)
		assert.NilError(t, err)
		assert.Equal(t, res.Generation, uint64(2))
		stored, _, err := Read(ctx, store)
		assert.NilError(t, err)
		assert.Equal(t, stored.Generation, uint64(1))
	})
	t.Run("an invalid declaration writes nothing", func(t *testing.T) {
		store := newStore(t)
		bad := declarationWithLimit(t, 2)
		bad.Services[0].Pools = []model.PoolName{"nowhere"}
		_, err := Apply(ctx, store, bad, testOptions("c-2", "bea"))
		var invalid *InvalidError
		assert.Assert(t, errors.As(err, &invalid), "%v", err)
		stored, _, err := Read(ctx, store)
		assert.NilError(t, err)
		assert.Equal(t, stored.Generation, uint64(1))
	})
	// A store restored from an old backup holds generation 1 while the entry
	// VMs hold 7 and never adopt a lower one. If the change were numbered 2, the
	// store would accept it but no entry VM would use it.
	t.Run("a store restored from an old backup", func(t *testing.T) {
		opts := testOptions("c-8", "ana")
		opts.InForce = declarationWithLimit(t, 70)
		opts.InForce.Generation = 7
		res, err := Apply(ctx, newStore(t), declarationWithLimit(t, 2), opts)
		assert.NilError(t, err)
		assert.Equal(t, res.Generation, uint64(8))
		assert.Equal(t, res.Differences[0].String(), "~ service api: limit 70 -> 2")
	})
	t.Run("the number of recent changes is bounded", func(t *testing.T) {
		store := newStore(t)
		for i := range maxRecentChanges + 10 {
			_, err := Apply(ctx, store, declarationWithLimit(t, 10+i), testOptions(model.ChangeID(fmt.Sprintf("c-%d", 10+i)), "ana"))
			assert.NilError(t, err)
		}
		stored, _, err := Read(ctx, store)
		assert.NilError(t, err)
		assert.Equal(t, len(stored.Recent), maxRecentChanges)
		assert.Equal(t, stored.Recent[maxRecentChanges-1].Generation, stored.Generation-1)
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
		{"enough VMs remain", without("v1"), nil, nil},
		{"a remaining VM is rebooting", without("v1"), map[model.VMID]model.VM{"v2": {Pool: "web", State: model.VMRebooting}},
			[]string{"service web keeps 1 VMs, its budget in force is 2 (1 removed)"}},
		{"a remaining VM is in another pool", without("v1"), map[model.VMID]model.VM{"v2": {Pool: "other", State: model.VMInPool}},
			[]string{"service web keeps 1 VMs, its budget in force is 2 (1 removed)"}},
		{"the service is removed", noService, nil, []string{"service web is removed with its budget of 2 VMs"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			store := memstore.New(clockwork.NewFakeClockAt(testTime))
			_, err := Apply(ctx, store, testDeclaration(t, ""), testOptions("c-1", "ana"))
			assert.NilError(t, err)
			opts := testOptions("c-2", "ana")
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

func TestDiffDescribesEveryChange(t *testing.T) {
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

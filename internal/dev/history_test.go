package dev

import (
	"encoding/json"
	"errors"
	"math"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/fleet"
	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/policy/model"
)

// configObject is the name of the configuration as an object of a history.
const configObject = "configuration"

// casCall is a compare-and-set call on one object: a VM's key, versioned by
// revision, or the configuration, versioned by generation. A call that wrote no
// version is a read.
type casCall struct {
	object    string
	ifVersion int64 // version it is conditional on; 0 if unconditional
	written   int64 // version it wrote; 0 if it was refused
	refusedBy int64 // version named by the refusal; 0 if none
}

// casObject is the specification. Versions increase, and a conditional write is
// based on the newest. A refusal names the newest version; if it names none, the
// call's condition differs from the newest version.
var casObject = porcupine.Model{
	Partition: byObject,
	Init:      func() any { return int64(0) },
	Step: func(state, input, _ any) (bool, any) {
		now, call := state.(int64), input.(casCall)
		switch {
		case call.written != 0:
			return (call.ifVersion == 0 || call.ifVersion == now) && call.written > now, call.written
		case call.refusedBy != 0:
			return call.refusedBy == now, now
		}
		return call.ifVersion != now, now
	},
}

func byObject(all []porcupine.Operation) [][]porcupine.Operation {
	parts := make(map[string][]porcupine.Operation)
	for _, op := range all {
		name := op.Input.(casCall).object
		parts[name] = append(parts[name], op)
	}
	var out [][]porcupine.Operation
	for _, part := range parts {
		out = append(out, part)
	}
	return out
}

// history records the operators' calls and their results.
type history struct {
	mu  sync.Mutex
	ops []porcupine.Operation
}

var epoch = time.Now()

func sinceEpoch() int64 { return time.Since(epoch).Nanoseconds() }

func (h *history) add(who int, call casCall, began, ended int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: who, Input: call, Call: began, Return: ended})
}

// order carries out an order on a VM and returns the revision that the operator
// learned from it, 0 if none. An order of unknown outcome is not recorded: its
// write, if any, is in the store's own history.
func (h *history) order(who int, vm model.VMID, o fleet.Order, do func() (fleet.Outcome, error)) infra.Revision {
	began := sinceEpoch()
	out, err := do()
	ended := sinceEpoch()
	call := casCall{object: infra.VMKey(vm), ifVersion: int64(o.IfRevision)}
	var refusal *fleet.Refusal
	switch {
	case err == nil && !out.Repeated:
		call.written = int64(out.Revision)
		h.add(who, call, began, ended)
		return out.Revision
	case errors.As(err, &refusal) && refusal.Revision != 0:
		call.refusedBy = int64(refusal.Revision)
		h.add(who, call, began, ended)
		return refusal.Revision
	}
	return 0
}

// apply carries out a change of the configuration and returns the generation to
// base the next change on: its own or, after an error, that of current.
func (h *history) apply(on uint64, do func() (uint64, error), current func() uint64) uint64 {
	began := sinceEpoch()
	made, err := do()
	if err != nil {
		return current()
	}
	h.add(100, casCall{object: configObject, ifVersion: int64(on), written: int64(made)}, began, sinceEpoch())
	return made
}

// check checks that the recorded calls on each object are linearizable, together
// with the writes in the store's history that no caller got a reply for.
func (h *history) check(t *testing.T, w *observer) {
	t.Helper()
	reported := make(map[string]map[int64]bool)
	for _, op := range h.ops {
		call := op.Input.(casCall)
		if reported[call.object] == nil {
			reported[call.object] = make(map[int64]bool)
		}
		reported[call.object][call.written] = true
	}
	ops := h.ops
	for i, call := range w.writes(t) {
		if !reported[call.object][call.written] {
			ops = append(ops, porcupine.Operation{ClientId: 1000 + i, Input: call, Call: 0, Return: math.MaxInt64})
		}
	}
	result := porcupine.CheckOperationsTimeout(casObject, ops, time.Minute)
	assert.Check(t, result == porcupine.Ok, "history of %d calls: %v", len(h.ops), result)
	t.Logf("%d orders and changes told, %d more writes in the store, %d reboots", len(h.ops), len(ops)-len(h.ops),
		w.c.platform.Machines.Tally().Reboots)
}

// writes returns every write of a VM or the configuration in the store's history,
// each conditional on the previous one.
func (w *observer) writes(t *testing.T) []casCall {
	t.Helper()
	last := make(map[string]int64)
	var calls []casCall
	add := func(object string, version int64) {
		calls = append(calls, casCall{object: object, ifVersion: last[object], written: version})
		last[object] = version
	}
	for _, b := range w.batches {
		for _, e := range b.Events {
			switch {
			case e.Kind == infra.EventPut && strings.HasPrefix(e.KV.Key, infra.VMPrefix):
				add(e.KV.Key, int64(e.KV.ModRevision))
			case e.Kind == infra.EventPut && e.KV.Key == infra.ConfigKey:
				var d model.Declaration
				assert.NilError(t, json.Unmarshal(e.KV.Value, &d))
				add(configObject, int64(d.Generation))
			}
		}
	}
	return calls
}

// Package scope finds the VMs that a scope of the language means. Orders and
// the questions before them share it, so that both are about the same VMs.
package scope

import (
	"sort"

	"github.com/pumicestage/pumicestage/internal/lang"
	"github.com/pumicestage/pumicestage/internal/view"
	"github.com/pumicestage/pumicestage/policy/model"
)

// Holder answers for the newest snapshot of a view.
type Holder struct {
	View *view.Holder
}

// Resolve returns the VMs of the scope in the newest snapshot, sorted.
func (h Holder) Resolve(s lang.Scope) []model.VMID { return In(h.View.Load(), s) }

// In returns the VMs that the scope means in the snapshot, sorted.
func In(s *view.Snapshot, sc lang.Scope) []model.VMID {
	var found []model.VMID
	for id, vm := range s.VMs {
		if has(sc, vm) {
			found = append(found, id)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i] < found[j] })
	return found
}

func has(sc lang.Scope, vm view.VMRecord) bool {
	switch sc.Subject {
	case lang.SubjectVM:
		return string(vm.ID) == sc.Name
	case lang.SubjectRack:
		return string(vm.Rack) == sc.Name
	case lang.SubjectZone:
		return string(vm.Zone) == sc.Name
	}
	return false
}

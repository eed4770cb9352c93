// Package scope resolves scopes of the operators' language (a VM, a rack or a
// zone) to VMs. Commands and what-if queries share it, so that both apply to
// the same VMs.
package scope

import (
	"sort"

	"github.com/pumicestage/pumicestage/internal/lang"
	"github.com/pumicestage/pumicestage/internal/view"
	"github.com/pumicestage/pumicestage/policy/model"
)

// Resolver resolves scopes in the newest snapshot of a view.
type Resolver struct {
	View *view.Holder
}

// Resolve returns the IDs of the VMs in the scope as of the newest snapshot, sorted.
func (h Resolver) Resolve(s lang.Scope) []model.VMID { return Resolve(h.View.Load(), s) }

// Resolve returns the IDs of the VMs in the scope as of the snapshot, sorted.
func Resolve(s *view.Snapshot, sc lang.Scope) []model.VMID {
	var found []model.VMID
	for id, vm := range s.VMs {
		if contains(sc, vm) {
			found = append(found, id)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i] < found[j] })
	return found
}

// contains reports whether the VM is in the scope; false for a subject other
// than a VM, rack or zone.
func contains(sc lang.Scope, vm view.VMRecord) bool {
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

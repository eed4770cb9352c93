package command

import (
	"sort"

	"github.com/pumicestage/pumicestage/internal/lang"
	"github.com/pumicestage/pumicestage/internal/view"
	"github.com/pumicestage/pumicestage/policy/model"
)

// ViewMembers answers Members from this entry VM's view of the fleet.
type ViewMembers struct {
	View *view.Holder
}

// In implements Members.
func (m ViewMembers) In(scope lang.Scope) []model.VMID {
	return MembersIn(m.View.Load(), scope)
}

// MembersIn returns the VMs that the scope means in the snapshot, sorted. What
// an order and the what-if before it are about is found by this one function.
func MembersIn(s *view.Snapshot, scope lang.Scope) []model.VMID {
	var found []model.VMID
	for id, vm := range s.VMs {
		switch scope.Subject {
		case lang.SubjectVM:
			if string(id) != scope.Name {
				continue
			}
		case lang.SubjectRack:
			if string(vm.Rack) != scope.Name {
				continue
			}
		case lang.SubjectZone:
			if string(vm.Zone) != scope.Name {
				continue
			}
		default:
			continue
		}
		found = append(found, id)
	}
	sort.Slice(found, func(i, j int) bool { return found[i] < found[j] })
	return found
}

package budget

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/policy/model"
)

func TestUpRequiresCertainEvidence(t *testing.T) {
	serving := Evidence{Listed: true, Health: model.HealthHealthy}
	cases := []struct {
		name  string
		state model.VMState
		e     Evidence
		want  bool
	}{
		{"in service", model.VMInPool, serving, true},
		{"leaving VM counts as down", model.VMLeaving, serving, false},
		{"in probation", model.VMProbation, serving, false},
		{"health unknown", model.VMInPool, Evidence{Listed: true}, false},
		{"health down", model.VMInPool, Evidence{Listed: true, Health: model.HealthDown}, false},
		{"not in a recent list", model.VMInPool, Evidence{Health: model.HealthHealthy}, false},
		{"planned stop in a ledger", model.VMInPool, Evidence{Listed: true, Health: model.HealthHealthy, Stopped: true}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) { assert.Equal(t, Up(tc.state, tc.e), tc.want) })
	}
}

// newMembers returns n VMs in two zones, of which the first `down` ones are down.
func newMembers(n, down int) []Member {
	var ms []Member
	for i := range n {
		ms = append(ms, Member{
			ID:   model.VMID(fmt.Sprint(i)),
			Zone: model.ZoneName([]string{"za", "zb"}[i%2]),
			Rack: model.RackName(fmt.Sprint("r", i/4)),
			Up:   i >= down,
		})
	}
	return ms
}

func TestTallyAllows(t *testing.T) {
	count := model.Budget{MinAvailable: model.Quantity{Count: 8}}
	share := model.Budget{MinAvailable: model.Quantity{Share: 0.75}}
	perZone := model.Budget{MinPerZone: model.Quantity{Count: 4}}
	both := model.Budget{MinAvailable: model.Quantity{Count: 6}, MinPerZone: model.Quantity{Share: 0.8}}
	cases := []struct {
		name      string
		budget    model.Budget
		total     int
		down      int
		stopped   int // stops counted before, all in zone za
		allowed   bool
		violation string
	}{
		{"within the headroom", count, 10, 0, 1, true, ""},
		{"planned stops use up the headroom", count, 10, 0, 2, false, ""},
		{"failures use up the headroom as well", count, 10, 1, 1, false, ""},
		{"violated by failures", count, 10, 3, 0, false, "service s has only 7 of 10 VMs up and needs 8"},
		{"a share rounds up", share, 10, 0, 2, false, ""},
		{"zone allows one stop", perZone, 10, 0, 0, true, ""},
		{"zone refuses a second stop", perZone, 10, 0, 1, false, ""},
		{"headroom in the service, none in the zone", both, 10, 0, 1, false, ""},
		{"zone violated", perZone, 10, 3, 0, false, "service s has 3 of 5 VMs up in zone za and needs 4"},
		{"no budget", model.Budget{}, 2, 0, 0, true, ""},
		{"no headroom", model.Budget{MinAvailable: model.Quantity{Count: 2}}, 2, 0, 0, false, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			ms := newMembers(tc.total, tc.down)
			tally := Count(&model.Service{Name: "s", Budget: tc.budget}, ms)
			assert.Equal(t, tally.Violation(), tc.violation)
			for i := range tc.stopped {
				tally.MarkDown(ms[len(ms)-2-2*i])
			}
			assert.Equal(t, tally.Allows(ms[len(ms)-2-2*tc.stopped]), tc.allowed)
		})
	}
}

func TestStoppingADownMemberUsesNoHeadroom(t *testing.T) {
	ms := newMembers(10, 1)
	tally := Count(&model.Service{Budget: model.Budget{MinAvailable: model.Quantity{Count: 9}}}, ms)

	assert.Assert(t, tally.Allows(ms[0]))
	tally.MarkDown(ms[0])

	assert.Equal(t, tally.Up, 9)
	assert.Assert(t, !tally.Allows(ms[1]))
}

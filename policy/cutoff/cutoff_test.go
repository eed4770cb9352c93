package cutoff

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Callers of a zone that is cut off are refused until the partition heals, though other
// zones could take their jobs: its entry VMs must not stay ready. An entry VM that has
// lost only the store can pass jobs to their owners, and during an outage of the store
// callers fare no better elsewhere: in both cases it must stay ready.
func TestWhoIsCutOff(t *testing.T) {
	for what, c := range map[string]struct {
		probe Probe
		want  bool
	}{
		"store answers":                   {Probe{Store: true}, false},
		"zone is cut off":                 {Probe{Asked: 3}, true},
		"store alone is unreachable":      {Probe{Asked: 3, Answered: 3}, false},
		"store outage and silent peers":   {Probe{Asked: 3, Answered: 1}, false},
		"no peer known in any other zone": {Probe{}, false},
		"peers silent, the store answers": {Probe{Store: true, Asked: 3}, false},
	} {
		assert.Equal(t, c.probe.CutOff(), c.want, what)
	}
}

// If only one other zone was probed and that one was cut off, an outage of the store
// would look like a partition, and callers would be sent from zone to zone. Two entry
// VMs of every other zone are probed.
func TestEveryOtherZoneIsProbed(t *testing.T) {
	peers := []Peer{{Name: "c1", Zone: "c"}, {Name: "b3", Zone: "b"}, {Name: "a1", Zone: "a"}, {Name: "b2", Zone: "b"}, {Name: "b1", Zone: "b"}}
	var names []string
	for _, p := range SelectPeers(peers, "a") {
		names = append(names, p.Name)
	}
	assert.DeepEqual(t, names, []string{"b1", "b2", "c1"})
}

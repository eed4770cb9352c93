package cutoff

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Callers of a zone that is cut off are refused for as long as that lasts, though other
// zones could take their jobs. An entry VM that is merely cut from the store can hand
// them to their owners, and in an outage of the store nobody does better elsewhere: in
// both cases it stays ready.
func TestWhoIsCutOff(t *testing.T) {
	for what, c := range map[string]struct {
		probe Probe
		want  bool
	}{
		"calm":                            {Probe{Store: true}, false},
		"zone cut off":                    {Probe{Asked: 3}, true},
		"cut from the store alone":        {Probe{Asked: 3, Answered: 3}, false},
		"outage, a peer lost as well":     {Probe{Asked: 3, Answered: 1}, false},
		"nobody known in any other zone":  {Probe{}, false},
		"peers silent, the store answers": {Probe{Store: true, Asked: 3}, false},
	} {
		assert.Equal(t, c.probe.CutOff(), c.want, what)
	}
}

// Callers are sent from one zone to the next during an outage of the store, as the one zone
// that was asked is cut off. Every other zone is asked, and two of its entry VMs.
func TestEveryOtherZoneIsAsked(t *testing.T) {
	peers := []Peer{{Name: "c1", Zone: "c"}, {Name: "b3", Zone: "b"}, {Name: "a1", Zone: "a"}, {Name: "b2", Zone: "b"}, {Name: "b1", Zone: "b"}}
	var names []string
	for _, p := range SelectPeers(peers, "a") {
		names = append(names, p.Name)
	}
	assert.DeepEqual(t, names, []string{"b1", "b2", "c1"})
}

package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/pumicestage/pumicestage/internal/peer"
	"github.com/pumicestage/pumicestage/policy/model"
)

// RelaysPerZone is how many entry VMs of each zone act as relays, that is, hold
// watches on the platform's store. One is enough; with a second, the loss of
// one relay interrupts nothing.
const RelaysPerZone = 2

// rank returns how many live entry VMs of the zone precede self in the
// rendezvous order of relays, and how many of those are current relays.
func rank(self model.EntryID, zone model.ZoneName, peers []peer.Status) (before, relaying int) {
	mine := peer.Rendezvous(string(zone), self)
	for _, p := range peers {
		if !p.Live || p.Zone != zone || p.Entry == self || peer.Rendezvous(string(zone), p.Entry) < mine {
			continue
		}
		before++
		if isCurrentRelay(p) {
			relaying++
		}
	}
	return before, relaying
}

// isCurrentRelay reports whether a peer holds watches on the platform's store
// and its view is younger than maxRelayAge.
func isCurrentRelay(p peer.Status) bool {
	return p.Watching && ageOf(p) < maxRelayAge
}

// selectSource returns the peer to poll for a newer view, or false if no live
// peer has one. It prefers a current relay of the own zone. If there is none
// (the platform is down, the zone is partitioned, or this daemon has just
// started), it returns the live peer of any zone with the newest view.
func selectSource(self model.EntryID, zone model.ZoneName, have versions, age time.Duration, peers []peer.Status) (model.EntryID, bool) {
	var current, newer []peer.Status
	for _, p := range peers {
		switch {
		case !p.Live || p.Entry == self:
		case p.Zone == zone && isCurrentRelay(p) && p.Generation >= have.Generation && p.Revision >= have.Revision:
			current = append(current, p)
		case p.Generation > have.Generation || p.Revision > have.Revision || ageOf(p)+pollInterval < age:
			newer = append(newer, p)
		}
	}
	if len(current) > 0 {
		best := slices.MaxFunc(current, func(a, b peer.Status) int {
			return cmp.Compare(peer.Rendezvous(string(self), a.Entry), peer.Rendezvous(string(self), b.Entry))
		})
		return best.Entry, true
	}
	if len(newer) == 0 {
		return "", false
	}
	best := slices.MaxFunc(newer, func(a, b peer.Status) int {
		return cmp.Or(
			cmp.Compare(a.Generation, b.Generation),
			cmp.Compare(a.Revision, b.Revision),
			compareBool(a.Zone == zone, b.Zone == zone),
			cmp.Compare(b.AgeMillis, a.AgeMillis),
		)
	})
	return best.Entry, true
}

func ageOf(p peer.Status) time.Duration { return time.Duration(p.AgeMillis) * time.Millisecond }

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/pumicestage/pumicestage/internal/peer"
	"github.com/pumicestage/pumicestage/policy/model"
)

// RelaysPerZone entry VMs of a zone hold the platform's watches. One is
// enough; the second makes the loss of the first cost nothing.
const RelaysPerZone = 2

// rank returns how many live entry VMs of the zone come before self as relay,
// and how many of those relay and are current.
func rank(self model.EntryID, zone model.ZoneName, peers []peer.Status) (before, relaying int) {
	mine := peer.Rendezvous(string(zone), self)
	for _, p := range peers {
		if !p.Live || p.Zone != zone || p.Entry == self || peer.Rendezvous(string(zone), p.Entry) < mine {
			continue
		}
		before++
		if relays(p) {
			relaying++
		}
	}
	return before, relaying
}

// relays reports whether a peer holds the platform's watch and is current.
func relays(p peer.Status) bool {
	return p.Watching && ageOf(p) < relayCurrent
}

// source picks the peer to ask for a newer view, and false where none has one.
// A relay of the own zone that is current comes first. Otherwise (the platform
// is down, the zone is cut off, or this daemon has just started) it is the
// live peer with the newest view, of whichever zone.
func source(self model.EntryID, zone model.ZoneName, have versions, age time.Duration, peers []peer.Status) (model.EntryID, bool) {
	var current, newer []peer.Status
	for _, p := range peers {
		switch {
		case !p.Live || p.Entry == self:
		case p.Zone == zone && relays(p) && p.Generation >= have.Generation && p.Revision >= have.Revision:
			current = append(current, p)
		case p.Generation > have.Generation || p.Revision > have.Revision || ageOf(p)+pollEvery < age:
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

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

// rank returns how many live entry VMs of the zone come before self as relay.
func rank(self model.EntryID, zone model.ZoneName, peers []peer.Status) int {
	mine := peer.Rendezvous(string(zone), self)
	before := 0
	for _, p := range peers {
		if p.Live && p.Zone == zone && p.Entry != self && peer.Rendezvous(string(zone), p.Entry) > mine {
			before++
		}
	}
	return before
}

// source picks the peer to ask for a newer view, and false where none has one.
// A relay of the own zone that is current comes first. Otherwise (the platform
// is down, the zone is cut off, or this daemon has just started) it is the
// live peer with the newest view, of whichever zone.
func source(self model.EntryID, zone model.ZoneName, have versions, age time.Duration, peers []peer.Status) (model.EntryID, bool) {
	var relays, newer []peer.Status
	for _, p := range peers {
		switch {
		case !p.Live || p.Entry == self:
		case p.Zone == zone && p.Watching && p.AgeMillis < millis(relayCurrent) && p.Generation >= have.Generation && p.Revision >= have.Revision:
			relays = append(relays, p)
		case p.Generation > have.Generation || p.Revision > have.Revision || ageOf(p)+pollEvery < age:
			newer = append(newer, p)
		}
	}
	if len(relays) > 0 {
		best := slices.MaxFunc(relays, func(a, b peer.Status) int {
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

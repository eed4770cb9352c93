package dispatch

import (
	"slices"
	"strings"

	"github.com/pumicestage/pumicestage/policy/model"
	"github.com/pumicestage/pumicestage/policy/slots"
)

// digest sends this entry VM's target states and lending message to the entry
// VMs of its zone four times a second, and only the lending message to those of
// other zones once a second.
func (s *sim) digest(e *simEntry, n int) {
	loads := map[model.VMID]TargetState{}
	for _, st := range e.d.States(s.now) {
		loads[st.VM] = st
	}
	msg := e.d.LendingMessage()
	for _, peer := range s.entryVMs {
		switch {
		case peer == e:
		case peer.zone == e.zone || s.optimistic:
			s.after(sameZoneLatency, func() { peer.digests[e.id] = simDigest{s.now, loads, msg} })
		case n%4 == 0:
			s.after(crossZoneLatency, func() { peer.digests[e.id] = simDigest{s.now, nil, msg} })
		}
	}
	s.after(digestInterval, func() { s.digest(e, n+1) })
}

// InFlight implements Peers.
func (e *simEntry) InFlight(vm model.VMID) int {
	n := 0
	for _, d := range e.digests {
		n += d.loads[vm].InFlight
	}
	return n
}

// Leaving implements Peers.
func (e *simEntry) Leaving(vm model.VMID) bool {
	for _, d := range e.digests {
		if d.loads[vm].Leaving {
			return true
		}
	}
	return false
}

// LendingMessages implements Peers.
func (e *simEntry) LendingMessages() []slots.PeerMessage {
	if e.noLoans {
		return nil
	}
	var all []slots.PeerMessage
	for id, d := range e.digests {
		all = append(all, slots.PeerMessage{Entry: id, ReceivedAt: d.at, Message: d.msg})
	}
	slices.SortFunc(all, func(a, b slots.PeerMessage) int { return strings.Compare(string(a.Entry), string(b.Entry)) })
	return all
}

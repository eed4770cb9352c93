package entry

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/faketarget"
	"github.com/pumicestage/pumicestage/internal/peer"
	"github.com/pumicestage/pumicestage/internal/view"
	"github.com/pumicestage/pumicestage/policy/model"
)

// group is some entry VMs that hear each other's digests at once.
type group struct {
	mu      sync.Mutex
	servers map[model.EntryID]*Server
}

// heardBy is the group as one of it hears it.
type heardBy struct {
	group *group
	self  model.EntryID
}

func (h *heardBy) peers() map[model.EntryID]*Server {
	h.group.mu.Lock()
	defer h.group.mu.Unlock()
	peers := make(map[model.EntryID]*Server)
	for id, s := range h.group.servers {
		if id != h.self {
			peers[id] = s
		}
	}
	return peers
}

// PeerInFlight implements peer.Loads.
func (h *heardBy) PeerInFlight(model.VMID) int { return 0 }

// PeerSaysLeaving implements peer.Loads.
func (h *heardBy) PeerSaysLeaving(model.VMID) bool { return false }

// LiveEntries implements peer.Loads.
func (h *heardBy) LiveEntries(model.ZoneName) int { return len(h.peers()) + 1 }

// Four entry VMs send to the same two targets, far more than these have slots
// for, and most of it through one of them. Targets that take what they are sent
// must never work on more than their slots; every caller gets its own answer.
func TestEntryVMsTogetherKeepTheSlots(t *testing.T) {
	s := buildStage(t, 2, faketarget.Options{
		IgnoreSlots: true,
		ServiceTime: func(*http.Request) time.Duration { return 2 * time.Millisecond },
	}, nil)
	ids := []model.EntryID{"e1", "e2", "e3", "e4"}
	s.publish(2, func(v *view.Snapshot) {
		v.AsOf = time.Now()
		for _, id := range ids {
			v.Entries = append(v.Entries, view.EntryRecord{ID: id, Zone: "z1"})
		}
	})
	g := &group{servers: make(map[model.EntryID]*Server)}
	var urls []string
	for _, id := range ids {
		server := New(Options{View: s.holder, Loads: &heardBy{g, id}, Log: logr.Discard(), Zone: "z1", Self: id})
		srv := httptest.NewServer(server)
		t.Cleanup(srv.Close)
		g.servers[id] = server
		urls = append(urls, srv.URL)
	}
	var wg sync.WaitGroup
	for c := range 24 {
		url := urls[max(0, c-20)] // e1 has most of the callers
		wg.Go(func() {
			for i := range 20 {
				id := fmt.Sprintf("c%d-%d", c, i)
				r := s.at(url).do("GET", "/services/tabulation/x", "", "X-Request", id)
				if r.err != nil || r.outcome != Ran || !strings.Contains(r.body, "request="+id+" ") {
					t.Errorf("%s got %d %q %v", id, r.status, r.body, r.err)
				}
			}
		})
	}
	wg.Wait()
	for _, target := range s.targets {
		assert.Assert(t, target.Counts().Peak <= 8, "%d at once", target.Counts().Peak)
	}
	assert.Equal(t, s.started(), 24*20)
}

// at returns the stage with another entry VM to ask.
func (s *stage) at(url string) *stage {
	other := *s
	other.url = url
	return &other
}

var _ peer.Loads = (*heardBy)(nil)

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

// peerGroup is a set of entry VMs that know of each other without delay.
type peerGroup struct {
	mu      sync.Mutex
	servers map[model.EntryID]*Server
}

// peerView implements peer.Loads for one entry VM of the group.
type peerView struct {
	group *peerGroup
	self  model.EntryID
}

func (h *peerView) peers() map[model.EntryID]*Server {
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
func (h *peerView) PeerInFlight(model.VMID) int { return 0 }

// PeerSaysLeaving implements peer.Loads.
func (h *peerView) PeerSaysLeaving(model.VMID) bool { return false }

// LiveEntries implements peer.Loads.
func (h *peerView) LiveEntries(model.ZoneName) int { return len(h.peers()) + 1 }

// Four entry VMs send to the same two targets, most requests through one of them
// and far more than the targets have slots. Targets that accept everything must
// never have more requests running than slots, and every caller must get the
// response to its own request.
func TestEntryVMsTogetherNeverExceedSlots(t *testing.T) {
	s := buildTestEnv(t, 2, faketarget.Options{
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
	g := &peerGroup{servers: make(map[model.EntryID]*Server)}
	var urls []string
	for _, id := range ids {
		server := New(Options{View: s.holder, Loads: &peerView{g, id}, Log: logr.Discard(), Zone: "z1", Self: id})
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

// at returns a copy of the testEnv that sends its requests to the entry VM at url.
func (s *testEnv) at(url string) *testEnv {
	other := *s
	other.url = url
	return &other
}

var _ peer.Loads = (*peerView)(nil)

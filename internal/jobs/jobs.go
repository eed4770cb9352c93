// Package jobs places submitted jobs on workers and tracks them until they
// end.
//
// Every entry VM may run a Jobs. It is level-triggered: each reconciliation
// pass compares the stored state of every job with the state of its task on
// the platform and makes the next transition. A transition is a compare-and-swap
// on the key of the job's group, and every start is stored as an intent with an
// attempt ID before the platform is asked to start the task. Correctness
// therefore doesn't depend on how many entry VMs do passes concurrently, or on
// whether one of them pauses or crashes. A lease elects one entry VM, the lease
// holder, to do the passes; it only avoids duplicate work.
package jobs

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/view"
	"github.com/pumicestage/pumicestage/policy/model"
)

// Options configures a Jobs. Store, Machines, View and Self are required.
type Options struct {
	Store    infra.Store
	Machines infra.Machines
	View     *view.Holder
	Self     model.EntryID
	// MaintenanceSoon reports whether maintenance of the VM is due soon. Nil
	// means that it never is.
	MaintenanceSoon func(model.VMID) bool
	Clock           clockwork.Clock // the real one if nil
	Log             logr.Logger
	NewID           func() string // returns a unique ID; random IDs if nil
}

// Jobs runs the job executor of one entry VM and answers commands and queries
// on jobs. It is safe for concurrent use.
type Jobs struct {
	store           infra.Store
	machines        infra.Machines
	view            *view.Holder
	self            model.EntryID
	maintenanceSoon func(model.VMID) bool
	clock           clockwork.Clock
	log             logr.Logger
	newID           func() string
	owner           string // Self and a unique ID, which identify this process
	parallel        int    // maximum number of concurrent calls to Machines
	wakeup          chan struct{}
	mirror          *mirror
	counts          counts
	batcher         submitBatcher
	urgent          urgentJobs

	passMu sync.Mutex // held during a pass
	// The fields below are guarded by passMu.
	lease     lease
	stopWatch context.CancelFunc            // cancels the watch on jobs
	sent      map[model.AttemptID]bool      // attempts whose start this process has sent or is about to send
	renewed   map[model.AttemptID]time.Time // time of the last renewal of each task's lease
	learned   *learnedState
}

// counts holds the counters of a Jobs for metrics and benchmarks.
type counts struct {
	writes, limited, starts, passes atomic.Int64
}

// Counts are the counters of a Jobs since this entry VM started.
type Counts struct {
	Writes  int64 // transactions sent
	Limited int64 // calls refused by a rate limit and repeated
	Starts  int64 // start requests sent to the platform, repeats included
	Passes  int64 // reconciliation passes begun
}

// Counts returns the current counters.
func (j *Jobs) Counts() Counts {
	return Counts{j.counts.writes.Load(), j.counts.limited.Load(), j.counts.starts.Load(), j.counts.passes.Load()}
}

// New returns a Jobs. It does no passes until Step or Run is called.
func New(o Options) *Jobs {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.NewID == nil {
		o.NewID = randomID
	}
	if o.MaintenanceSoon == nil {
		o.MaintenanceSoon = func(model.VMID) bool { return false }
	}
	return &Jobs{
		store:           o.Store,
		machines:        o.Machines,
		view:            o.View,
		self:            o.Self,
		maintenanceSoon: o.MaintenanceSoon,
		clock:           o.Clock,
		log:             o.Log,
		newID:           o.NewID,
		owner:           string(o.Self) + "/" + o.NewID(),
		parallel:        parallelStarts,
		wakeup:          make(chan struct{}, 1),
		mirror:          newMirror(o.Store),
		sent:            make(map[model.AttemptID]bool),
		renewed:         make(map[model.AttemptID]time.Time),
		learned:         newLearned(),
		stopWatch:       func() {},
	}
}

func randomID() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never returns an error
	return hex.EncodeToString(b[:])
}

// changeID returns a new change ID for a write by this entry VM.
func (j *Jobs) changeID() model.ChangeID {
	return model.ChangeID(string(j.self) + "-" + j.newID())
}

// NewChangeID returns a change ID for a request that came without one.
func (j *Jobs) NewChangeID() model.ChangeID { return model.ChangeID("c-" + j.newID()) }

// Wake makes Run start a pass without waiting for the next interval.
func (j *Jobs) Wake() {
	select {
	case j.wakeup <- struct{}{}:
	default:
	}
}

// Step does one pass, whether or not this entry VM holds the lease. Concurrent
// passes on two entry VMs are safe: of two conflicting compare-and-swaps only
// one succeeds.
func (j *Jobs) Step(ctx context.Context) error {
	j.passMu.Lock()
	defer j.passMu.Unlock()
	_, err := j.pass(ctx)
	return err
}

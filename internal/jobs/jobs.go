// Package jobs places submitted jobs on the workers and sees them through.
//
// Every entry VM may run a Jobs. It is level-driven: a pass compares what the
// store says of each job with what the platform says of its task, and does the
// next step. Each transition is a compare-and-swap on the key of the job's
// group, and each start is written as an intent with an attempt ID before the
// platform is asked, so any number of them may work at once, pause or die. A
// lease picks one that does the work, only to save effort.
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

// Options are what a Jobs works with. Store, Machines, View and Self are
// required.
type Options struct {
	Store    infra.Store
	Machines infra.Machines
	View     *view.Holder
	Self     model.EntryID
	// MaintenanceSoon reports whether the VM is about to be maintained; nil for never.
	MaintenanceSoon func(model.VMID) bool
	Clock           clockwork.Clock // the real one if nil
	Log             logr.Logger
	NewID           func() string // makes unique IDs; random if nil
}

// Jobs is the executor of one entry VM, and the commands and questions on
// jobs. It is safe for concurrent use.
type Jobs struct {
	store           infra.Store
	machines        infra.Machines
	view            *view.Holder
	self            model.EntryID
	maintenanceSoon func(model.VMID) bool
	clock           clockwork.Clock
	log             logr.Logger
	newID           func() string
	owner           string // this run of the entry VM
	parallel        int    // calls to the machines at once
	wakeup          chan struct{}
	mirror          *mirror
	counts          counts
	batcher         submitBatcher
	urgent          urgentJobs

	passMu sync.Mutex // one pass at a time
	// What follows is used by passes alone.
	lease     lease
	stopWatch context.CancelFunc            // ends the watch
	sent      map[model.AttemptID]bool      // starts that were sent, and whether their outcome is open
	renewed   map[model.AttemptID]time.Time // when a task's lease was last renewed
	learned   *learnedState
}

// counts are what a Jobs did, for metrics and benchmarks.
type counts struct {
	writes, limited, starts, passes atomic.Int64
}

// Counts is what this entry VM did with jobs since it began.
type Counts struct {
	Writes  int64 // transactions sent
	Limited int64 // of them refused because of the service's rate
	Starts  int64 // tasks that the platform was asked to start
	Passes  int64
}

// Counts returns the counts so far.
func (j *Jobs) Counts() Counts {
	return Counts{j.counts.writes.Load(), j.counts.limited.Load(), j.counts.starts.Load(), j.counts.passes.Load()}
}

// New returns a Jobs. It does nothing until Step or Run is called.
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
	_, _ = rand.Read(b[:]) // never fails, by its contract
	return hex.EncodeToString(b[:])
}

func (j *Jobs) changeID() model.ChangeID {
	return model.ChangeID(string(j.self) + "-" + j.newID())
}

// NewChangeID returns a change ID for a request that bears none.
func (j *Jobs) NewChangeID() model.ChangeID { return model.ChangeID("c-" + j.newID()) }

// Wake lets Run pass at once.
func (j *Jobs) Wake() {
	select {
	case j.wakeup <- struct{}{}:
	default:
	}
}

// Step does one pass, whether or not this entry VM holds the lease: two passes
// at once on two entry VMs collide in their compare-and-swap and do no harm.
func (j *Jobs) Step(ctx context.Context) error {
	j.passMu.Lock()
	defer j.passMu.Unlock()
	_, err := j.pass(ctx)
	return err
}

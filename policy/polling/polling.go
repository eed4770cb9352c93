// Package polling decides how often a worker is polled and what for, and how often the
// platform's list of VMs is read.
//
// Load pattern: in a burst a large service has drawn most of a fleet, and each of its
// workers ends a task every sixty milliseconds. Polled at each end, three hundred
// workers give their owner five thousand answers a second, each listing all that
// runs there; taking them in leaves no time to start what could run. Ends are
// therefore gathered a little longer the more workers there are, and most answers
// tell of ends alone.
package polling

import "time"

const (
	// leastPause lies between two polls of one worker: a step of a job loses at
	// most this much between its tasks.
	leastPause = 30 * time.Millisecond
	// mostPause bounds what a step loses to a sixth of the shortest tasks.
	mostPause = 100 * time.Millisecond
	// perWorker keeps all polls of a cell below three thousand a second, which
	// take an owner a quarter of a core.
	perWorker = 350 * time.Microsecond
	// fullEvery is how old the list of what runs may be: a task that stands still
	// is found by looks over a second and a half, and a run that vanished, in
	// which no end was listed, is rare.
	fullEvery = 500 * time.Millisecond
)

// MinInterval returns the least time between two polls of a worker of a cell with so many
// busy workers.
func MinInterval(workers int) time.Duration {
	return min(mostPause, max(leastPause, time.Duration(workers)*perWorker))
}

// Brief reports whether a poll may leave out what runs. listed is how long ago it
// was last listed; open whether the list can settle something: an order without an
// answer, or a stop under way.
func Brief(listed time.Duration, open bool) bool { return !open && listed < fullEvery }

const (
	// listShare is the part of the platform's rate of reads that lists of VMs may
	// take: the rate is for all entry VMs together, and owners of cells list VMs as
	// well while workers do not answer.
	listShare = 0.25
	// listPage is how many VMs a read returns; each page counts as one.
	listPage = 200
)

// MinListInterval returns the least time between two lists of so many VMs where the platform
// takes so many reads a second; 0 reads: any number. A list of three thousand VMs takes
// fifteen reads; read at every pass it took three times what the platform gives, and
// most were refused.
func MinListInterval(vms int, readsPerSecond float64) time.Duration {
	if readsPerSecond <= 0 {
		return 0
	}
	pages := (max(1, vms) + listPage - 1) / listPage
	return time.Duration(float64(pages) / (readsPerSecond * listShare) * float64(time.Second))
}

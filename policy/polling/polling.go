// Package polling decides how often a worker is polled, whether a poll lists what
// runs there, and how often the platform's list of VMs is read.
//
// Load pattern: in a burst a large service has requested most of a fleet, and each
// of its workers ends a task every sixty milliseconds. If each end were followed by
// a poll, three hundred workers would give their owner five thousand answers a
// second, each with a list of all that runs there, and processing them would leave
// no time to start what could run. Therefore the time between polls grows with the
// number of workers, so that one answer tells of several ends, and most polls are
// brief: their answers tell of ends alone.
package polling

import "time"

const (
	// minPause is the least time between two polls of one worker: a step of a job
	// waits at most this much between its tasks.
	minPause = 30 * time.Millisecond
	// maxPause bounds what a step loses between its tasks: a sixth of the duration of
	// the shortest tasks.
	maxPause = 100 * time.Millisecond
	// pausePerWorker keeps all polls of a cell below three thousand a second, which
	// take a quarter of one of the owner's processors.
	pausePerWorker = 350 * time.Microsecond
	// maxListAge is how old the list of what runs on a worker may be. A task is found
	// to be stalled from the lists of a second and a half, and a run that vanished
	// without an end in an answer is rare.
	maxListAge = 500 * time.Millisecond
)

// MinInterval returns the least time between two polls of a worker of a cell with
// so many busy workers.
func MinInterval(workers int) time.Duration {
	return min(maxPause, max(minPause, time.Duration(workers)*pausePerWorker))
}

// Brief reports whether a poll may be brief, which leaves out the list of what runs
// on the worker. listed is the time since it was last listed. unsettled tells that
// the list can settle something: an unanswered order, or a stop that has not ended.
func Brief(listed time.Duration, unsettled bool) bool { return !unsettled && listed < maxListAge }

const (
	// listShare is the part of the platform's read rate that listing VMs here may use.
	// That rate is for all entry VMs together, and owners of cells list VMs as well
	// while workers don't answer.
	listShare = 0.25
	// listPage is how many VMs one read returns; each page counts as a read.
	listPage = 200
)

// MinListInterval returns the least time between two lists of so many VMs where the
// platform allows so many reads a second; 0 reads: any number. A list of three
// thousand VMs takes fifteen reads. Read at every pass of the owner, it would take
// three times the platform's rate, and most reads would be refused.
func MinListInterval(vms int, readsPerSecond float64) time.Duration {
	if readsPerSecond <= 0 {
		return 0
	}
	pages := (max(1, vms) + listPage - 1) / listPage
	return time.Duration(float64(pages) / (readsPerSecond * listShare) * float64(time.Second))
}

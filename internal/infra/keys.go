package infra

import (
	"strconv"

	"github.com/pumicestage/pumicestage/policy/model"
)

// The key space. Every key of the system is made here, so that no two parts
// use one key for two things.
const (
	// Root is the prefix of every key.
	Root = "/pumicestage/"
	// ConfigKey holds the declaration in force with its generation.
	ConfigKey = Root + "config"
	// VMPrefix holds one key per VM.
	VMPrefix = Root + "vms/"
	// ViewBeaconKey is written by the entry VMs that hold the platform's watch.
	// It lies outside VMPrefix but inside ViewWatchPrefix: seeing it come back
	// proves that the watch has delivered every change of VMs before it.
	ViewBeaconKey = Root + "view"
	// ViewWatchPrefix covers VMPrefix and ViewBeaconKey, for one watch.
	ViewWatchPrefix = Root + "v"
	// LedgerPrefix holds one key per service: its planned stops in progress.
	LedgerPrefix = Root + "ledger/"
	// WavePrefix holds one key per started wave.
	WavePrefix = Root + "waves/"
	// ClaimPrefix holds the claims of requests that run at most once.
	ClaimPrefix = Root + "claims/"
	// EntryPrefix holds one leased key per live entry VM.
	EntryPrefix = Root + "entries/"
	// ShardPrefix holds one leased key per shard of reconciling work.
	ShardPrefix = Root + "shards/"
	// JobPrefix holds jobs in groups.
	JobPrefix = Root + "jobs/"
	// AuditPrefix holds the trail of changes in segments.
	AuditPrefix = Root + "audit/"
)

// VMKey returns the key of a VM.
func VMKey(id model.VMID) string { return VMPrefix + string(id) }

// LedgerKey returns the key of a service's ledger.
func LedgerKey(s model.ServiceName) string { return LedgerPrefix + string(s) }

// WaveKey returns the key of a wave.
func WaveKey(w model.WaveName) string { return WavePrefix + string(w) }

// EntryKey returns the key of an entry VM.
func EntryKey(id model.EntryID) string { return EntryPrefix + string(id) }

// Keys of the jobs that run as tasks on workers. A cell is the workers of one
// service and the jobs that run on them.
const (
	// WorkOwnerPrefix holds one leased key per duty: a cell, or the fleet. Its
	// revision is the fencing token of all its owner's orders.
	WorkOwnerPrefix = Root + "work/owner/"
	// WorkJobPrefix holds one key per job, the job key. It prevents a second job with
	// the same ID, and is deleted some time after the job has ended.
	WorkJobPrefix = Root + "work/jobs/"
	// WorkWavePrefix holds what is done of maintenance waves.
	WorkWavePrefix = Root + "work/waves/"

	// WorkEntryPrefix holds one leased key per live entry VM.
	WorkEntryPrefix = Root + "work/entries/"

	// WorkLimitPrefix holds one key per workspace whose limit cells hold parts of.
	WorkLimitPrefix = Root + "work/limits/"

	workCommitPrefix   = Root + "work/commit/"
	workOpenPrefix     = Root + "work/open/"
	workProgressPrefix = Root + "work/progress/"
	workInboxPrefix    = Root + "work/inbox/"
)

// WorkEntryKey returns the key of a live entry VM.
func WorkEntryKey(name string) string { return WorkEntryPrefix + name }

// WorkLimitKey returns the key of what cells hold of the workspace's limit.
func WorkLimitKey(workspace string) string { return WorkLimitPrefix + workspace }

// WorkOwnerKey returns the key of the duty's owner.
func WorkOwnerKey(duty string) string { return WorkOwnerPrefix + duty }

// WorkCommitKey returns a key that transactions of a cell's owner rewrite and have in
// their condition: those of an earlier owner, and late ones of the same, fail. An owner
// has several, one for each transaction that may be under way at a time.
func WorkCommitKey(cell string, n int) string {
	if n == 0 {
		return workCommitPrefix + cell
	}
	return workCommitPrefix + cell + "/" + strconv.Itoa(n)
}

// WorkJobKey returns the key that makes the ID one job.
func WorkJobKey(id string) string { return WorkJobPrefix + id }

// WorkOpenPrefix returns the prefix of the cell's jobs that have not ended.
func WorkOpenPrefix(cell string) string { return workOpenPrefix + cell + "/" }

// WorkOpenKey returns the key of a job that has not ended.
func WorkOpenKey(cell, id string) string { return WorkOpenPrefix(cell) + id }

// WorkProgressPrefix returns the prefix of what is done of the cell's open jobs.
func WorkProgressPrefix(cell string) string { return workProgressPrefix + cell + "/" }

// WorkProgressKey returns the key of an open job's progress.
func WorkProgressKey(cell, id string) string { return WorkProgressPrefix(cell) + id }

// WorkInboxPrefix returns the prefix of what entry VMs wrote for the cell's owner
// while they could not reach it.
func WorkInboxPrefix(cell string) string { return workInboxPrefix + cell + "/" }

// WorkInboxKey returns the key of an entry VM's note about a job.
func WorkInboxKey(cell, kind, id string) string { return WorkInboxPrefix(cell) + kind + "/" + id }

package infra

import (
	"strconv"

	"github.com/pumicestage/pumicestage/policy/model"
)

// Prefixes and keys in the store. Every key of the system is built in this
// file, so that no two packages use one key for different purposes.
const (
	// Root is the prefix of every key.
	Root = "/pumicestage/"
	// ConfigKey holds the declaration in force and its generation.
	ConfigKey = Root + "config"
	// VMPrefix holds one key per VM.
	VMPrefix = Root + "vms/"
	// ViewBeaconKey is written by the entry VMs that watch the VM keys. It is
	// outside VMPrefix but matches ViewWatchPrefix: once the watch returns a
	// write of it, it has delivered every earlier change of a VM.
	ViewBeaconKey = Root + "view"
	// ViewWatchPrefix matches VMPrefix and ViewBeaconKey, so that one watch
	// covers both.
	ViewWatchPrefix = Root + "v"
	// LedgerPrefix holds one key per service: its ledger, which lists the
	// planned stops of VMs in progress.
	LedgerPrefix = Root + "ledger/"
	// WavePrefix holds one key per started maintenance wave.
	WavePrefix = Root + "waves/"
	// ClaimPrefix holds the claims of requests that run at most once.
	ClaimPrefix = Root + "claims/"
	// EntryPrefix holds one leased key per live entry VM that runs package daemon:
	// its registration (view.EntryRecord).
	EntryPrefix = Root + "entries/"
	// ShardPrefix holds one leased key per shard of the reconciliation work.
	ShardPrefix = Root + "shards/"
	// JobPrefix holds the jobs, in groups.
	JobPrefix = Root + "jobs/"
	// AuditPrefix holds the audit trail, split into segments.
	AuditPrefix = Root + "audit/"
)

// VMKey returns the key of a VM.
func VMKey(id model.VMID) string { return VMPrefix + string(id) }

// LedgerKey returns the key of a service's ledger.
func LedgerKey(s model.ServiceName) string { return LedgerPrefix + string(s) }

// WaveKey returns the key of a wave.
func WaveKey(w model.WaveName) string { return WavePrefix + string(w) }

// EntryKey returns the key below EntryPrefix of an entry VM.
func EntryKey(id model.EntryID) string { return EntryPrefix + string(id) }

// Prefixes of the jobs that run as tasks on workers. A cell is the workers of
// one service and the jobs on them; one entry VM at a time owns it.
const (
	// WorkOwnerPrefix holds one leased key per duty: a cell, or the fleet. The
	// key's revision is the fencing token of every order that its owner gives.
	WorkOwnerPrefix = Root + "work/owner/"
	// WorkJobPrefix holds one short key per job, the job key. It prevents a second job with
	// the same ID, and is deleted some time after the job has ended.
	WorkJobPrefix = Root + "work/jobs/"
	// WorkWavePrefix holds the progress of maintenance waves.
	WorkWavePrefix = Root + "work/waves/"
	// WorkCapacityKey holds the history of the fleet's load, from which its owner plans the
	// capacity.
	WorkCapacityKey = Root + "work/capacity"

	// WorkEntryPrefix holds one leased key per live entry VM that runs package node:
	// its zone, address and weight (members.Record).
	WorkEntryPrefix = Root + "work/entries/"

	// WorkLimitPrefix holds one key per workspace whose limit is divided into
	// shares that cells hold.
	WorkLimitPrefix = Root + "work/limits/"

	workCommitPrefix   = Root + "work/commit/"
	workOpenPrefix     = Root + "work/open/"
	workProgressPrefix = Root + "work/progress/"
	workInboxPrefix    = Root + "work/inbox/"
)

// WorkEntryKey returns the key below WorkEntryPrefix of the entry VM with the name.
func WorkEntryKey(name string) string { return WorkEntryPrefix + name }

// WorkLimitKey returns the key of the shares of the workspace's limit.
func WorkLimitKey(workspace string) string { return WorkLimitPrefix + workspace }

// WorkOwnerKey returns the key of the duty's owner.
func WorkOwnerKey(duty string) string { return WorkOwnerPrefix + duty }

// WorkCommitKey returns a key that every transaction of a cell's owner rewrites and
// names in its condition, so that transactions of an earlier owner, and delayed ones of
// the same owner, fail. An owner has one such key, numbered n from 0, per transaction
// that may be in flight at a time.
func WorkCommitKey(cell string, n int) string {
	if n == 0 {
		return workCommitPrefix + cell
	}
	return workCommitPrefix + cell + "/" + strconv.Itoa(n)
}

// WorkJobKey returns the key that reserves the ID for one job.
func WorkJobKey(id string) string { return WorkJobPrefix + id }

// WorkOpenPrefix returns the prefix of the cell's jobs that have not ended.
func WorkOpenPrefix(cell string) string { return workOpenPrefix + cell + "/" }

// WorkOpenKey returns the key of a job that has not ended.
func WorkOpenKey(cell, id string) string { return WorkOpenPrefix(cell) + id }

// WorkProgressPrefix returns the prefix of the progress of the cell's open jobs, those
// that have not ended.
func WorkProgressPrefix(cell string) string { return workProgressPrefix + cell + "/" }

// WorkProgressKey returns the key of an open job's progress.
func WorkProgressKey(cell, id string) string { return WorkProgressPrefix(cell) + id }

// WorkInboxPrefix returns the prefix of the inbox messages that entry VMs leave in the
// store for the cell's owner while they cannot reach it.
func WorkInboxPrefix(cell string) string { return workInboxPrefix + cell + "/" }

// WorkInboxKey returns the key of an entry VM's inbox message of one kind about a job.
func WorkInboxKey(cell, kind, id string) string { return WorkInboxPrefix(cell) + kind + "/" + id }

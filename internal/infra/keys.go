package infra

import "github.com/pumicestage/pumicestage/policy/model"

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

// Keys of the jobs that run as tasks on workers.
const (
	// WorkOwnerKey is leased by the entry VM that owns the workers. Its
	// revision is the fencing token of all that owner's orders.
	WorkOwnerKey = Root + "work/owner"
	// WorkCommitKey is rewritten in every transaction of the owner and is in
	// its condition: transactions of an earlier owner, and late ones of the
	// same, fail.
	WorkCommitKey = Root + "work/commit"
	// WorkJobPrefix holds one key per job, for ever: an ID is one job.
	WorkJobPrefix = Root + "work/jobs/"
	// WorkProgressPrefix holds what is done of open jobs.
	WorkProgressPrefix = Root + "work/progress/"
	// WorkInboxPrefix holds what entry VMs wrote while they could not reach
	// the owner, for it to find.
	WorkInboxPrefix = Root + "work/inbox/"
	// WorkWavePrefix holds what is done of maintenance waves.
	WorkWavePrefix = Root + "work/waves/"
)

// WorkJobKey returns the key of a job.
func WorkJobKey(id string) string { return WorkJobPrefix + id }

// WorkProgressKey returns the key of a job's progress.
func WorkProgressKey(id string) string { return WorkProgressPrefix + id }

// WorkInboxKey returns the key of an entry VM's note about a job.
func WorkInboxKey(kind, id string) string { return WorkInboxPrefix + kind + "/" + id }

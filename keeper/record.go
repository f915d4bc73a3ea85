package keeper

import (
	"time"

	"github.com/juju/errors"
)

// Keys of the records. Each has its writers listed in docs/STATE.md.
const (
	MembersKey       = "members"        // registrar.View
	RulesPrefix      = "rules/"         // everything below
	ChangePrefix     = "rules/change/"  // one numbered change each
	SnapshotKey      = "rules/snapshot" // the last compacted rules
	LedgerPrefix     = "ledger/"        // granter.Account by team
	InstancePrefix   = "instances/"     // mover.Instance by instance
	AbsencesKey      = "absences"       // budgeter.Absences
	LeasePrefix      = "leases/"        // holder of a duty, bound to a lease
	JournalPrefix    = "journal/"       // bounded ring of fleet decisions
	MaintenanceKey   = "maintenance"    // mover.Rollout
	MaxValueBytes    = 1 << 20          // largest value the service holds
	DefaultLeaseTime = 6 * time.Second  // time to live of a duty's lease
)

// Errors of the key-value service.
const (
	// ErrConflict reports that the record has another revision than expected.
	// Nothing was written.
	ErrConflict = errors.ConstError("record changed by another writer")
	// ErrUnavailable reports that the service refused or was not reached.
	// Nothing was written.
	ErrUnavailable = errors.ConstError("key-value service unavailable")
	// ErrUnknown reports that the answer was lost. The write may have taken
	// effect.
	ErrUnknown = errors.ConstError("outcome of the write unknown")
	// ErrCompacted reports that a watch starts before the oldest event kept.
	ErrCompacted = errors.ConstError("revision compacted")
	// ErrLeaseLost reports that a lease has expired.
	ErrLeaseLost = errors.ConstError("lease expired")
	// ErrTooLarge reports a value above MaxValueBytes. Nothing was written.
	ErrTooLarge = errors.ConstError("value too large for the key-value service")
)

// Record is one key with its value. Revision 0 means that the key is absent.
type Record struct {
	Key      string
	Value    []byte
	Revision int64 // revision of the last write, growing across all keys
}

// Event is one change of a key seen by a watch.
type Event struct {
	Record
	Deleted bool
}

// LeaseID names a lease of the service. 0 means none.
type LeaseID int64

type (
	// Txn changes several keys at once, or none of them.
	Txn struct {
		Expect []Expectation
		Put    []Put
		Delete []string
	}

	// Expectation is a condition of a Txn: the revision that a key has, 0 for
	// an absent key.
	Expectation struct {
		Key      string
		Revision int64
	}

	// Put writes a key, bound to a lease unless it is 0.
	Put struct {
		Key   string
		Value []byte
		Lease LeaseID
	}
)

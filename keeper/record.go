package keeper

import (
	"time"

	"github.com/juju/errors"
)

// Keys of the records, and limits. docs/STATE.md lists who writes each record.
const (
	MembersKey       = "members"        // registrar.View
	RulesPrefix      = "rules/"         // prefix of all keys of the rules
	ChangePrefix     = "rules/change/"  // followed by the number of the change of the rules
	SnapshotKey      = "rules/snapshot" // latest snapshot of the rules; earlier changes are deleted
	LedgerPrefix     = "ledger/"        // followed by a team: granter.Account; these records together are the ledger
	InstancePrefix   = "instances/"     // followed by an instance: mover.Instance
	AbsencesKey      = "absences"       // budgeter.Absences
	LeasePrefix      = "leases/"        // followed by the name of a LeaseLock: its holder; the record is bound to a lease
	JournalPrefix    = "journal/"       // ring buffer of the latest fleet decisions
	MaintenanceKey   = "maintenance"    // mover.Rollout
	EvacuationsKey   = "evacuations"    // excluder.Record
	MaxValueBytes    = 1 << 20          // largest value that the service stores
	DefaultLeaseTime = 6 * time.Second  // time to live of the lease of a LeaseLock
)

// Errors of the key-value service.
const (
	// ErrConflict reports that the record does not have the expected revision.
	// Nothing was written.
	ErrConflict = errors.ConstError("record changed by another writer")
	// ErrUnavailable reports that the service refused the call or could not be
	// reached. Nothing was written.
	ErrUnavailable = errors.ConstError("key-value service unavailable")
	// ErrUnknown reports that the answer to a write was lost. The write may have
	// taken effect.
	ErrUnknown = errors.ConstError("outcome of the write unknown")
	// ErrCompacted reports that a watch starts at a revision whose events the
	// service has already deleted.
	ErrCompacted = errors.ConstError("revision compacted")
	// ErrLeaseLost reports that a lease has expired.
	ErrLeaseLost = errors.ConstError("lease expired")
	// ErrRejected reports that the service has rejected a write as invalid, for example
	// because of its size. Nothing was written, and the same write will be rejected again.
	ErrRejected = errors.ConstError("write rejected by the key-value service")
	// ErrTooLarge reports a value above MaxValueBytes. Nothing was written.
	ErrTooLarge = errors.ConstError("value too large for the key-value service")
)

// Record is a key with its value. Revision 0 means that the key is absent.
type Record struct {
	Key      string
	Value    []byte
	Revision int64 // revision of the last write to the key; each write to any key increases the revision of the service
}

// Event is a change of a key, as reported by a watch.
type Event struct {
	Record
	Deleted bool
}

// LeaseID identifies a lease of the service. 0 means no lease.
type LeaseID int64

type (
	// Txn is a transaction: if all expectations hold, it writes and deletes all
	// its keys; otherwise it changes nothing.
	Txn struct {
		Expect []Expectation
		Put    []Put
		Delete []string
	}

	// Expectation is a condition of a Txn: the key has the given revision, or
	// is absent if the revision is 0.
	Expectation struct {
		Key      string
		Revision int64
	}

	// Put writes a key. If Lease is not 0, the service deletes the key when the
	// lease ends.
	Put struct {
		Key   string
		Value []byte
		Lease LeaseID
	}
)

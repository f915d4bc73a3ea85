package mover

import "time"

// Phases of an instance.
const (
	Serving   Phase = "serving"   // takes work
	Draining  Phase = "draining"  // takes no new work, finishes what runs
	Drained   Phase = "drained"   // nothing runs
	Rebooting Phase = "rebooting" // handed to the platform
	Absent    Phase = "absent"    // failed, or left the instance list
	Evicted   Phase = "evicted"   // vouched dead by an operator
)

type (
	// Instance is the record of one instance. It is in exactly one pool, and
	// at most one member starts work on it.
	Instance struct {
		ID      string
		Address string // IP number and port of its worker
		Zone    string
		Rack    string
		Pool    string
		Slots   int
		Phase   Phase
		Epoch   uint64 // grows with every change of pool, owner or phase
		Owner   string // member that may start work on it; empty when none
		Next    string // member that the owner hands over to when drained
		Order   *Order // the operation under way
	}

	// Order is an operation on an instance, restartable by any entry.
	Order struct {
		ID      string // identity for the journal, such as "move-7f3a"
		Kind    OrderKind
		Pool    string // destination of a move
		From    string // pool to go back to when the move is undone
		Asked   string // operator or controller that asked
		Since   time.Time
		Expires time.Time // time limit; zero for none
		Note    string    // what it waits for, for explain
	}

	// Phase is the state of an instance towards new work.
	Phase string

	// OrderKind is the kind of an operation.
	OrderKind string
)

// Kinds of orders.
const (
	DrainOrder  OrderKind = "drain"
	MoveOrder   OrderKind = "move"
	RebootOrder OrderKind = "reboot"
	EvictOrder  OrderKind = "evict"
)

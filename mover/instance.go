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

// Kinds of orders.
const (
	DrainOrder  OrderKind = "drain"
	MoveOrder   OrderKind = "move"
	RebootOrder OrderKind = "reboot"
	EvictOrder  OrderKind = "evict"
)

type (
	// Instance is the record of one instance. It is in exactly one pool, and
	// at most one member starts work on it.
	Instance struct {
		ID             string    `json:"id"`
		Address        string    `json:"address"` // IP number and port of its worker
		Zone           string    `json:"zone"`
		Rack           string    `json:"rack"`
		Pool           string    `json:"pool"`
		Home           string    `json:"home"` // pool that it belongs to; differs from Pool while lent
		Slots          int       `json:"slots"`
		Boots          int       `json:"boots"` // reboots completed when last seen healthy
		Phase          Phase     `json:"phase"`
		Epoch          uint64    `json:"epoch"`                // grows with every write of the record
		Owner          string    `json:"owner,omitempty"`      // member that may start work on it; empty when none
		NextOwner      string    `json:"next,omitempty"`       // member that the owner hands over to when drained
		NextOwnerSince time.Time `json:"next-since,omitzero"`  // when Next was set
		Order          *Order    `json:"order,omitempty"`      // the operation under way
		Unhealthy      string    `json:"sick,omitempty"`       // why its owner starts nothing on it; empty when well
		GoneSince      time.Time `json:"gone-since,omitzero"`  // when it was found absent or was evicted
		LastOrder      string    `json:"last-order,omitempty"` // the last order that ended, and how
	}

	// Order is an operation on an instance, restartable by any entry. An
	// instance in phase Serving with an order still waits for its budget.
	Order struct {
		ID             string    `json:"id"` // identity for the journal, such as "move-7f3a"
		Kind           OrderKind `json:"kind"`
		Pool           string    `json:"pool,omitempty"` // destination of a move
		From           string    `json:"from,omitempty"` // pool to go back to when the move is undone
		Lend           bool      `json:"lend,omitempty"` // the move leaves Home as it is
		RequestedBy    string    `json:"asked"`          // operator or controller that asked
		Since          time.Time `json:"since"`
		Expires        time.Time `json:"expires,omitzero"` // time limit; zero for none
		AbsenceGranted bool      `json:"budget,omitempty"` // its absence was taken from the budgets
		PastLimit      bool      `json:"late,omitempty"`   // the time limit has passed and it goes on
		Boots          int       `json:"boots,omitempty"`  // reboots completed before a reboot
		RebootAskedAt  time.Time `json:"sent,omitzero"`    // when the owner asked the platform for the reboot
		Tries          int       `json:"tries,omitempty"`  // reboots asked for
		Note           string    `json:"note,omitempty"`   // what it waits for, for explain
	}

	// Phase is the state of an instance towards new work.
	Phase string

	// OrderKind is the kind of an operation.
	OrderKind string
)

// gone reports whether the instance is believed dead.
func (p Phase) gone() bool {
	return p == Absent || p == Evicted
}

// orderID returns the identity of the order under way, empty for none.
func (i Instance) orderID() string {
	if i.Order == nil {
		return ""
	}
	return i.Order.ID
}

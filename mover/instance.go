package mover

import "time"

// Phases of an instance.
const (
	Serving   Phase = "serving"   // gets new work
	Draining  Phase = "draining"  // gets no new work, finishes its running work
	Drained   Phase = "drained"   // runs no work
	Rebooting Phase = "rebooting" // the platform is to reboot it, or is doing so
	Absent    Phase = "absent"    // missing from the instance list, or did not return from a reboot
	Evicted   Phase = "evicted"   // declared dead by an operator
)

// Kinds of orders.
const (
	DrainOrder  OrderKind = "drain"
	MoveOrder   OrderKind = "move"
	RebootOrder OrderKind = "reboot"
	EvictOrder  OrderKind = "evict"
)

type (
	// Instance is the stored record of one instance. An instance is in exactly
	// one pool, and at most one member, its owner, starts work on it.
	Instance struct {
		ID             string    `json:"id"`
		Address        string    `json:"address"` // IP address and port of its worker process
		Zone           string    `json:"zone"`
		Rack           string    `json:"rack"`
		Pool           string    `json:"pool"`
		Home           string    `json:"home"` // pool that the instance belongs to; differs from Pool while it is lent
		Slots          int       `json:"slots"`
		Boots          int       `json:"boots"` // completed reboots when it was last seen healthy
		Phase          Phase     `json:"phase"`
		Epoch          uint64    `json:"epoch"`                // increases with every write of the record
		Owner          string    `json:"owner,omitempty"`      // ID of the member that may start work on it; empty for none
		NextOwner      string    `json:"next,omitempty"`       // ID of the member that becomes owner once the running work has ended; empty for none
		NextOwnerSince time.Time `json:"next-since,omitzero"`  // when NextOwner was set
		Order          *Order    `json:"order,omitempty"`      // the operation in progress; nil for none
		Unhealthy      string    `json:"sick,omitempty"`       // why its owner starts no work on it; empty when healthy
		GoneSince      time.Time `json:"gone-since,omitzero"`  // when it became absent or evicted; zero otherwise
		LastOrder      string    `json:"last-order,omitempty"` // ID and outcome of the last order that ended
	}

	// Order is an operation on an instance. Any member can continue it, because
	// its whole state is in the record. While an instance with an order is in
	// phase Serving, the order waits for room in the availability budgets.
	Order struct {
		ID             string    `json:"id"` // unique ID, such as "move-7f3a09c1"
		Kind           OrderKind `json:"kind"`
		Pool           string    `json:"pool,omitempty"` // destination pool of a move
		From           string    `json:"from,omitempty"` // source pool of a move, where the instance stays when the move is undone
		Lend           bool      `json:"lend,omitempty"` // the move is a loan: Home does not change
		RequestedBy    string    `json:"asked"`          // operator or controller that gave the order
		Since          time.Time `json:"since"`
		Expires        time.Time `json:"expires,omitzero"` // time limit of the order; zero for none
		AbsenceGranted bool      `json:"budget,omitempty"` // the budgets have granted the absence
		PastLimit      bool      `json:"late,omitempty"`   // the order continues although its time limit has passed
		Boots          int       `json:"boots,omitempty"`  // completed reboots before this reboot
		RebootAskedAt  time.Time `json:"sent,omitzero"`    // when the owner asked the platform for the reboot; zero when it has not or must ask again
		Tries          int       `json:"tries,omitempty"`  // number of reboot requests so far
		Note           string    `json:"note,omitempty"`   // what the order waits for; shown to operators
	}

	// Phase is the state of an instance. It determines whether the instance gets
	// new work.
	Phase string

	// OrderKind is the kind of an order.
	OrderKind string
)

// isGone reports whether the instance is missing from the fleet: absent or
// evicted.
func (p Phase) isGone() bool {
	return p == Absent || p == Evicted
}

// orderID returns the ID of the order in progress, or "" for none.
func (i Instance) orderID() string {
	if i.Order == nil {
		return ""
	}
	return i.Order.ID
}

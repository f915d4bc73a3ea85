package registrar

import "time"

// States of a member.
const (
	Active  State = "active"  // serves, is a home for names
	Leaving State = "leaving" // finishes its work, hands over, is no home
)

type (
	// View is the numbered membership of entries. It is one record, changed
	// only by compare-and-swap, so that views form one sequence.
	View struct {
		Number   uint64
		Members  []Member
		Previous []string    // identities active in the view before
		Departed []Departure // members removed on evidence, oldest first
	}

	// Member is one process of an entry instance.
	Member struct {
		ID       string // identity: instance and incarnation, such as "entry-a1.3"
		Instance string // instance of the platform's list
		Zone     string
		Address  string // IP number and port for peers
		Callers  string // IP number and port for callers
		Joined   uint64 // number of the view that added the member
		State    State
	}

	// Departure records the evidence on which a member was removed.
	Departure struct {
		ID     string
		Since  time.Time // from here on the process cannot have granted names
		Reason string    // "left", "superseded", "gone" or "evicted"
	}

	// State is the phase of a member's life.
	State string
)

package registrar

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"
)

// States of a member.
const (
	Active  State = "active"  // accepts new work and owns idempotency keys
	Leaving State = "leaving" // finishes its work and hands over its idempotency keys; owns none
)

// Reasons for a departure.
const (
	Left       = "left"       // deregistered after handing over its idempotency keys
	Last       = "last"       // deregistered when no active member was left to hand over to
	Superseded = "superseded" // a newer process of the same instance registered
	Gone       = "gone"       // the instance is missing from the platform's list
	Evicted    = "evicted"    // an operator vouched that the process is dead
)

const (
	maxMembers      = 1024           // largest membership accepted from a peer
	maxDepartures   = 64             // departures kept in a view
	maxDepartureAge = 25 * time.Hour // departures are deleted after this time
)

// ErrMalformedView reports an encoded view that breaks an invariant of views.
const ErrMalformedView = errors.ConstError("malformed membership view")

type (
	// View is a numbered version of the membership of entries. It is stored as
	// one record and changed only by compare-and-swap, so that all views form
	// one sequence.
	View struct {
		Number   uint64      `json:"number"`
		Members  []Member    `json:"members"`
		Previous []string    `json:"previous,omitempty"` // identities of the members that were active in the view before
		Departed []Departure `json:"departed,omitempty"` // removed members, in the order of their removal
	}

	// Member is one process of an entry instance.
	Member struct {
		ID       string `json:"id"`       // identity: instance, start time of the process and a nonce, such as "entry-a1.9bkkzw07i8f3a2"
		Instance string `json:"instance"` // name of the instance in the platform's list
		Zone     string `json:"zone"`
		Address  string `json:"address"` // IP address and port for peers
		Callers  string `json:"callers"` // IP address and port for callers
		Joined   uint64 `json:"joined"`  // number of the view that added the member
		State    State  `json:"state"`
		Nonce    string `json:"nonce"` // unique for each process, so that a repeated registration is recognized
	}

	// Departure records why and when a member was removed.
	Departure struct {
		ID     string    `json:"id"`
		Absent time.Time `json:"absent,omitzero"` // for "gone": when the instance list first lacked the instance; the process had ended by then
		Since  time.Time `json:"since"`           // when the write that removed the member was prepared, by the writer's clock
		Reason string    `json:"reason"`          // "left", "last", "superseded", "gone" or "evicted"
		View   uint64    `json:"view"`            // number of the view that removed the member
		By     string    `json:"by"`              // member or operator that removed the member
	}

	// State is the state of a registered member.
	State string
)

// Member returns the registered member with the identity id.
func (v View) Member(id string) (Member, bool) {
	for _, m := range v.Members {
		if m.ID == id {
			return m, true
		}
	}
	return Member{}, false
}

// Departure returns the record of the member's removal, as long as the view
// keeps it.
func (v View) Departure(id string) (Departure, bool) {
	for _, d := range v.Departed {
		if d.ID == id {
			return d, true
		}
	}
	return Departure{}, false
}

// Active returns the identities of the active members.
func (v View) Active() []string {
	ids := make([]string, 0, len(v.Members))
	for _, m := range v.Members {
		if m.State == Active {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// Others returns the registered members except the one with the identity id.
func (v View) Others(id string) []Member {
	others := make([]Member, 0, len(v.Members))
	for _, m := range v.Members {
		if m.ID != id {
			others = append(others, m)
		}
	}
	return others
}

// EncodeView returns the JSON form in which peers exchange views.
func EncodeView(v View) ([]byte, error) {
	raw, err := json.Marshal(v)
	return raw, errors.Trace(err)
}

// DecodeView parses the JSON form in which peers exchange views. It fails with
// ErrMalformedView.
func DecodeView(raw []byte) (View, error) {
	var v View
	if err := json.Unmarshal(raw, &v); err != nil {
		return View{}, errors.Annotatef(ErrMalformedView, "%v", err)
	}
	if v.Number == 0 || len(v.Members) > maxMembers {
		return View{}, errors.Annotatef(ErrMalformedView, "view number is %d with %d members", v.Number, len(v.Members))
	}
	seen := make(map[string]bool, len(v.Members))
	for _, m := range v.Members {
		if m.ID == "" || seen[m.ID] {
			return View{}, errors.Annotatef(ErrMalformedView, "member identity %q is empty or repeated", m.ID)
		}
		if m.State != Active && m.State != Leaving {
			return View{}, errors.Annotatef(ErrMalformedView, "unknown member state %q", m.State)
		}
		seen[m.ID] = true
	}
	return v, nil
}

package registrar

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"
)

// States of a member.
const (
	Active  State = "active"  // serves, is a home for names
	Leaving State = "leaving" // finishes its work, hands over, is no home
)

// Reasons of a departure.
const (
	Left       = "left"       // deregistered after handing over
	Last       = "last"       // deregistered with no active member to hand over to
	Superseded = "superseded" // a newer process of the instance registered
	Gone       = "gone"       // the instance is not in the platform's list
	Evicted    = "evicted"    // an operator vouched that the process is dead
)

const (
	maxMembers      = 1024           // largest membership accepted from a peer
	maxDepartures   = 64             // departures kept in a view
	maxDepartureAge = 25 * time.Hour // longest time a departure is kept
)

// ErrMalformedView reports an encoded view that breaks its invariants.
const ErrMalformedView = errors.ConstError("malformed membership view")

type (
	// View is the numbered membership of entries. It is one record, changed
	// only by compare-and-swap, so that views form one sequence.
	View struct {
		Number   uint64      `json:"number"`
		Members  []Member    `json:"members"`
		Previous []string    `json:"previous,omitempty"` // identities active in the view before
		Departed []Departure `json:"departed,omitempty"` // members removed on evidence, oldest first
	}

	// Member is one process of an entry instance.
	Member struct {
		ID       string `json:"id"`       // identity: instance, start of the process and a nonce, such as "entry-a1.9bkkzw07i8f3a2"
		Instance string `json:"instance"` // instance of the platform's list
		Zone     string `json:"zone"`
		Address  string `json:"address"` // IP number and port for peers
		Callers  string `json:"callers"` // IP number and port for callers
		Joined   uint64 `json:"joined"`  // number of the view that added the member
		State    State  `json:"state"`
		Nonce    string `json:"nonce"` // unique for the process, so that a repeated registration is seen
	}

	// Departure records the evidence on which a member was removed.
	Departure struct {
		ID     string    `json:"id"`
		Absent time.Time `json:"absent,omitzero"` // for "gone": when the list first lacked the instance; the process had ended by then
		Since  time.Time `json:"since"`           // when the removing write was prepared, by the writer's clock
		Reason string    `json:"reason"`          // "left", "last", "superseded", "gone" or "evicted"
		View   uint64    `json:"view"`            // number of the view that removed the member
		By     string    `json:"by"`              // member or operator that removed it
	}

	// State is the phase of a member's life.
	State string
)

// Member returns the registered member with the identity.
func (v View) Member(id string) (Member, bool) {
	for _, m := range v.Members {
		if m.ID == id {
			return m, true
		}
	}
	return Member{}, false
}

// Departure returns the evidence on which the member was removed, as long as
// it is kept.
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

// Others returns the registered members but the one named.
func (v View) Others(id string) []Member {
	others := make([]Member, 0, len(v.Members))
	for _, m := range v.Members {
		if m.ID != id {
			others = append(others, m)
		}
	}
	return others
}

// EncodeView returns the form in which a view passes between peers.
func EncodeView(v View) ([]byte, error) {
	raw, err := json.Marshal(v)
	return raw, errors.Trace(err)
}

// DecodeView reads the form in which a view passes between peers. It fails
// with ErrMalformedView.
func DecodeView(raw []byte) (View, error) {
	var v View
	if err := json.Unmarshal(raw, &v); err != nil {
		return View{}, errors.Annotatef(ErrMalformedView, "%v", err)
	}
	if v.Number == 0 || len(v.Members) > maxMembers {
		return View{}, errors.Annotatef(ErrMalformedView, "number %d, %d members", v.Number, len(v.Members))
	}
	seen := make(map[string]bool, len(v.Members))
	for _, m := range v.Members {
		if m.ID == "" || seen[m.ID] {
			return View{}, errors.Annotatef(ErrMalformedView, "identity %q is empty or repeated", m.ID)
		}
		if m.State != Active && m.State != Leaving {
			return View{}, errors.Annotatef(ErrMalformedView, "unknown state %q", m.State)
		}
		seen[m.ID] = true
	}
	return v, nil
}

// Package recorder records the decisions of entries, so that operators can find
// out why something happened: what was decided, when, by which entry, on which
// facts and over which alternatives.
package recorder

import "time"

// Kinds of subjects of decisions.
const (
	Job      Kind = "job"
	Instance Kind = "instance"
	Team     Kind = "team"
	Move     Kind = "move"
	Wave     Kind = "wave"
	Entry    Kind = "entry"
	Rule     Kind = "rule"
)

type (
	// Decision is one recorded decision of an entry.
	Decision struct {
		ID           string    `json:"id,omitempty"` // unique; assigned when the decision is recorded
		Time         time.Time `json:"time"`
		Entry        string    `json:"entry"`             // ID of the member that decided
		Kind         Kind      `json:"kind"`              // what the subject is
		Subject      string    `json:"subject"`           // ID or name of the subject
		Action       string    `json:"action"`            // what was decided
		Facts        []Fact    `json:"facts,omitempty"`   // observations behind the decision
		Alternatives []string  `json:"weighed,omitempty"` // options that were rejected, each with the reason
	}

	// Fact is one observation behind a decision.
	Fact struct {
		Name  string `json:"name"`
		Value string `json:"value"`
	}

	// Kind is the kind of a decision's subject.
	Kind string
)

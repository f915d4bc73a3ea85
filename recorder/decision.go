// Package recorder records what was decided, when, by which entry, on what
// facts and what was weighed, so that an operator can have it explained.
package recorder

import "time"

// Kinds of subjects that a decision is about.
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
	// Decision is one entry of the journal.
	Decision struct {
		ID      string    `json:"id,omitempty"` // unique; given when it is recorded
		Time    time.Time `json:"time"`
		Entry   string    `json:"entry"`             // member that decided
		Kind    Kind      `json:"kind"`              // kind of the subject
		Subject string    `json:"subject"`           // identity of the subject
		Action  string    `json:"action"`            // what was decided
		Facts   []Fact    `json:"facts,omitempty"`   // what it was decided on
		Alternatives []string  `json:"weighed,omitempty"` // what else could have been done, and why not
	}

	// Fact is one observation behind a decision.
	Fact struct {
		Name  string `json:"name"`
		Value string `json:"value"`
	}

	// Kind is the kind of a decision's subject.
	Kind string
)

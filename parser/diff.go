package parser

import (
	"bytes"
	"reflect"
	"strings"

	"github.com/juju/errors"
)

// Values of Action.
const (
	Added   Action = "added"
	Removed Action = "removed"
	Changed Action = "changed"
)

// ErrMismatch reports that a rule set does not have the rules that the
// differences expect before the change, because they were computed against
// another rule set.
const ErrMismatch = errors.ConstError("the differences do not fit the rules")

type (
	// Difference is one rule that differs between two rule sets.
	Difference struct {
		Action Action `json:"action"`
		Kind   string `json:"kind"`             // first word of the rule
		Name   string `json:"name"`             // for a budget, its scope and its name
		Before string `json:"before,omitempty"` // canonical form; empty when added
		After  string `json:"after,omitempty"`  // canonical form; empty when removed
	}

	// Action says whether a rule was added, removed or changed.
	Action string
)

// Check reports all errors of a rule set that Parse did not return, such as an
// edited copy. The line numbers in Errors refer to the output of Format.
func Check(r *Rules) error {
	parsed, err := Parse("rules", bytes.NewReader(Format(r)))
	if err != nil {
		return errors.Trace(err)
	}
	parsed.Number = r.Number
	if !reflect.DeepEqual(Sorted(parsed), Sorted(r)) {
		return errors.New("a rule has a value that the rules file cannot hold, such as a comment of two lines")
	}
	return nil
}

// Diff returns the changes that turn old into next. Added and changed rules
// come first, in the order of Format, then removed rules. Either rule set may
// be nil.
func Diff(old, next *Rules) []Difference {
	before := textByKey(old)
	after := textByKey(next)
	var all []Difference
	for _, e := range formattedRules(next) {
		previous, ok := before[objectKey{e.kind, e.name}]
		switch {
		case !ok:
			all = append(all, Difference{Action: Added, Kind: e.kind, Name: e.name, After: e.text})
		case previous != e.text:
			all = append(all, Difference{Action: Changed, Kind: e.kind, Name: e.name, Before: previous, After: e.text})
		}
	}
	for _, e := range formattedRules(old) {
		if _, ok := after[objectKey{e.kind, e.name}]; !ok {
			all = append(all, Difference{Action: Removed, Kind: e.kind, Name: e.name, Before: e.text})
		}
	}
	return all
}

// Patch applies differences to a copy of old, which may be nil, and validates
// the resulting rule set. It returns ErrMismatch when a rule of old is not the
// one that its difference expects before the change.
func Patch(old *Rules, differences []Difference) (*Rules, error) {
	lines := textByKey(old)
	for _, d := range differences {
		key := objectKey{d.Kind, d.Name}
		if lines[key] != d.Before {
			return nil, errors.Annotatef(ErrMismatch, "%s %s", d.Kind, d.Name)
		}
		delete(lines, key)
		if d.After != "" {
			lines[key] = d.After
		}
	}
	var b strings.Builder
	for _, text := range lines {
		b.WriteString(text + "\n")
	}
	next, err := Parse("rules", strings.NewReader(b.String()))
	if err != nil {
		return nil, errors.Trace(err)
	}
	return Sorted(next), nil
}

// formattedRules returns the rules in canonical form and order; none when r is
// nil.
func formattedRules(r *Rules) []formattedRule {
	if r == nil {
		return nil
	}
	return formatAll(r)
}

// textByKey returns the canonical form of each rule by its kind and name.
func textByKey(r *Rules) map[objectKey]string {
	lines := map[objectKey]string{}
	for _, e := range formattedRules(r) {
		lines[objectKey{e.kind, e.name}] = e.text
	}
	return lines
}

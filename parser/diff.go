package parser

import (
	"bytes"
	"reflect"
	"strings"

	"github.com/juju/errors"
)

// Actions of a difference.
const (
	Added   Action = "added"
	Removed Action = "removed"
	Changed Action = "changed"
)

// ErrMismatch reports that differences were made against another set.
const ErrMismatch = errors.ConstError("the differences do not fit the rules")

type (
	// Difference is one rule that differs between two sets.
	Difference struct {
		Action Action `json:"action"`
		Kind   string `json:"kind"`             // first word of the rule
		Name   string `json:"name"`             // a budget's has its scope in front
		Before string `json:"before,omitempty"` // canonical form; empty when added
		After  string `json:"after,omitempty"`  // canonical form; empty when removed
	}

	// Action is what a difference does to a rule.
	Action string
)

// Check reports all faults of a set that was not read by Parse, such as an
// edited copy. Lines in the Errors are those of Format.
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

// Diff returns what must be done to old so that it becomes next, in the order
// of Format with removed rules last. Either may be nil.
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

// Patch applies differences to a copy of old, which may be nil, and checks
// the result as a whole. It fails with ErrMismatch when a rule is not as the
// differences found it.
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

func formattedRules(r *Rules) []formattedRule {
	if r == nil {
		return nil
	}
	return formatAll(r)
}

func textByKey(r *Rules) map[objectKey]string {
	lines := map[objectKey]string{}
	for _, e := range formattedRules(r) {
		lines[objectKey{e.kind, e.name}] = e.text
	}
	return lines
}

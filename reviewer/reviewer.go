package reviewer

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/coltsfootlever/coltsfootlever/parser"
)

// Kinds of warnings.
const (
	NeverMatches  Kind = "never-matches" // the rule has no effect
	Contradiction Kind = "contradiction" // the rule and another one cannot both have their full effect
	LockOut       Kind = "lock-out"      // operators could lose their access
	OldBase       Kind = "old-base"      // the file was made from other rules than those in force
)

type (
	// Input is what a review looks at.
	Input struct {
		File    string
		Rules   *parser.Rules
		Lines   parser.Lines
		Base    uint64 // number of the rules that the file was made from
		HasBase bool
		InForce *parser.Rules // nil if no rules are in force
		Number  uint64        // number of the rules in force
		Fleet   []Instance    // nil if the instances are not known
	}

	// Instance is what a review needs to know of one instance.
	Instance struct {
		Pool string
		Zone string
		Rack string
	}

	// Report is the result of a review.
	Report struct {
		Warnings    []Warning    `json:"warnings"`    // in the order of the lines
		Differences []Difference `json:"differences"` // from the rules in force
	}

	// Warning is something that is allowed but probably not intended.
	Warning struct {
		File    string `json:"file"`
		Line    int    `json:"line"` // 0 if the warning is about the whole file
		Kind    Kind   `json:"kind"`
		Rule    string `json:"rule,omitempty"` // kind and name, such as "team leads"
		Message string `json:"message"`
	}

	// Difference is a rule that differs from the rules in force.
	Difference struct {
		Line int `json:"line,omitempty"` // 0 for a rule that the file does not have
		parser.Difference
	}

	// Kind is the kind of a warning.
	Kind string

	// review is the state of one call of Review.
	review struct {
		Input
		warnings []Warning
	}
)

// String returns the warning as one line of text.
func (w Warning) String() string {
	at := w.File
	if w.Line > 0 {
		at = fmt.Sprintf("%s:%d", w.File, w.Line)
	}
	if w.Rule != "" {
		return fmt.Sprintf("%s: warning (%s): %s: %s", at, w.Kind, w.Rule, w.Message)
	}
	return fmt.Sprintf("%s: warning (%s): %s", at, w.Kind, w.Message)
}

// Review reviews the rules of a valid file.
func Review(in Input) Report {
	r := &review{Input: in}
	r.checkBase()
	r.checkOperatorKeys()
	r.checkTeams()
	r.checkQueues()
	r.checkPools()
	r.checkBudgets()
	slices.SortStableFunc(r.warnings, func(a, b Warning) int { return cmp.Compare(a.Line, b.Line) })
	report := Report{Warnings: append([]Warning{}, r.warnings...), Differences: []Difference{}}
	for _, d := range parser.Diff(in.InForce, in.Rules) {
		difference := Difference{Difference: d}
		if d.Action != parser.Removed {
			difference.Line = in.Lines.Of(d.Kind, d.Name)
		}
		report.Differences = append(report.Differences, difference)
	}
	return report
}

// warn adds a warning about the rule of the given kind and name.
func (r *review) warn(kind Kind, object, name, format string, args ...any) {
	r.warnings = append(r.warnings, Warning{
		File: r.File, Line: r.Lines.Of(object, name), Kind: kind, Rule: object + " " + name, Message: fmt.Sprintf(format, args...),
	})
}

// checkBase warns if rules apply would refuse the file, because it was made from
// other rules than those in force.
func (r *review) checkBase() {
	if r.HasBase && r.Base != r.Number {
		r.warnings = append(r.warnings, Warning{
			File: r.File, Line: 1, Kind: OldBase,
			Message: fmt.Sprintf("the file was made from rules %d, but rules %d are in force: rules apply would refuse it", r.Base, r.Number),
		})
	}
}

// checkOperatorKeys warns if the file takes the last operator key away.
func (r *review) checkOperatorKeys() {
	isOperator := func(k parser.Key) bool { return k.Operator }
	if r.InForce == nil || slices.ContainsFunc(r.Rules.Keys, isOperator) || !slices.ContainsFunc(r.InForce.Keys, isOperator) {
		return
	}
	r.warnings = append(r.warnings, Warning{
		File: r.File, Kind: LockOut,
		Message: "the file has no operator key, the rules in force have one: operators could call only with the key of the entries' settings",
	})
}

// checkTeams warns about teams that can never run anything.
func (r *review) checkTeams() {
	for _, t := range r.Rules.Teams {
		var queues []string
		for _, q := range r.Rules.Queues {
			if q.Team == t.Name {
				queues = append(queues, q.Name)
			}
		}
		switch {
		case len(queues) == 0:
			r.warn(NeverMatches, "team", t.Name, "no queue takes work of the team")
		case t.Limit == 0:
			r.warn(Contradiction, "team", t.Name, "limit 0 lets nothing start, but these queues take its work: %s", listNames(queues))
		}
	}
}

// checkQueues warns about queues that nobody can use, and about objectives of
// queues whose work cannot start.
func (r *review) checkQueues() {
	for _, q := range r.Rules.Queues {
		hasKey := slices.ContainsFunc(r.Rules.Keys, func(k parser.Key) bool { return k.Team == q.Team })
		if !q.Open && !hasKey {
			r.warn(NeverMatches, "queue", q.Name, "it is not open, and team %s has no key", q.Team)
		}
		if r.Fleet != nil && r.count(func(i Instance) bool { return i.Pool == q.Pool }) == 0 {
			r.warn(NeverMatches, "queue", q.Name, "no instance is in pool %s now", q.Pool)
		}
	}
	for _, o := range r.Rules.Objectives {
		for _, q := range r.Rules.Queues {
			if q.Name == o.Queue && r.teamLimit(q.Team) == 0 {
				r.warn(Contradiction, "objective", o.Queue, "limit 0 of team %s lets nothing start, so no answer can be in time", q.Team)
			}
		}
	}
}

func (r *review) teamLimit(name string) int {
	for _, t := range r.Rules.Teams {
		if t.Name == name {
			return t.Limit
		}
	}
	return 0
}

// checkPools warns about pools that no work uses, and about moves that the budgets
// never allow.
func (r *review) checkPools() {
	for _, p := range r.Rules.Pools {
		used := slices.ContainsFunc(r.Rules.Queues, func(q parser.Queue) bool { return q.Pool == p.Name })
		if !used && !p.Spare {
			r.warn(NeverMatches, "pool", p.Name, "it is not spare, and no queue sends work to it")
		}
		b, limited := r.budgetFor(parser.PoolScope, p.Name)
		if !limited || b.MaxAbsent > 0 {
			continue
		}
		if p.Spare {
			r.warn(Contradiction, "pool", p.Name, "it is spare, but %s allows no instance to be absent, so none can be lent", budgetRule(b))
		}
		if p.MoveLimit > 0 {
			r.warn(Contradiction, "pool", p.Name, "it has a move-limit, but %s allows no instance to be absent, so no move out of it can start", budgetRule(b))
		}
	}
}

// budgetFor returns the budget that applies to a pool, zone or rack.
func (r *review) budgetFor(scope parser.Scope, name string) (parser.Budget, bool) {
	var fallback parser.Budget
	for _, b := range r.Rules.Budgets {
		switch {
		case b.Scope != scope:
		case b.Name == name:
			return b, true
		case b.Name == parser.Wildcard:
			fallback = b
		}
	}
	return fallback, fallback.Scope != ""
}

func (r *review) count(match func(Instance) bool) int {
	n := 0
	for _, i := range r.Fleet {
		if match(i) {
			n++
		}
	}
	return n
}

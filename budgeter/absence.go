package budgeter

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/parser"
)

// Kinds of absences.
const (
	Planned   Kind = "planned"   // taken by an order, within the budgets
	Unplanned Kind = "unplanned" // failed or left by itself
)

// maxNamedHolders bounds the holders that a refusal names.
const maxNamedHolders = 6

// scopes are the scopes of budgets.
var scopes = []parser.Scope{parser.PoolScope, parser.ZoneScope, parser.RackScope}

type (
	// Absences is the record of all instances out of service.
	Absences struct {
		Rules uint64    `json:"rules"` // highest number of the rules that an absence was granted under
		List  []Absence `json:"list"`  // by instance, sorted
	}

	// Absence is one instance out of service. It counts once against every
	// budget of its pool, its zone and its rack, whatever its kind.
	Absence struct {
		Instance string    `json:"instance"`
		Pool     string    `json:"pool"`
		Zone     string    `json:"zone"`
		Rack     string    `json:"rack"`
		Kind     Kind      `json:"kind"`
		Order    string    `json:"order,omitempty"` // the order that took it; empty for none
		Since    time.Time `json:"since"`
	}

	// Kind says whether an absence was planned.
	Kind string

	// Usage is the state of one budget.
	Usage struct {
		Scope     parser.Scope `json:"scope"`
		Name      string       `json:"name"`
		Absent    int          `json:"absent"`
		MaxAbsent int          `json:"max-absent"`
	}
)

// Find returns the absence of an instance.
func (a Absences) Find(instance string) (Absence, bool) {
	n, ok := a.indexOf(instance)
	if !ok {
		return Absence{}, false
	}
	return a.List[n], true
}

func (a Absences) indexOf(instance string) (int, bool) {
	return slices.BinarySearchFunc(a.List, instance, func(x Absence, id string) int {
		return cmp.Compare(x.Instance, id)
	})
}

// with returns a copy that holds x in place of any absence of its instance.
func (a Absences) with(x Absence) Absences {
	list := slices.Clone(a.List)
	n, ok := a.indexOf(x.Instance)
	if ok {
		list[n] = x
	} else {
		list = slices.Insert(list, n, x)
	}
	return Absences{Rules: a.Rules, List: list}
}

// without returns a copy without the absence of an instance.
func (a Absences) without(instance string) Absences {
	list := slices.DeleteFunc(slices.Clone(a.List), func(x Absence) bool { return x.Instance == instance })
	return Absences{Rules: a.Rules, List: list}
}

// CountedAgainst returns the absences that count against an object of a scope.
func (a Absences) CountedAgainst(scope parser.Scope, name string) []Absence {
	var list []Absence
	for _, x := range a.List {
		if x.nameIn(scope) == name {
			list = append(list, x)
		}
	}
	return list
}

// object returns the name of the object of a scope that the absence counts
// against.
func (x Absence) nameIn(scope parser.Scope) string {
	switch scope {
	case parser.PoolScope:
		return x.Pool
	case parser.ZoneScope:
		return x.Zone
	}
	return x.Rack
}

// CheckRoom reports whether the budgets allow x in addition to the absences, and
// refuses with BudgetSpent, the budget and its holders when they do not.
func CheckRoom(rules []parser.Budget, a Absences, x Absence) error {
	others := a.without(x.Instance)
	b, spent := NewCounter(rules, others).Exhausted(x)
	if !spent {
		return nil
	}
	return classifier.Refuse(classifier.BudgetSpent, "budget of %s %s allows %d absent and %d are: %s",
		b.Scope, b.Name, b.MaxAbsent, b.Absent, describeHolders(others.CountedAgainst(b.Scope, b.Name)))
}

// Usages returns the state of every budget that an absence counts against.
func Usages(rules []parser.Budget, a Absences) []Usage {
	counter := NewCounter(rules, a)
	seen := map[Usage]bool{}
	var list []Usage
	for _, x := range a.List {
		for _, u := range counter.usageFor(x) {
			if !seen[u] {
				seen[u] = true
				list = append(list, u)
			}
		}
	}
	slices.SortFunc(list, func(x, y Usage) int {
		return cmp.Or(cmp.Compare(x.Scope, y.Scope), cmp.Compare(x.Name, y.Name))
	})
	return list
}

func describeHolders(absences []Absence) string {
	if len(absences) == 0 {
		return "none"
	}
	var parts []string
	for _, x := range absences[:min(len(absences), maxNamedHolders)] {
		parts = append(parts, strings.TrimSuffix(fmt.Sprintf("%s (%s %s", x.Instance, x.Kind, x.Order), " ")+")")
	}
	if more := len(absences) - maxNamedHolders; more > 0 {
		parts = append(parts, fmt.Sprintf("and %d more", more))
	}
	return strings.Join(parts, ", ")
}

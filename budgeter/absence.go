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
	Planned   Kind = "planned"   // ordered, and granted by the budgets
	Unplanned Kind = "unplanned" // the instance failed, or left without an order
	Evacuated Kind = "evacuated" // the zone is evacuated; never stored
)

// maxNamedHolders is the maximum number of absent instances that a refusal names.
const maxNamedHolders = 6

// scopes are the kinds of things that a budget can limit.
var scopes = []parser.Scope{parser.PoolScope, parser.ZoneScope, parser.RackScope}

type (
	// Absences is the stored record of all instances out of service.
	Absences struct {
		Rules uint64    `json:"rules"` // highest number of the rules under which an absence was granted
		List  []Absence `json:"list"`  // sorted by instance ID
	}

	// Absence is one instance out of service. Planned or not, it counts once
	// against each budget of its pool, its zone and its rack.
	Absence struct {
		Instance string    `json:"instance"`
		Pool     string    `json:"pool"`
		Zone     string    `json:"zone"`
		Rack     string    `json:"rack"`
		Kind     Kind      `json:"kind"`
		Order    string    `json:"order,omitempty"` // ID of the order that took it; empty for none
		Since    time.Time `json:"since"`
	}

	// Kind tells whether an absence was planned.
	Kind string

	// Usage is a budget and how many instances count against it.
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

// withAbsence returns a copy that holds x in place of any absence of its instance.
func (a Absences) withAbsence(x Absence) Absences {
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

// WithEvacuated returns a copy that also holds the absences of the instances in
// evacuated zones. An instance that is absent already keeps its absence.
func (a Absences) WithEvacuated(evacuated []Absence) Absences {
	if len(evacuated) == 0 {
		return a
	}
	list := slices.Clone(a.List)
	for _, x := range evacuated {
		if _, held := a.Find(x.Instance); !held {
			list = append(list, x)
		}
	}
	slices.SortFunc(list, func(x, y Absence) int { return cmp.Compare(x.Instance, y.Instance) })
	return Absences{Rules: a.Rules, List: list}
}

// CountedAgainst returns the absences in the named pool, zone or rack.
func (a Absences) CountedAgainst(scope parser.Scope, name string) []Absence {
	var list []Absence
	for _, x := range a.List {
		if x.nameInScope(scope) == name {
			list = append(list, x)
		}
	}
	return list
}

// nameInScope returns the name of the pool, zone or rack, as given by scope, that
// the absence counts against.
func (x Absence) nameInScope(scope parser.Scope) string {
	switch scope {
	case parser.PoolScope:
		return x.Pool
	case parser.ZoneScope:
		return x.Zone
	}
	return x.Rack
}

// CheckBudgets returns nil when the budgets in rules allow x in addition to the
// absences in a. Otherwise it returns a BudgetSpent refusal that names the
// exhausted budget and the instances that count against it.
func CheckBudgets(rules []parser.Budget, a Absences, x Absence) error {
	others := a.without(x.Instance)
	b, spent := NewCounter(rules, others).Exhausted(x)
	if !spent {
		return nil
	}
	return classifier.Refuse(classifier.BudgetSpent, "budget of %s %s allows %d absent and %d are: %s",
		b.Scope, b.Name, b.MaxAbsent, b.Absent, describeHolders(others.CountedAgainst(b.Scope, b.Name)))
}

// Usages returns the usage of every budget that any absence counts against.
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

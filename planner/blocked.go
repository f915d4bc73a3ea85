package planner

import (
	"fmt"
	"maps"
	"slices"

	"github.com/coltsfootlever/coltsfootlever/budgeter"
)

// Blocked returns why the candidates that Next leaves out have to wait, each
// reason once and in order.
func Blocked(s State, o Options) []string {
	counter := budgeter.NewCounter(reserve(s.Budgets, o.Reserve), s.Absent)
	picked := map[string]bool{}
	for _, c := range Next(s, o) {
		picked[c.ID] = true
		counter.Add(c.absence(s.Now))
	}
	reasons := map[string]bool{}
	patience := o.patience(s)
	for _, c := range s.Todo {
		u, spent := counter.Exhausted(c.absence(s.Now))
		switch {
		case picked[c.ID]:
		case c.NotBefore.After(s.Now):
			reasons["drains that were undone are tried again later"] = true
		case spent:
			reasons[fmt.Sprintf("budget of %s %s allows %d absent", u.Scope, u.Name, u.MaxAbsent)] = true
		case patience > 0 && c.Wait > patience:
			reasons["long work is under way and there is time"] = true
		}
	}
	return slices.Sorted(maps.Keys(reasons))
}

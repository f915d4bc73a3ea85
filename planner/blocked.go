package planner

import (
	"fmt"
	"maps"
	"slices"

	"github.com/coltsfootlever/coltsfootlever/budgeter"
)

// WaitReasons returns the reasons why the candidates that NextDrains does not
// select have to wait. The reasons are sorted and without duplicates.
func WaitReasons(s State, o Options) []string {
	counter := budgeter.NewCounter(reduceBudgets(s.Budgets, o.BudgetReserve), s.Absent)
	selected := map[string]bool{}
	for _, c := range NextDrains(s, o) {
		selected[c.ID] = true
		counter.Add(c.plannedAbsence(s.Now))
	}
	reasons := map[string]bool{}
	maxWait := o.currentMaxWait(s)
	for _, c := range s.Pending {
		budget, spent := counter.Exhausted(c.plannedAbsence(s.Now))
		switch {
		case selected[c.ID]:
		case c.NotBefore.After(s.Now):
			reasons["drains that were undone are tried again later"] = true
		case spent:
			reasons[fmt.Sprintf("budget of %s %s allows %d absent", budget.Scope, budget.Name, budget.MaxAbsent)] = true
		case maxWait > 0 && c.EstimatedWait > maxWait:
			reasons["long work is under way and there is time"] = true
		}
	}
	return slices.Sorted(maps.Keys(reasons))
}

package reviewer

import (
	"maps"
	"slices"

	"github.com/coltsfootlever/coltsfootlever/parser"
)

// checkBudgets warns about budgets that apply to nothing, that limit nothing, and
// that other budgets make unreachable.
func (r *review) checkBudgets() {
	for _, b := range r.Rules.Budgets {
		if !r.checkBudgetMatches(b) {
			continue
		}
		r.checkBudgetLimits(b)
		r.checkBudgetReachable(b)
	}
}

// checkBudgetMatches warns if a budget applies to no pool, zone or rack, and
// reports whether it applies to any.
func (r *review) checkBudgetMatches(b parser.Budget) bool {
	names, known := r.namesInScope(b.Scope)
	switch {
	case !known:
		return true
	case b.Name != parser.Wildcard && !slices.Contains(names, b.Name):
		r.warn(NeverMatches, "budget", budgetName(b), "no instance is in %s %s; known: %s", b.Scope, b.Name, listNames(names))
		return false
	case b.Name == parser.Wildcard && len(r.coveredBy(b)) == 0:
		r.warn(NeverMatches, "budget", budgetName(b), "each %s has a budget of its own", b.Scope)
		return false
	}
	return true
}

// checkBudgetLimits warns if a budget lets every instance of its scope be absent.
func (r *review) checkBudgetLimits(b parser.Budget) {
	if r.Fleet == nil || b.Name == parser.Wildcard {
		return
	}
	size := r.count(func(i Instance) bool { return i.nameInScope(b.Scope) == b.Name })
	if size > 0 && b.MaxAbsent >= size {
		r.warn(NeverMatches, "budget", budgetName(b), "max-absent %d limits nothing: instances in the %s now: %d", b.MaxAbsent, b.Scope, size)
	}
}

// checkBudgetReachable warns if another budget keeps this one from ever being used
// in full: a budget of 0 for everything in another scope, or, where the instances
// are known, the budgets of the zones or racks of a pool, zone or rack together.
func (r *review) checkBudgetReachable(b parser.Budget) {
	if b.MaxAbsent == 0 {
		return
	}
	for _, scope := range []parser.Scope{parser.PoolScope, parser.ZoneScope, parser.RackScope} {
		if scope == b.Scope {
			continue
		}
		if r.Fleet == nil || b.Name == parser.Wildcard {
			if zero, ok := r.zeroForAll(scope); ok {
				r.warn(Contradiction, "budget", budgetName(b), "max-absent %d can never be used: %s allows no instance to be absent", b.MaxAbsent, budgetRule(zero))
			}
			continue
		}
		if most := r.mostAbsent(b, scope); most < b.MaxAbsent {
			r.warn(Contradiction, "budget", budgetName(b), "max-absent %d can never be reached: the %s budgets of its instances allow %d together", b.MaxAbsent, scope, most)
		}
	}
}

// zeroForAll returns the wildcard budget of a scope if no instance of any member of
// the scope may be absent.
func (r *review) zeroForAll(scope parser.Scope) (parser.Budget, bool) {
	var all parser.Budget
	for _, b := range r.Rules.Budgets {
		if b.Scope == scope && b.MaxAbsent > 0 {
			return parser.Budget{}, false
		}
		if b.Scope == scope && b.Name == parser.Wildcard {
			all = b
		}
	}
	return all, all.Scope != ""
}

// mostAbsent returns how many of the instances that b applies to the budgets of
// another scope allow to be absent at once.
func (r *review) mostAbsent(b parser.Budget, scope parser.Scope) int {
	counts := map[string]int{}
	for _, i := range r.Fleet {
		if i.nameInScope(b.Scope) == b.Name {
			counts[i.nameInScope(scope)]++
		}
	}
	most := 0
	for name, count := range counts {
		if limit, ok := r.budgetFor(scope, name); ok {
			count = min(count, limit.MaxAbsent)
		}
		most += count
	}
	// A budget above the number of its instances has a warning of its own.
	if total := sum(counts); most == total {
		return max(most, b.MaxAbsent)
	}
	return most
}

func sum(counts map[string]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

// namesInScope returns the names of all pools, zones or racks, sorted, and whether
// they are known. Pools are those of the rules.
func (r *review) namesInScope(scope parser.Scope) ([]string, bool) {
	names := map[string]bool{}
	if scope == parser.PoolScope {
		for _, p := range r.Rules.Pools {
			names[p.Name] = true
		}
		return slices.Sorted(maps.Keys(names)), true
	}
	for _, i := range r.Fleet {
		names[i.nameInScope(scope)] = true
	}
	return slices.Sorted(maps.Keys(names)), r.Fleet != nil
}

// coveredBy returns the pools, zones or racks that a wildcard budget applies to.
func (r *review) coveredBy(b parser.Budget) []string {
	names, _ := r.namesInScope(b.Scope)
	return slices.DeleteFunc(names, func(name string) bool {
		own, _ := r.budgetFor(b.Scope, name)
		return own.Name != parser.Wildcard
	})
}

func (i Instance) nameInScope(scope parser.Scope) string {
	switch scope {
	case parser.PoolScope:
		return i.Pool
	case parser.ZoneScope:
		return i.Zone
	}
	return i.Rack
}

// budgetName returns the name of a budget as differences have it.
func budgetName(b parser.Budget) string {
	return string(b.Scope) + " " + b.Name
}

func budgetRule(b parser.Budget) string {
	return "budget " + budgetName(b)
}

// listNames lists names for a message, at most maxNames of them.
func listNames(names []string) string {
	const maxNames = 8
	list := ""
	for n, name := range names {
		if n == maxNames {
			return list + ", ..."
		}
		if n > 0 {
			list += ", "
		}
		list += name
	}
	if list == "" {
		return "none"
	}
	return list
}

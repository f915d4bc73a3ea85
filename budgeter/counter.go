package budgeter

import "github.com/coltsfootlever/coltsfootlever/parser"

type (
	// Counter counts absences against budgets. It is cheaper than CheckBudgets for
	// decisions on many instances.
	Counter struct {
		namedLimits   map[scopedName]int   // maximum absences of the pools, zones and racks that a budget names
		defaultLimits map[parser.Scope]int // maximum absences of each other pool, zone or rack
		absentCounts  map[scopedName]int
	}

	scopedName struct {
		scope parser.Scope
		name  string
	}
)

// NewCounter returns a Counter for the budgets in rules that has counted the
// absences in a.
func NewCounter(rules []parser.Budget, a Absences) *Counter {
	c := &Counter{namedLimits: map[scopedName]int{}, defaultLimits: map[parser.Scope]int{}, absentCounts: map[scopedName]int{}}
	for _, b := range rules {
		if b.Name == parser.Wildcard {
			c.defaultLimits[b.Scope] = b.MaxAbsent
		} else {
			c.namedLimits[scopedName{b.Scope, b.Name}] = b.MaxAbsent
		}
	}
	for _, x := range a.List {
		c.Add(x)
	}
	return c
}

// Add counts an absence.
func (c *Counter) Add(x Absence) {
	for _, s := range scopes {
		c.absentCounts[scopedName{s, x.nameInScope(s)}]++
	}
}

// MaxAbsent returns how many instances of the named pool, zone or rack may be
// absent, and false when no budget limits it.
func (c *Counter) MaxAbsent(scope parser.Scope, name string) (int, bool) {
	if n, ok := c.namedLimits[scopedName{scope, name}]; ok {
		return n, true
	}
	n, ok := c.defaultLimits[scope]
	return n, ok
}

// Exhausted returns a budget that has no room for x, or false when all budgets
// have room.
func (c *Counter) Exhausted(x Absence) (Usage, bool) {
	for _, u := range c.usageFor(x) {
		if u.Absent >= u.MaxAbsent {
			return u, true
		}
	}
	return Usage{}, false
}

// usageFor returns the usage of the budgets that x counts against.
func (c *Counter) usageFor(x Absence) []Usage {
	var list []Usage
	for _, s := range scopes {
		o := scopedName{s, x.nameInScope(s)}
		if limit, ok := c.MaxAbsent(s, o.name); ok {
			list = append(list, Usage{Scope: s, Name: o.name, Absent: c.absentCounts[o], MaxAbsent: limit})
		}
	}
	return list
}

package budgeter

import "github.com/coltsfootlever/coltsfootlever/parser"

type (
	// Counter counts absences against budgets. It is for decisions that look
	// at many instances at once.
	Counter struct {
		named  map[object]int       // most absent by named object
		every  map[parser.Scope]int // most absent in any other object
		absent map[object]int
	}

	object struct {
		scope parser.Scope
		name  string
	}
)

// NewCounter returns a counter of the absences in a.
func NewCounter(rules []parser.Budget, a Absences) *Counter {
	c := &Counter{named: map[object]int{}, every: map[parser.Scope]int{}, absent: map[object]int{}}
	for _, b := range rules {
		if b.Name == parser.Every {
			c.every[b.Scope] = b.MaxAbsent
		} else {
			c.named[object{b.Scope, b.Name}] = b.MaxAbsent
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
		c.absent[object{s, x.object(s)}]++
	}
}

// Limit returns the most instances that may be absent in an object of a scope,
// and false when no budget bounds it.
func (c *Counter) Limit(scope parser.Scope, name string) (int, bool) {
	if n, ok := c.named[object{scope, name}]; ok {
		return n, true
	}
	n, ok := c.every[scope]
	return n, ok
}

// Spent returns a budget that has no room for x, or false when all have.
func (c *Counter) Spent(x Absence) (Usage, bool) {
	for _, u := range c.usage(x) {
		if u.Absent >= u.MaxAbsent {
			return u, true
		}
	}
	return Usage{}, false
}

// usage returns the state of the budgets that bound x.
func (c *Counter) usage(x Absence) []Usage {
	var list []Usage
	for _, s := range scopes {
		o := object{s, x.object(s)}
		if limit, ok := c.Limit(s, o.name); ok {
			list = append(list, Usage{Scope: s, Name: o.name, Absent: c.absent[o], MaxAbsent: limit})
		}
	}
	return list
}

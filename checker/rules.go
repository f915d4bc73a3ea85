package checker

import (
	"time"

	"github.com/coltsfootlever/coltsfootlever/parser"
)

// inForce returns the rule sets in force at some time from since until now.
func (c *Checker) inForce(since, until time.Time) []ruleSet {
	var sets []ruleSet
	for n, set := range c.rules {
		replaced := n+1 < len(c.rules) && c.rules[n+1].at.Before(since)
		if !replaced && !set.at.After(until) {
			sets = append(sets, set)
		}
	}
	return sets
}

// Accepted takes the number that an entry gave for an accepted change.
func (c *Checker) Accepted(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.require(number < uint64(len(c.rules)), Configuration, "rules %d were reported as accepted, %d were", number, len(c.rules)-1)
}

// RulesInForce takes the rules by which a member acts. A member is known from
// the first call on.
func (c *Checker) RulesInForce(id string, rules *parser.Rules, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.members[id]
	if m == nil {
		m = &member{entry: entryOf(id), started: now}
		c.members[id] = m
	}
	if rules == nil {
		c.require(m.number == 0, Configuration, "%s went from rules %d back to none", id, m.number)
		return
	}
	c.require(rules.Number >= m.number, Configuration, "%s went from rules %d back to %d", id, m.number, rules.Number)
	if rules.Number >= uint64(len(c.rules)) {
		c.require(false, Configuration, "%s acts by rules %d, which were never accepted", id, rules.Number)
		return
	}
	if rules.Number > m.number {
		c.require(string(parser.Format(rules)) == c.rules[rules.Number].text, Configuration, "%s acts by other rules %d than were accepted", id, rules.Number)
	}
	m.number = rules.Number
}

// Tick checks the bounds in time. Call it often after RulesInForce.
func (c *Checker) Tick(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, m := range c.members {
		e := c.entry(m.entry)
		if e.faults > 0 || m.number+1 >= uint64(len(c.rules)) {
			continue
		}
		since := later(later(c.rules[m.number+1].at, e.recovered), m.started)
		c.require(now.Sub(since) <= RulesBound, Configuration, "%s acts by rules %d, %s after rules %d were accepted", id, m.number, now.Sub(since), m.number+1)
	}
}

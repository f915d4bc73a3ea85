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

// Rules returns the accepted rules of a number, nil without any.
func (c *Checker) Rules(number uint64) *parser.Rules {
	c.mu.Lock()
	defer c.mu.Unlock()
	if number == 0 || number >= uint64(len(c.rules)) {
		return nil
	}
	return c.rules[number].Rules
}

// Accepted takes the number that an entry gave for an accepted change.
func (c *Checker) Accepted(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.require(number < uint64(len(c.rules)), Configuration, "rules %d were reported as accepted, %d were", number, len(c.rules)-1)
}

// RulesInForce takes the number of the rules by which a member acts, and their
// canonical text if it is known. A member is known from the first call on.
func (c *Checker) RulesInForce(id string, number uint64, text string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.members[id]
	if m == nil {
		m = &member{entry: entryOf(id), started: now}
		c.members[id] = m
	}
	c.require(number >= m.number, Configuration, "%s went from rules %d back to %d", id, m.number, number)
	m.number = number
	if number >= uint64(len(c.rules)) {
		c.require(false, Configuration, "%s acts by rules %d, which were never accepted", id, number)
		return
	}
	c.require(text == "" || text == c.rules[number].text, Configuration, "%s acts by other rules %d than were accepted", id, number)
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

package checker

import (
	"time"

	"github.com/coltsfootlever/coltsfootlever/parser"
)

// ruleSetsInForce returns the rule sets that were in force at any time between
// since and until.
func (c *Checker) ruleSetsInForce(since, until time.Time) []ruleSet {
	var sets []ruleSet
	for n, set := range c.rules {
		replaced := n+1 < len(c.rules) && c.rules[n+1].committed.Before(since)
		if !replaced && !set.committed.After(until) {
			sets = append(sets, set)
		}
	}
	return sets
}

// Rules returns the accepted rules with the given number, nil if there are none.
func (c *Checker) Rules(number uint64) *parser.Rules {
	c.mu.Lock()
	defer c.mu.Unlock()
	if number == 0 || number >= uint64(len(c.rules)) {
		return nil
	}
	return c.rules[number].Rules
}

// CheckAcceptedRules checks the rules number that an entry returned for an
// accepted change.
func (c *Checker) CheckAcceptedRules(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.require(number < uint64(len(c.rules)), Configuration, "rules %d were reported as accepted, but the last accepted ones are %d", number, len(c.rules)-1)
}

// CheckAppliedRules records which rules a member applies: their number and, if
// known, their canonical text. The first call for a member registers it.
func (c *Checker) CheckAppliedRules(id string, number uint64, text string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.members[id]
	if m == nil {
		m = &member{entry: entryOfMember(id), started: now}
		c.members[id] = m
	}
	c.require(number >= m.rules, Configuration, "%s reverted from rules %d to %d", id, m.rules, number)
	m.rules = number
	if number >= uint64(len(c.rules)) {
		c.require(false, Configuration, "%s applies rules %d, which were never accepted", id, number)
		return
	}
	c.require(text == "" || text == c.rules[number].text, Configuration, "the text of rules %[2]d that %[1]s applies differs from the accepted text", id, number)
}

// CheckTimeLimits checks that every member applies accepted rules within
// RulesTimeLimit. Call it often, after CheckAppliedRules.
func (c *Checker) CheckTimeLimits(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, m := range c.members {
		e := c.entryState(m.entry)
		if e.activeFaults > 0 || m.rules+1 >= uint64(len(c.rules)) {
			continue
		}
		since := laterTime(laterTime(c.rules[m.rules+1].committed, e.lastFaultEnd), m.started)
		c.require(now.Sub(since) <= RulesTimeLimit, Configuration, "%s still applies rules %d, %s after rules %d were accepted", id, m.rules, now.Sub(since), m.rules+1)
	}
}

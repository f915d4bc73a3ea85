package checker

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/coltsfootlever/coltsfootlever/budgeter"
	"github.com/coltsfootlever/coltsfootlever/distributor"
	"github.com/coltsfootlever/coltsfootlever/granter"
	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/mover"
	"github.com/coltsfootlever/coltsfootlever/parser"
)

// Stored takes one change of the key-value service. Changes must come in the
// order of their revisions, none left out.
func (c *Checker) Stored(ev keeper.Event, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = now
	key := ev.Key
	switch {
	case strings.HasPrefix(key, keeper.ChangePrefix):
		c.change(ev)
	case key == keeper.SnapshotKey:
		c.compacted(ev)
	case strings.HasPrefix(key, keeper.LedgerPrefix+"."): // no account
	case strings.HasPrefix(key, keeper.LedgerPrefix):
		c.account(strings.TrimPrefix(key, keeper.LedgerPrefix), ev)
	case strings.HasPrefix(key, keeper.InstancePrefix):
		next, err := keeper.Decode[mover.Instance](ev.Record)
		c.require(ev.Deleted || err == nil, OnePool, "record %s cannot be read: %v", key, err)
		c.instance(strings.TrimPrefix(key, keeper.InstancePrefix), next, ev.Deleted, now)
	case key == keeper.AbsencesKey:
		c.absent(ev)
	}
}

// account checks a ledger record: no more slots are held than are in force, and
// the limit in force grows only up to the limit of accepted rules.
func (c *Checker) account(team string, ev keeper.Event) {
	next, err := keeper.Decode[granter.Account](ev.Record)
	if ev.Deleted {
		next, err = granter.Account{}, nil
	}
	c.require(err == nil, Limit, "ledger record of %s cannot be read: %v", team, err)
	old := c.accounts[team]
	c.accounts[team] = next
	held := 0
	for _, g := range next.Grants {
		c.require(g.Held >= 0, Limit, "%s holds %d slots of %s", g.Member, g.Held, team)
		held += g.Held
	}
	c.require(held <= next.InForce, Limit, "members hold %d slots of team %s above its limit in force of %d at revision %d", held, team, next.InForce, ev.Revision)
	c.checkLimit(team, fmt.Sprintf("ledger revision %d", ev.Revision))
	if ev.Deleted {
		return
	}
	c.require(next.Rules >= old.Rules, Configuration, "ledger of %s went from rules %d back to %d", team, old.Rules, next.Rules)
	if next.InForce > old.InForce {
		limit := c.limitOf(team, next.Rules)
		c.require(next.InForce <= limit, Limit, "limit in force of team %s was raised to %d, rules %d allow %d", team, next.InForce, next.Rules, limit)
	}
}

// limitOf returns the limit of a team in an accepted rule set, 0 without one.
func (c *Checker) limitOf(team string, number uint64) int {
	if number >= uint64(len(c.rules)) {
		return 0
	}
	for _, t := range c.rules[number].Teams {
		if t.Name == team {
			return t.Limit
		}
	}
	return 0
}

// absent checks the record of absences: a planned absence is taken only where
// the budgets of the rules known to the taker have room.
func (c *Checker) absent(ev keeper.Event) {
	next, err := keeper.Decode[budgeter.Absences](ev.Record)
	c.require(err == nil && !ev.Deleted, Budgets, "the record of absences cannot be read: %v", err)
	old := c.absences
	c.absences = next
	c.require(next.Rules >= old.Rules, Configuration, "absences went from rules %d back to %d", old.Rules, next.Rules)
	for _, x := range next.List {
		before, had := old.Find(x.Instance)
		if x.Kind == budgeter.Planned && !(had && before.Kind == x.Kind && before.Order == x.Order) {
			c.checkRoom(next, x)
		}
	}
	for _, x := range old.List {
		if _, still := next.Find(x.Instance); !still {
			c.checkAbsent(c.instances[x.Instance])
		}
	}
}

// checkRoom requires that the planned absence x overdraws no budget.
func (c *Checker) checkRoom(a budgeter.Absences, x budgeter.Absence) {
	if a.Rules >= uint64(len(c.rules)) {
		c.require(false, Configuration, "an absence was taken under rules %d, which were never accepted", a.Rules)
		return
	}
	scopes := []struct {
		scope parser.Scope
		of    func(budgeter.Absence) string
	}{
		{parser.PoolScope, func(x budgeter.Absence) string { return x.Pool }},
		{parser.ZoneScope, func(x budgeter.Absence) string { return x.Zone }},
		{parser.RackScope, func(x budgeter.Absence) string { return x.Rack }},
	}
	for _, s := range scopes {
		allowed, bounded := budgetOf(c.rules[a.Rules].Budgets, s.scope, s.of(x))
		count := 0
		for _, other := range a.List {
			if s.of(other) == s.of(x) {
				count++
			}
		}
		c.require(!bounded || count <= allowed, Budgets, "the planned absence of %s (%s) overdraws the budget of %s %s: %d absent, %d allowed", x.Instance, x.Order, s.scope, s.of(x), count, allowed)
	}
}

func budgetOf(budgets []parser.Budget, scope parser.Scope, object string) (allowed int, bounded bool) {
	for _, b := range budgets {
		if b.Scope != scope {
			continue
		}
		if b.Name == object {
			return b.MaxAbsent, true
		}
		if b.Name == parser.Wildcard {
			allowed, bounded = b.MaxAbsent, true
		}
	}
	return allowed, bounded
}

// checkAbsent requires that an instance kept out of service by an order is
// counted as absent.
func (c *Checker) checkAbsent(i mover.Instance) {
	out := i.Phase == mover.Draining || i.Phase == mover.Drained || i.Phase == mover.Rebooting
	if !out || i.Order == nil {
		return
	}
	_, counted := c.absences.Find(i.ID)
	c.require(counted, Budgets, "%s is %s for %s without a counted absence", i.ID, i.Phase, i.Order.ID)
}

// change takes a numbered change of the rules. Creating a number again after it
// was compacted away is an attempt that its writer takes back.
func (c *Checker) change(ev keeper.Event) {
	number, err := strconv.ParseUint(strings.TrimPrefix(ev.Key, keeper.ChangePrefix), 10, 64)
	c.require(err == nil, Configuration, "change under key %q", ev.Key)
	if ev.Deleted {
		c.require(number <= c.snapshot, Configuration, "change %d was deleted above snapshot %d", number, c.snapshot)
		delete(c.changes, ev.Key)
		return
	}
	change, err := distributor.DecodeChange(ev.Value)
	c.require(err == nil && change.Number == number, Configuration, "change %d cannot be read: %v", number, err)
	_, present := c.changes[ev.Key]
	c.require(!present, Configuration, "change %d was altered", number)
	c.changes[ev.Key] = change.Op
	last := uint64(len(c.rules) - 1)
	if number <= last {
		c.require(number <= c.snapshot, Configuration, "change %d was committed again", number)
		return
	}
	c.require(number == last+1, Configuration, "change %d follows change %d", number, last)
	rules, err := parser.Patch(c.rules[last].Rules, change.Differences)
	if err != nil {
		c.require(false, Configuration, "change %d does not apply: %v", number, err)
		return
	}
	rules.Number = number
	c.rules = append(c.rules, ruleSet{Rules: rules, at: c.now, text: string(parser.Format(rules))})
}

func (c *Checker) compacted(ev keeper.Event) {
	next, err := keeper.Decode[distributor.Snapshot](ev.Record)
	c.require(err == nil && !ev.Deleted, Configuration, "the snapshot of the rules cannot be read: %v", err)
	c.require(next.Number >= c.snapshot, Configuration, "the snapshot went from rules %d back to %d", c.snapshot, next.Number)
	c.snapshot = max(c.snapshot, next.Number)
	accepted := next.Number < uint64(len(c.rules))
	c.require(accepted, Configuration, "snapshot %d was never accepted", next.Number)
	if accepted {
		c.require(next.Text == c.rules[next.Number].text, Configuration, "snapshot %d differs from the accepted rules", next.Number)
	}
}

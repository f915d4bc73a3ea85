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

// CheckStoreChange records and checks one change in the key-value service. All
// changes must be reported, in the order of their revisions.
func (c *Checker) CheckStoreChange(ev keeper.Event, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = now
	key := ev.Key
	switch {
	case strings.HasPrefix(key, keeper.ChangePrefix):
		c.checkStoredRuleChange(ev)
	case key == keeper.SnapshotKey:
		c.checkStoredSnapshot(ev)
	case strings.HasPrefix(key, keeper.LedgerPrefix+"."): // records of the ledger that are no account, such as the weights
	case strings.HasPrefix(key, keeper.LedgerPrefix):
		c.checkStoredAccount(strings.TrimPrefix(key, keeper.LedgerPrefix), ev)
	case strings.HasPrefix(key, keeper.InstancePrefix):
		next, err := keeper.Decode[mover.Instance](ev.Record)
		c.require(ev.Deleted || err == nil, OnePool, "record %s cannot be read: %v", key, err)
		c.checkStoredInstance(strings.TrimPrefix(key, keeper.InstancePrefix), next, ev.Deleted, now)
	case key == keeper.AbsencesKey:
		c.checkStoredAbsences(ev)
	}
}

// checkStoredAccount checks a team's ledger record: members together hold no
// more slots than the limit in force, and the limit in force is raised only up
// to the limit of accepted rules.
func (c *Checker) checkStoredAccount(team string, ev keeper.Event) {
	next, err := keeper.Decode[granter.Account](ev.Record)
	if ev.Deleted {
		next, err = granter.Account{}, nil
	}
	c.require(err == nil, Limit, "ledger record of %s cannot be read: %v", team, err)
	old := c.accounts[team]
	c.accounts[team] = next
	held := 0
	for _, g := range next.Grants {
		c.require(g.Held >= 0, Limit, "%s holds a negative number of slots, %d, of team %s", g.Member, g.Held, team)
		held += g.Held
	}
	c.require(held <= next.InForce, Limit, "members hold %d slots of team %s, more than its limit in force of %d, at revision %d", held, team, next.InForce, ev.Revision)
	c.checkLimitInForce(team, fmt.Sprintf("ledger revision %d", ev.Revision))
	if ev.Deleted {
		return
	}
	c.require(next.Rules >= old.Rules, Configuration, "the ledger of team %s reverted from rules %d to %d", team, old.Rules, next.Rules)
	if next.InForce > old.InForce {
		limit := c.teamLimit(team, next.Rules)
		c.require(next.InForce <= limit, Limit, "the limit in force of team %s was raised to %d, but rules %d allow %d", team, next.InForce, next.Rules, limit)
	}
}

// teamLimit returns the limit of a team in an accepted rule set, 0 if the rule
// set or the team does not exist.
func (c *Checker) teamLimit(team string, number uint64) int {
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

// checkStoredAbsences checks the record of absences: a planned absence is added
// only if the budgets of the rules named in the record allow it, and one is
// removed only when its instance is back in service.
func (c *Checker) checkStoredAbsences(ev keeper.Event) {
	next, err := keeper.Decode[budgeter.Absences](ev.Record)
	c.require(err == nil && !ev.Deleted, Budgets, "the record of absences cannot be read: %v", err)
	old := c.absences
	c.absences = next
	c.require(next.Rules >= old.Rules, Configuration, "the record of absences reverted from rules %d to %d", old.Rules, next.Rules)
	for _, x := range next.List {
		before, existed := old.Find(x.Instance)
		if x.Kind == budgeter.Planned && !(existed && before.Kind == x.Kind && before.Order == x.Order) {
			c.checkBudgets(next, x)
		}
	}
	for _, x := range old.List {
		if _, still := next.Find(x.Instance); !still {
			c.checkAbsenceRecorded(c.instances[x.Instance])
		}
	}
}

// checkBudgets checks that the planned absence x exceeds no budget.
func (c *Checker) checkBudgets(a budgeter.Absences, x budgeter.Absence) {
	if a.Rules >= uint64(len(c.rules)) {
		c.require(false, Configuration, "a planned absence was added under rules %d, which were never accepted", a.Rules)
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
		allowed, bounded := budgetOfScope(c.rules[a.Rules].Budgets, s.scope, s.of(x))
		count := 0
		for _, other := range a.List {
			if s.of(other) == s.of(x) {
				count++
			}
		}
		c.require(!bounded || count <= allowed, Budgets, "the planned absence of %s (%s) exceeds the budget of %s %s: %d absent, %d allowed", x.Instance, x.Order, s.scope, s.of(x), count, allowed)
	}
}

// budgetOfScope returns the number of absences that the budgets allow for the
// pool, zone or rack named object. bounded is false if no budget applies to it.
func budgetOfScope(budgets []parser.Budget, scope parser.Scope, object string) (allowed int, bounded bool) {
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

// checkAbsenceRecorded checks that an instance which an operator's order keeps
// out of service is in the record of absences.
func (c *Checker) checkAbsenceRecorded(i mover.Instance) {
	outOfService := i.Phase == mover.Draining || i.Phase == mover.Drained || i.Phase == mover.Rebooting
	if !outOfService || i.Order == nil {
		return
	}
	_, recorded := c.absences.Find(i.ID)
	c.require(recorded, Budgets, "%s is %s for order %s but is not in the record of absences", i.ID, i.Phase, i.Order.ID)
}

// checkStoredRuleChange records and checks a numbered rule change. A number at
// or below the snapshot may be created again after compaction deleted it: this
// is a late write that its writer deletes itself.
func (c *Checker) checkStoredRuleChange(ev keeper.Event) {
	number, err := strconv.ParseUint(strings.TrimPrefix(ev.Key, keeper.ChangePrefix), 10, 64)
	c.require(err == nil, Configuration, "rule change under key %q, which has no number", ev.Key)
	if ev.Deleted {
		c.require(number <= c.snapshot, Configuration, "change %d was deleted although the snapshot is only at %d", number, c.snapshot)
		delete(c.changes, ev.Key)
		return
	}
	change, err := distributor.DecodeChange(ev.Value)
	c.require(err == nil && change.Number == number, Configuration, "change %d cannot be read: %v", number, err)
	_, present := c.changes[ev.Key]
	c.require(!present, Configuration, "change %d was overwritten", number)
	c.changes[ev.Key] = change.Op
	last := uint64(len(c.rules) - 1)
	if number <= last {
		c.require(number <= c.snapshot, Configuration, "change %d was committed again", number)
		return
	}
	c.require(number == last+1, Configuration, "change %d was committed directly after change %d", number, last)
	rules, err := parser.Patch(c.rules[last].Rules, change.Differences)
	if err != nil {
		c.require(false, Configuration, "change %d does not apply: %v", number, err)
		return
	}
	rules.Number = number
	c.rules = append(c.rules, ruleSet{Rules: rules, committed: c.now, text: string(parser.Format(rules))})
}

// checkStoredSnapshot checks that the stored snapshot holds accepted rules and
// never reverts to older ones.
func (c *Checker) checkStoredSnapshot(ev keeper.Event) {
	next, err := keeper.Decode[distributor.Snapshot](ev.Record)
	c.require(err == nil && !ev.Deleted, Configuration, "the snapshot of the rules cannot be read: %v", err)
	c.require(next.Number >= c.snapshot, Configuration, "the snapshot reverted from rules %d to %d", c.snapshot, next.Number)
	c.snapshot = max(c.snapshot, next.Number)
	accepted := next.Number < uint64(len(c.rules))
	c.require(accepted, Configuration, "the snapshot holds rules %d, which were never accepted", next.Number)
	if accepted {
		c.require(next.Text == c.rules[next.Number].text, Configuration, "the snapshot of rules %d differs from the accepted rules", next.Number)
	}
}

package granter

import (
	"context"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/keeper"
)

// reset takes over a listing of the ledger.
func (g *Granter) reset(records []keeper.Record) {
	listed := make(map[string]bool, len(records))
	for _, r := range records {
		listed[teamOf(r.Key)] = true
		g.event(keeper.Event{Record: r})
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.listed = true
	for team, e := range g.accounts {
		if !listed[team] {
			e.account = Account{Team: team}
		}
	}
}

// event takes over one change of the ledger unless a newer one is known.
func (g *Granter) event(ev keeper.Event) {
	if ev.Key == weightsKey {
		g.takeWeights(ev)
		return
	}
	team := teamOf(ev.Key)
	account := Account{Team: team}
	if !ev.Deleted {
		var err error
		account, err = keeper.Decode[Account](ev.Record)
		if err != nil {
			g.log.Error("account unreadable", "team", team, "err", err)
			return
		}
	}
	g.learn(team, account, ev.Revision)
	g.wake()
}

func (g *Granter) learn(team string, account Account, revision int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e, ok := g.accounts[team]
	if !ok {
		e = &entry{}
		g.accounts[team] = e
	}
	if revision <= e.revision {
		return
	}
	e.account, e.revision = account, revision
	held := account.Held()
	g.assert(held <= account.InForce, "ledger: %d slots held for team %q, limit in force %d", held, team, account.InForce)
}

// state returns a copy of the team's entry.
func (g *Granter) state(team string) entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	return *g.accounts[team]
}

func (g *Granter) setDoubt(team string, doubt bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.accounts[team].doubt = doubt
}

func (g *Granter) isReleasing() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.releasing
}

// step brings one account and its ceiling closer to the target. It reports
// whether it wrote or tried to. It runs in one goroutine only.
func (g *Granter) step(ctx context.Context, team string) bool {
	e := g.state(team)
	if !g.due(team, e) {
		g.setCeiling(team)
		return false
	}
	change := func(cur Account, exists bool) (Account, bool, error) {
		return g.adjust(cur, exists, e.doubt)
	}
	account, record, err := keeper.Update(ctx, g.store, keeper.LedgerPrefix+team, change)
	if err != nil {
		g.failed(team, err)
		return true
	}
	g.learn(team, account, record.Revision)
	g.setDoubt(team, false)
	g.setCeiling(team)
	return true
}

// failed keeps the lowered ceiling when the write may still take effect, and
// puts it back when nothing was written.
func (g *Granter) failed(team string, err error) {
	g.log.Warn("grant not adjusted", "team", team, "err", err)
	if errors.Is(err, keeper.ErrUnavailable) || errors.Is(err, keeper.ErrConflict) {
		g.setCeiling(team)
		return
	}
	g.setDoubt(team, true)
}

// due reports whether a write could bring the account closer to its target.
func (g *Granter) due(team string, e entry) bool {
	mine, ok := e.account.Grant(g.self)
	if e.doubt {
		return true
	}
	if !ok {
		return false
	}
	target := g.target(mine)
	if target < mine.Held {
		return max(target, g.wallet.usedBy(team)) < mine.Held
	}
	return target > mine.Held && e.account.room() > 0
}

func (g *Granter) target(mine Grant) int {
	if g.isReleasing() {
		return 0
	}
	return mine.Target
}

// adjust computes the next account. It lowers the ceiling before a lowered
// grant is written. With force it writes in any case, so that an earlier write
// of unknown outcome can no longer take effect: each write is bound to the
// revision it read.
func (g *Granter) adjust(cur Account, exists, force bool) (Account, bool, error) {
	i, ok := cur.find(g.self)
	if !exists || !ok {
		return cur, exists && force, nil
	}
	next := cur.clone()
	mine := &next.Grants[i]
	target := g.target(*mine)
	switch {
	case target < mine.Held:
		mine.Held = max(target, g.wallet.Lower(cur.Team, target))
	case target > mine.Held:
		mine.Held += min(target-mine.Held, cur.room())
	}
	next = next.settle()
	return next, force || !next.equal(cur), nil
}

// setCeiling makes the ceiling follow the grant as last seen. While an own
// write is in doubt it only falls: the grant may be lower than it was seen.
func (g *Granter) setCeiling(team string) {
	e := g.state(team)
	mine, ok := e.account.Grant(g.self)
	ceiling := g.wallet.Ceiling(team)
	switch {
	case !ok && ceiling > 0 && !e.doubt:
		g.log.Warn("grant reclaimed", "team", team, "used", g.wallet.usedBy(team))
		g.wallet.SetCeiling(team, 0)
	case !ok:
		g.wallet.SetCeiling(team, 0)
	case e.doubt:
		g.wallet.SetCeiling(team, min(ceiling, mine.Held))
	default:
		g.wallet.SetCeiling(team, mine.Held)
	}
}

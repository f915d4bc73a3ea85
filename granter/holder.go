package granter

import (
	"context"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/keeper"
)

// handleListing takes over a listing of the ledger.
func (g *Granter) handleListing(records []keeper.Record) {
	listed := make(map[string]bool, len(records))
	for _, r := range records {
		listed[teamOf(r.Key)] = true
		g.handleEvent(keeper.Event{Record: r})
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledgerRead = true
	for team, e := range g.accounts {
		if !listed[team] {
			e.account = Account{Team: team}
		}
	}
}

// handleEvent takes over one change of the ledger unless a newer one is known.
func (g *Granter) handleEvent(ev keeper.Event) {
	if ev.Key == weightsKey {
		g.handleWeights(ev)
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
	g.updateAccount(team, account, ev.Revision)
	g.requestPass()
}

func (g *Granter) updateAccount(team string, account Account, revision int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e, ok := g.accounts[team]
	if !ok {
		e = &accountState{}
		g.accounts[team] = e
	}
	if revision <= e.revision {
		return
	}
	e.account, e.revision = account, revision
	held := account.Held()
	g.assert(held <= account.InForce, "ledger: %d slots held for team %q, limit in force %d", held, team, account.InForce)
}

// accountStateOf returns a copy of the team's entry.
func (g *Granter) accountStateOf(team string) accountState {
	g.mu.Lock()
	defer g.mu.Unlock()
	return *g.accounts[team]
}

func (g *Granter) setWriteUncertain(team string, uncertain bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.accounts[team].writeUncertain = uncertain
}

func (g *Granter) isReleasing() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.releasing
}

// adjustAccount brings one account and its ceiling closer to the target. It reports
// whether it wrote or tried to. It runs in one goroutine only.
func (g *Granter) adjustAccount(ctx context.Context, team string) bool {
	e := g.accountStateOf(team)
	if !g.needsWrite(team, e) {
		g.updateCeiling(team)
		return false
	}
	change := func(cur Account, exists bool) (Account, bool, error) {
		return g.nextAccount(cur, exists, e.writeUncertain)
	}
	account, record, err := keeper.Update(ctx, g.store, keeper.LedgerPrefix+team, change)
	if err != nil {
		g.handleWriteError(team, err)
		return true
	}
	g.updateAccount(team, account, record.Revision)
	g.setWriteUncertain(team, false)
	g.updateCeiling(team)
	return true
}

// handleWriteError keeps the lowered ceiling when the write may still take effect, and
// puts it back when nothing was written.
func (g *Granter) handleWriteError(team string, err error) {
	g.log.Warn("grant not adjusted", "team", team, "err", err)
	if errors.Is(err, keeper.ErrUnavailable) || errors.Is(err, keeper.ErrConflict) {
		g.updateCeiling(team)
		return
	}
	g.setWriteUncertain(team, true)
}

// needsWrite reports whether a write could bring the account closer to its target.
func (g *Granter) needsWrite(team string, e accountState) bool {
	mine, ok := e.account.Grant(g.self)
	if e.writeUncertain {
		return true
	}
	if !ok {
		return false
	}
	target := g.targetOf(mine)
	if target < mine.Held {
		return max(target, g.quota.usedBy(team)) < mine.Held
	}
	return target > mine.Held && e.account.availableSlots() > 0
}

func (g *Granter) targetOf(mine Grant) int {
	if g.isReleasing() {
		return 0
	}
	return mine.Target
}

// nextAccount computes the next account. It lowers the ceiling before a lowered
// grant is written. With force it writes in any case, so that an earlier write
// of unknown outcome can no longer take effect: each write is bound to the
// revision it read.
func (g *Granter) nextAccount(cur Account, exists, force bool) (Account, bool, error) {
	i, ok := cur.findGrant(g.self)
	if !exists || !ok {
		return cur, exists && force, nil
	}
	next := cur.clone()
	mine := &next.Grants[i]
	target := g.targetOf(*mine)
	switch {
	case target < mine.Held:
		mine.Held = max(target, g.quota.LowerCeiling(cur.Team, target))
	case target > mine.Held:
		mine.Held += min(target-mine.Held, cur.availableSlots())
	}
	next = next.withUpdatedInForce()
	return next, force || !next.equal(cur), nil
}

// updateCeiling makes the ceiling follow the grant as last seen. While an own
// write is in doubt it only falls: the grant may be lower than it was seen.
func (g *Granter) updateCeiling(team string) {
	e := g.accountStateOf(team)
	mine, ok := e.account.Grant(g.self)
	ceiling := g.quota.Ceiling(team)
	switch {
	case !ok && ceiling > 0 && !e.writeUncertain:
		g.log.Warn("grant reclaimed", "team", team, "used", g.quota.usedBy(team))
		g.quota.SetCeiling(team, 0)
	case !ok:
		g.quota.SetCeiling(team, 0)
	case e.writeUncertain:
		g.quota.SetCeiling(team, min(ceiling, mine.Held))
	default:
		g.quota.SetCeiling(team, mine.Held)
	}
}

package granter

import (
	"context"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/keeper"
)

// handleListing replaces the known accounts by a complete listing of the
// ledger.
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

// handleEvent applies one change of the ledger unless a newer one is already
// known.
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
			g.log.Error("ledger record of the team cannot be decoded; keeping the last known account", "team", team, "err", err)
			return
		}
	}
	g.updateAccount(team, account, ev.Revision)
	g.requestAccountPass()
}

// updateAccount stores the account if its revision is newer than the known one.
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
	g.assert(held <= account.InForce, "ledger: %d slots held for team %q, but the limit in force is %d", held, team, account.InForce)
}

// accountStateOf returns a copy of the state of the team's account.
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

func (g *Granter) isReleasingGrants() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.releasing
}

// adjustOwnGrant moves this member's grant for the team, and its ceiling,
// towards the target. It reports whether it tried to write the ledger. Only one
// goroutine may call it.
func (g *Granter) adjustOwnGrant(ctx context.Context, team string) bool {
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

// handleWriteError restores the ceiling when certainly nothing was written.
// Otherwise the write may still take effect, so the ceiling stays lowered and
// the outcome is marked as unknown.
func (g *Granter) handleWriteError(team string, err error) {
	g.log.Warn("grant not adjusted; retrying in the next pass", "team", team, "err", err)
	if errors.Is(err, keeper.ErrUnavailable) || errors.Is(err, keeper.ErrConflict) {
		g.updateCeiling(team)
		return
	}
	g.setWriteUncertain(team, true)
}

// needsWrite reports whether a write could bring this member's grant closer to
// its target, or is needed to find out the result of an earlier write of unknown outcome.
func (g *Granter) needsWrite(team string, e accountState) bool {
	mine, ok := e.account.Grant(g.self)
	if e.writeUncertain {
		return true
	}
	if !ok {
		return false
	}
	target := g.effectiveTarget(mine)
	if target < mine.Held {
		return max(target, g.quota.slotsUsedBy(team)) < mine.Held
	}
	return target > mine.Held && e.account.availableSlots() > 0
}

// effectiveTarget returns the target of the grant, which is 0 once Release has
// been called.
func (g *Granter) effectiveTarget(mine Grant) int {
	if g.isReleasingGrants() {
		return 0
	}
	return mine.Target
}

// nextAccount computes the account to write. It lowers the ceiling before it
// returns a lowered grant. With force it writes even an unchanged account: each
// write applies only to the revision that it read, so the forced write makes an
// earlier write of unknown outcome impossible from then on.
func (g *Granter) nextAccount(cur Account, exists, force bool) (Account, bool, error) {
	i, ok := cur.findGrant(g.self)
	if !exists || !ok {
		return cur, exists && force, nil
	}
	next := cur.clone()
	mine := &next.Grants[i]
	target := g.effectiveTarget(*mine)
	switch {
	case target < mine.Held:
		mine.Held = max(target, g.quota.LowerCeiling(cur.Team, target))
	case target > mine.Held:
		mine.Held += min(target-mine.Held, cur.availableSlots())
	}
	next = next.withLimitInForceUpdated()
	return next, force || !next.equal(cur), nil
}

// updateCeiling sets the ceiling to the last known grant. While the outcome of
// a write is unknown, it only lowers the ceiling, because the grant may already
// be lower than last seen.
func (g *Granter) updateCeiling(team string) {
	e := g.accountStateOf(team)
	mine, ok := e.account.Grant(g.self)
	ceiling := g.quota.Ceiling(team)
	switch {
	case !ok && ceiling > 0 && !e.writeUncertain:
		g.log.Warn("grant reclaimed by the coordinator; no further tasks of the team start here", "team", team, "used", g.quota.slotsUsedBy(team))
		g.quota.SetCeiling(team, 0)
	case !ok:
		g.quota.SetCeiling(team, 0)
	case e.writeUncertain:
		g.quota.SetCeiling(team, min(ceiling, mine.Held))
	default:
		g.quota.SetCeiling(team, mine.Held)
	}
}

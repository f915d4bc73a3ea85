package server

import (
	"sync"
	"time"

	"github.com/coltsfootlever/coltsfootlever/granter"
	"github.com/coltsfootlever/coltsfootlever/messenger"
	"github.com/coltsfootlever/coltsfootlever/parser"
)

// loadLife is the time for which a member's last report counts.
const heartbeatLifetime = 10 * time.Second

type (
	// loadTable keeps the last report of each member.
	heartbeatTable struct {
		self   string
		mu     sync.Mutex
		latest map[string]receivedHeartbeat
	}

	receivedHeartbeat struct {
		at time.Time
		hb messenger.Heartbeat
	}

	// localLoads shows this member's loads and grants to the chooser.
	localLoads struct{ e *Entry }
)

func newHeartbeatTable(self string) *heartbeatTable {
	return &heartbeatTable{self: self, latest: make(map[string]receivedHeartbeat)}
}

func (t *heartbeatTable) record(hb messenger.Heartbeat) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if hb.Partial {
		hb.Teams = t.latest[hb.From].hb.Teams
		hb.Pools = t.latest[hb.From].hb.Pools
	}
	t.latest[hb.From] = receivedHeartbeat{at: time.Now(), hb: hb}
}

// of returns the last report of a member and when it came.
func (t *heartbeatTable) get(member string) (hb messenger.Heartbeat, at time.Time, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l, ok := t.latest[member]
	return l.hb, l.at, ok
}

// all returns the reports that still count.
func (t *heartbeatTable) current() []messenger.Heartbeat {
	t.mu.Lock()
	defer t.mu.Unlock()
	var loads []messenger.Heartbeat
	for member, l := range t.latest {
		if time.Since(l.at) > heartbeatLifetime {
			delete(t.latest, member)
			continue
		}
		loads = append(loads, l.hb)
	}
	return loads
}

// poolLoads returns the load of each pool, one line for each member and pool.
func (e *Entry) poolLoads() []messenger.PoolLoad {
	var loads []messenger.PoolLoad
	for _, hb := range e.heartbeats.current() {
		loads = append(loads, hb.Pools...)
	}
	return loads
}

// heard takes a peer's heartbeat.
func (e *Entry) handleHeartbeat(hb messenger.Heartbeat) {
	e.heartbeats.record(hb)
	if !hb.Partial {
		e.chooser.HandleHeartbeat(hb)
	}
	e.rules.RecordMemberRules(hb.From, hb.Rules)
}

// report returns this member's loads for the next heartbeat.
func (e *Entry) reportLoads() ([]messenger.PoolLoad, []messenger.TeamLoad) {
	loads := e.placer.Loads()
	if e.leaving.Load() {
		loads.Pools = nil // so that peers forward nothing here
	}
	e.heartbeats.record(messenger.Heartbeat{From: e.self().ID, Rules: e.rules.Number(), Pools: loads.Pools, Teams: loads.Teams})
	return loads.Pools, loads.Teams
}

// applyRules passes bounds and shares of new rules on.
func (e *Entry) applyRules(rules *parser.Rules) {
	bounds := make(map[string]int, len(rules.Queues))
	for _, q := range rules.Queues {
		bounds[q.Name] = q.Bound
	}
	shares := make(map[string]float64, len(rules.Teams))
	for _, t := range rules.Teams {
		shares[t.Name] = float64(t.Share)
	}
	e.setLatencyObjectives(rules)
	e.waiting.SetBounds(bounds)
	e.waiting.SetShares(shares)
	e.placer.Wake()
}

// applyWeights lets this member's teams share its slots so that the fleet as a
// whole comes near the teams' shares.
func (e *Entry) applyWeights(w granter.Weights) {
	rules := e.rules.Rules()
	if rules == nil {
		return
	}
	for _, pool := range rules.Pools {
		e.waiting.SetWeights(pool.Name, w.Map(pool.Name))
	}
	e.placer.Wake()
}

// localShares divides this member's slots of the pool among the teams.
func (e *Entry) localShares(pool string, demand map[string]int) map[string]int {
	rules := e.rules.Rules()
	if rules == nil {
		return nil
	}
	var demands []granter.Demand
	for _, t := range rules.Teams {
		if n := demand[t.Name]; n > 0 {
			demands = append(demands, granter.Demand{Team: t.Name, Weight: t.Share, Limit: e.wallet.Ceiling(t.Name), Demand: n})
		}
	}
	return granter.Shares(localLoads{e}.PoolLoad(pool).Slots, demands)
}

// PoolLoad implements router.LocalState.
func (l localLoads) PoolLoad(pool string) messenger.PoolLoad {
	for _, load := range l.e.placer.Loads().Pools {
		if load.Pool == pool {
			return load
		}
	}
	return messenger.PoolLoad{Pool: pool}
}

// FreeGrant implements router.LocalState.
func (l localLoads) FreeGrant(team string) int {
	return l.e.wallet.Free(team)
}

// GrantHolders implements router.LocalState.
func (l localLoads) GrantHolders(team string, slots int) []string {
	return l.e.grants.HoldersFor(team, slots)
}

package server

import (
	"sync"
	"time"

	"github.com/coltsfootlever/coltsfootlever/granter"
	"github.com/coltsfootlever/coltsfootlever/messenger"
	"github.com/coltsfootlever/coltsfootlever/parser"
)

// heartbeatLifetime is how long the latest heartbeat of an entry is used.
const heartbeatLifetime = 10 * time.Second

type (
	// heartbeatTable holds the latest heartbeat of each entry, with its loads.
	heartbeatTable struct {
		self   string
		mu     sync.Mutex
		latest map[string]receivedHeartbeat
	}

	receivedHeartbeat struct {
		at time.Time
		hb messenger.Heartbeat
	}

	// localLoads gives the router's chooser this entry's loads and grants.
	localLoads struct{ e *Entry }
)

func newHeartbeatTable(self string) *heartbeatTable {
	return &heartbeatTable{self: self, latest: make(map[string]receivedHeartbeat)}
}

// record stores a heartbeat as the latest of its sender. A partial heartbeat has
// no loads, so the loads of the one before are kept.
func (t *heartbeatTable) record(hb messenger.Heartbeat) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if hb.Partial {
		hb.Teams = t.latest[hb.From].hb.Teams
		hb.Pools = t.latest[hb.From].hb.Pools
	}
	t.latest[hb.From] = receivedHeartbeat{at: time.Now(), hb: hb}
}

// get returns the latest heartbeat of a member and when it arrived.
func (t *heartbeatTable) get(member string) (hb messenger.Heartbeat, at time.Time, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l, ok := t.latest[member]
	return l.hb, l.at, ok
}

// current returns the latest heartbeats that are not older than heartbeatLifetime.
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

// poolLoads returns the loads of all pools, one element for each member and pool.
func (e *Entry) poolLoads() []messenger.PoolLoad {
	var loads []messenger.PoolLoad
	for _, hb := range e.heartbeats.current() {
		loads = append(loads, hb.Pools...)
	}
	return loads
}

// handleHeartbeat processes a heartbeat from a peer.
func (e *Entry) handleHeartbeat(hb messenger.Heartbeat) {
	e.heartbeats.record(hb)
	if !hb.Partial {
		e.chooser.HandleHeartbeat(hb)
	}
	e.rules.RecordMemberRules(hb.From, hb.Rules)
}

// reportLoads returns this entry's loads for its next heartbeat.
func (e *Entry) reportLoads() ([]messenger.PoolLoad, []messenger.TeamLoad) {
	loads := e.placer.Loads()
	if e.leaving.Load() {
		loads.Pools = nil // so that peers forward nothing here
	}
	e.heartbeats.record(messenger.Heartbeat{From: e.self().ID, Rules: e.rules.RulesNumber(), Pools: loads.Pools, Teams: loads.Teams})
	return loads.Pools, loads.Teams
}

// applyRules passes queue bounds, team shares and objectives of new rules to the
// services that use them.
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
	e.waiting.SetQueueBounds(bounds)
	e.waiting.SetTeamShares(shares)
	e.placer.Wake()
}

// applyWeights sets the weights by which this entry divides its slots among teams.
// The weights are chosen so that each team's slots on all entries together come
// close to its share.
func (e *Entry) applyWeights(w granter.Weights) {
	rules := e.rules.Rules()
	if rules == nil {
		return
	}
	for _, pool := range rules.Pools {
		e.waiting.SetPoolWeights(pool.Name, w.ByTeam(pool.Name))
	}
	e.placer.Wake()
}

// localShares divides this entry's slots in the pool among the teams, by their
// shares, limits and demand.
func (e *Entry) localShares(pool string, demand map[string]int) map[string]int {
	rules := e.rules.Rules()
	if rules == nil {
		return nil
	}
	var demands []granter.Demand
	for _, t := range rules.Teams {
		if n := demand[t.Name]; n > 0 {
			demands = append(demands, granter.Demand{Team: t.Name, Weight: t.Share, Limit: e.slotQuota.Ceiling(t.Name), Demand: n})
		}
	}
	return granter.Shares(localLoads{e}.PoolLoad(pool).Slots, demands)
}

// PoolLoad implements router.LocalState. It returns this entry's load in the pool.
func (l localLoads) PoolLoad(pool string) messenger.PoolLoad {
	for _, load := range l.e.placer.Loads().Pools {
		if load.Pool == pool {
			return load
		}
	}
	return messenger.PoolLoad{Pool: pool}
}

// FreeGrant implements router.LocalState. It returns the slots that the team may still use
// here.
func (l localLoads) FreeGrant(team string) int {
	return l.e.slotQuota.FreeSlots(team)
}

// GrantHolders implements router.LocalState. It returns the entries whose grants hold at
// least this many slots for the team, those with the most first.
func (l localLoads) GrantHolders(team string, slots int) []string {
	return l.e.grants.HoldersWithSlots(team, slots)
}

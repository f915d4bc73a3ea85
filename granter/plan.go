package granter

import (
	"slices"
	"strings"

	"github.com/coltsfootlever/coltsfootlever/messenger"
	"github.com/coltsfootlever/coltsfootlever/parser"
	"github.com/coltsfootlever/coltsfootlever/registrar"
)

// planInput is the data from which the accounts are planned. It does not change
// during a round.
type planInput struct {
	rules       *parser.Rules
	viewNumber  uint64                     // number of the membership view
	teams       map[string]parser.Team     // by name
	pools       map[string]map[string]bool // pools of the queues of each team
	active      map[string]bool            // by member: whether it may receive grants
	reclaimable map[string]bool            // by member: whether no task that it started can still be running
	loads       []messenger.Heartbeat      // of active members, sorted by member
	memberLoads []memberLoad               // loads summed by pool and by team, in the same order
}

// memberLoad is one member's load, summed by pool and by team.
type memberLoad struct {
	id      string
	slots   map[string]int // of the workers that the member owns, by pool
	running map[string]int // slots in use, by team
	wanted  map[string]int // slots of running and waiting tasks, by team
	largest map[string]int // slots of the largest waiting task, by team
}

func newMemberLoad(hb messenger.Heartbeat) memberLoad {
	m := memberLoad{
		id:      hb.From,
		slots:   make(map[string]int, len(hb.Pools)),
		running: make(map[string]int, len(hb.Teams)),
		wanted:  make(map[string]int, len(hb.Teams)),
		largest: make(map[string]int, len(hb.Teams)),
	}
	for _, p := range hb.Pools {
		m.slots[p.Pool] += p.Slots
	}
	for _, t := range hb.Teams {
		m.running[t.Team] += t.Running
		m.wanted[t.Team] += t.Running + t.Waiting
		m.largest[t.Team] = max(m.largest[t.Team], t.Largest)
	}
	return m
}

// withMissingAccounts returns the accounts plus an empty one for each team that
// has none, sorted by team.
func withMissingAccounts(rules *parser.Rules, accounts []Account) []Account {
	all := slices.Clone(accounts)
	for _, t := range rules.Teams {
		has := slices.ContainsFunc(accounts, func(a Account) bool { return a.Team == t.Name })
		if !has {
			all = append(all, Account{Team: t.Name})
		}
	}
	slices.SortFunc(all, func(a, b Account) int { return strings.Compare(a.Team, b.Team) })
	return all
}

// planAccount returns the account as it should be now. It reclaims the grants of
// departed members. Otherwise it changes limits and targets only, never the
// slots held by a member that may still run tasks. An account that was written
// with newer rules or a newer view is returned unchanged.
func (in planInput) planAccount(cur Account) Account {
	if in.isOutdated(cur) {
		return cur
	}
	next := cur.clone()
	if limit := in.teams[cur.Team].Limit; limit != cur.Limit {
		next.Limit = limit
		next.Rules = in.rules.Number
	}
	next.Grants = slices.DeleteFunc(next.Grants, func(g Grant) bool {
		return in.reclaimable[g.Member] || g.Held == 0 && !in.active[g.Member]
	})
	for i := range next.Grants {
		if !in.active[next.Grants[i].Member] {
			next.Grants[i].Target = 0
		}
	}
	members := in.memberDemands(next)
	targets := SplitLimit(cur.Team, next.Limit, members)
	if next.Held() > next.Limit {
		lowerTargets(next.Limit, members, targets)
	}
	for i, target := range targets {
		next.setTarget(members[i].Member, in.viewNumber, target)
	}
	return next.withLimitInForceUpdated()
}

// lowerTargets lowers targets after a limit has been lowered, until the members
// have released the excess slots. Members that still use more slots than their
// targets allow count with the slots they use, and the other members share what
// is left of the limit, so that they start no tasks beyond it.
func lowerTargets(limit int, members []MemberDemand, targets []int) {
	rest := limit
	var others []Demand
	for i, p := range members {
		if p.Running > targets[i] {
			rest -= p.Running
			continue
		}
		others = append(others, Demand{Team: p.Member, Weight: p.Slots, Limit: limit, Demand: targets[i]})
	}
	shares := Shares(rest, others)
	for i, p := range members {
		if p.Running <= targets[i] {
			targets[i] = shares[p.Member]
		}
	}
}

// isOutdated reports whether the account was written with newer rules or a
// newer view than those of the input.
func (in planInput) isOutdated(a Account) bool {
	newerView := func(g Grant) bool { return g.View > in.viewNumber }
	return a.Rules > in.rules.Number || slices.ContainsFunc(a.Grants, newerView)
}

// memberDemands returns the demands of the active members for the team of the
// account.
func (in planInput) memberDemands(a Account) []MemberDemand {
	members := make([]MemberDemand, len(in.memberLoads))
	for i, m := range in.memberLoads {
		mine, _ := a.Grant(m.id)
		members[i] = MemberDemand{
			Member:  m.id,
			Target:  mine.Target,
			Running: m.running[a.Team],
			Wanted:  m.wanted[a.Team],
			Largest: m.largest[a.Team],
		}
		for pool := range in.pools[a.Team] {
			members[i].Slots += m.slots[pool]
		}
	}
	return members
}

// setTarget sets the target of the member, and adds a grant when the member has
// none.
func (a *Account) setTarget(member string, view uint64, target int) {
	i, ok := a.findGrant(member)
	if ok {
		a.Grants[i].Target = target
		return
	}
	a.Grants = slices.Insert(a.Grants, i, Grant{Member: member, View: view, Target: target})
}

// activeLoads returns one heartbeat for each active member of the view, sorted
// by member. A member that has sent none gets an empty heartbeat.
func activeLoads(view registrar.View, heard []messenger.Heartbeat) []messenger.Heartbeat {
	var loads []messenger.Heartbeat
	for _, m := range view.Members {
		if m.State != registrar.Active {
			continue
		}
		i := slices.IndexFunc(heard, func(h messenger.Heartbeat) bool { return h.From == m.ID })
		if i < 0 {
			loads = append(loads, messenger.Heartbeat{From: m.ID})
			continue
		}
		loads = append(loads, heard[i])
	}
	slices.SortFunc(loads, func(a, b messenger.Heartbeat) int { return strings.Compare(a.From, b.From) })
	return loads
}

// poolsByTeam returns the set of pools that the queues of each team use.
func poolsByTeam(rules *parser.Rules) map[string]map[string]bool {
	pools := make(map[string]map[string]bool)
	for _, q := range rules.Queues {
		if pools[q.Team] == nil {
			pools[q.Team] = make(map[string]bool)
		}
		pools[q.Team][q.Pool] = true
	}
	return pools
}

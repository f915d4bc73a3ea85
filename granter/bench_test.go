package granter

import (
	"fmt"
	"testing"
	"time"

	"github.com/coltsfootlever/coltsfootlever/messenger"
	"github.com/coltsfootlever/coltsfootlever/parser"
	"github.com/coltsfootlever/coltsfootlever/registrar"
)

// fullFleet returns rules, view and loads of the size that the system is
// designed for: 270 teams, 77 pools of 1,100 workers with 8 slots, 7 members,
// and a tenth of the pools contended.
func fullFleet() (*parser.Rules, registrar.View, []messenger.Heartbeat) {
	const teams, pools, members, slots = 270, 77, 7, 16
	rules := &parser.Rules{Number: 1}
	view := registrar.View{Number: 1}
	loads := make([]messenger.Heartbeat, members)
	for p := range pools {
		rules.Pools = append(rules.Pools, parser.Pool{Name: fmt.Sprintf("pool-%02d", p)})
	}
	for m := range loads {
		loads[m].From = fmt.Sprintf("entry-%d.1", m)
		view.Members = append(view.Members, registrar.Member{ID: loads[m].From, State: registrar.Active})
		for _, p := range rules.Pools {
			loads[m].Pools = append(loads[m].Pools, messenger.PoolLoad{Pool: p.Name, Slots: slots})
		}
	}
	for i := range teams {
		team, pool := fmt.Sprintf("team-%03d", i), rules.Pools[i%pools].Name
		rules.Teams = append(rules.Teams, parser.Team{Name: team, Share: 1 + i%40, Limit: 120})
		rules.Queues = append(rules.Queues, parser.Queue{Name: "queue-" + team, Team: team, Pool: pool})
		for m := range loads {
			load := messenger.TeamLoad{Team: team, Pool: pool, Running: i % 4, Waiting: (i % pools / 70) * 20}
			loads[m].Teams = append(loads[m].Teams, load)
		}
	}
	return rules, view, loads
}

func BenchmarkComputeWeightsFullFleet(b *testing.B) {
	rules, _, loads := fullFleet()
	b.ReportAllocs()
	for b.Loop() {
		ComputeWeights(rules, loads)
	}
}

func BenchmarkPlanFullFleet(b *testing.B) {
	rules, view, loads := fullFleet()
	c := NewCoordinator(nil, nil, nil, nil,
		func() registrar.View { return view }, func() []messenger.Heartbeat { return loads })
	accounts := withMissingAccounts(rules, nil)
	s := c.newPlanInput(time.Now(), rules)
	for i := range accounts {
		accounts[i] = s.planAccount(accounts[i])
	}
	b.ReportAllocs()
	for b.Loop() {
		s := c.newPlanInput(time.Now(), rules)
		for _, a := range accounts {
			s.planAccount(a)
		}
	}
}

package granter

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/coltsfootlever/coltsfootlever/messenger"
	"github.com/coltsfootlever/coltsfootlever/parser"
)

func threeTeams() *parser.Rules {
	return &parser.Rules{
		Pools: []parser.Pool{{Name: "match"}},
		Teams: []parser.Team{
			{Name: "leads", Share: 2, Limit: 1000},
			{Name: "venues", Share: 1, Limit: 1000},
			{Name: "cleanup", Share: 1, Limit: 1000},
		},
	}
}

func heartbeat(member string, slots int, waiting map[string]int) messenger.Heartbeat {
	hb := messenger.Heartbeat{From: member, Pools: []messenger.PoolLoad{{Pool: "match", Slots: slots}}}
	for team, n := range waiting {
		hb.Teams = append(hb.Teams, messenger.TeamLoad{Team: team, Pool: "match", Waiting: n})
	}
	return hb
}

// Team leads has waiting tasks on one member only. With equal weights on all
// members it would get 6 slots there. The weights of the other teams are
// lowered until it gets its fair share of 12.
func TestComputeWeightsCompensatesForUnevenDemand(t *testing.T) {
	loads := []messenger.Heartbeat{
		heartbeat("a", 12, map[string]int{"leads": 90, "venues": 90, "cleanup": 90}),
		heartbeat("b", 12, map[string]int{"venues": 90, "cleanup": 90}),
	}
	w := ComputeWeights(threeTeams(), loads).ByTeam("match")
	require.Greater(t, w["leads"], 20*w["venues"])
	require.Equal(t, w["venues"], w["cleanup"])
	uncontended := []messenger.Heartbeat{heartbeat("a", 12, map[string]int{"leads": 3})}
	require.Empty(t, ComputeWeights(threeTeams(), uncontended).Pools)
}

func TestSharesFollowTheWeights(t *testing.T) {
	w := Weights{Pools: []PoolWeights{{Pool: "match", Teams: []TeamWeight{{Team: "leads", Weight: 0.5}, {Team: "venues", Weight: 1}}}}}
	demands := []Demand{{Team: "leads", Weight: 9, Limit: 99, Demand: 99}, {Team: "venues", Weight: 1, Limit: 99, Demand: 99}}
	require.Equal(t, map[string]int{"leads": 4, "venues": 8}, w.Shares("match", 12, demands))
	require.Equal(t, map[string]int{"leads": 11, "venues": 1}, w.Shares("score", 12, demands))
}

// With the computed weights, the slots of the teams differ no more from the
// cluster-wide shares than with the shares configured in the rules.
func TestComputeWeightsIsNoWorseThanConfiguredShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rules := threeTeams()
		var loads []messenger.Heartbeat
		for m := range 3 {
			waiting := map[string]int{}
			for _, team := range rules.Teams {
				waiting[team.Name] = rapid.IntRange(0, 40).Draw(t, "waiting")
			}
			loads = append(loads, heartbeat(fmt.Sprint(m), rapid.IntRange(1, 16).Draw(t, "slots"), waiting))
		}
		weights := ComputeWeights(rules, loads).ByTeam("match")
		if weights == nil {
			return
		}
		teams := map[string]parser.Team{}
		plain := map[string]float64{}
		for _, team := range rules.Teams {
			teams[team.Name] = team
			plain[team.Name] = float64(team.Share)
		}
		f := newWeightFit("match", teams, loads)
		fair := FairShares(f.totalSlots(), f.teams)
		require.LessOrEqual(t, maxDifference(fair, f.sharesAcrossMembers(weights)), maxDifference(fair, f.sharesAcrossMembers(plain))+0.1)
	})
}

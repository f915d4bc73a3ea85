package granter_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/granter"
)

func ExampleShares() {
	shares := granter.Shares(12, []granter.Demand{
		{Team: "leads", Weight: 2, Limit: 100, Demand: 50},
		{Team: "venues", Weight: 1, Limit: 100, Demand: 50},
		{Team: "cleanup", Weight: 1, Limit: 100, Demand: 1},
	})
	fmt.Println(shares["leads"], shares["venues"], shares["cleanup"])
	// Output: 7 4 1
}

func drawDemands(t *rapid.T) []granter.Demand {
	n := rapid.IntRange(0, 12).Draw(t, "teams")
	teams := make([]granter.Demand, n)
	for i := range teams {
		teams[i] = granter.Demand{
			Team:   fmt.Sprintf("team-%d", i),
			Weight: rapid.IntRange(0, 40).Draw(t, "weight"),
			Limit:  rapid.IntRange(0, 50).Draw(t, "limit"),
			Demand: rapid.IntRange(0, 50).Draw(t, "demand"),
		}
	}
	return teams
}

// A team that could use more slots must not have fewer slots per weight than
// any other team, apart from one slot of rounding.
func TestSharesAreWeightedMaxMin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		teams := drawDemands(t)
		capacity := rapid.IntRange(-1, 300).Draw(t, "capacity")
		shares := granter.Shares(capacity, teams)
		sum, usableSlots := 0, 0
		for _, d := range teams {
			sum += shares[d.Team]
			usableSlots += min(d.Limit, d.Demand)
			require.GreaterOrEqual(t, shares[d.Team], 0)
			require.LessOrEqual(t, shares[d.Team], min(d.Limit, d.Demand))
		}
		require.Equal(t, max(0, min(capacity, usableSlots)), sum)
		for _, poor := range teams {
			if shares[poor.Team] >= min(poor.Limit, poor.Demand) {
				continue
			}
			for _, rich := range teams {
				level := float64(shares[rich.Team]-1) / float64(max(1, rich.Weight))
				require.LessOrEqual(t, level, float64(shares[poor.Team]+1)/float64(max(1, poor.Weight)))
			}
		}
	})
}

func TestSharesDoNotDependOnOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		teams := drawDemands(t)
		capacity := rapid.IntRange(0, 300).Draw(t, "capacity")
		want := granter.Shares(capacity, teams)
		fair := granter.FairShares(capacity, teams)
		rand.Shuffle(len(teams), func(i, j int) { teams[i], teams[j] = teams[j], teams[i] })
		require.Equal(t, want, granter.Shares(capacity, teams))
		for team, n := range want {
			require.InDelta(t, fair[team], n, 1)
		}
	})
}

func TestSlotQuotaEnforcesCeiling(t *testing.T) {
	w := granter.NewSlotQuota(nil)
	require.False(t, w.Acquire("leads", 1))
	w.SetCeiling("leads", 5)
	require.True(t, w.Acquire("leads", 4))
	require.False(t, w.Acquire("leads", 2))
	require.Equal(t, 4, w.LowerCeiling("leads", 1), "the ceiling never falls below what is in use")
	require.Equal(t, 4, w.LowerCeiling("leads", 9), "lowering never raises")
	w.Release("leads", 3)
	require.Equal(t, 1, w.LowerCeiling("leads", 1))
	require.False(t, w.Acquire("leads", 1))
	require.Equal(t, map[string]int{"leads": 1}, w.Used())
	w.Release("leads", 1)
	require.Empty(t, w.Used())
	require.Panics(t, func() { w.Release("leads", 1) })
	w.SetGuard(func() error { return classifier.Refuse(classifier.Isolated, "paused") })
	require.False(t, w.Acquire("leads", 1))
}

func BenchmarkShares270Teams(b *testing.B) {
	teams := make([]granter.Demand, 270)
	for i := range teams {
		teams[i] = granter.Demand{Team: fmt.Sprintf("team-%03d", i), Weight: 1 + i%40, Limit: 120, Demand: 10 + i*7%90}
	}
	b.ReportAllocs()
	for b.Loop() {
		granter.Shares(8800, teams)
	}
}

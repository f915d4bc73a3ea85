package granter

import (
	"cmp"
	"slices"
)

// Demand is what one team asks of a capacity that it shares with others.
type Demand struct {
	Team   string // unique within one call
	Weight int    // relative share; values below 1 count as 1
	Limit  int    // most slots that the team may get
	Demand int    // slots that the team could use now
}

// Shares divides the capacity, in slots, by weighted max-min fairness: what a
// team cannot use flows to the others by weight. Each team gets at most the
// smaller of its limit and its demand. The sum is the smaller of the capacity
// and what all teams can use. Equal input gives equal output in any order.
func Shares(capacity int, teams []Demand) map[string]int {
	shares := make(map[string]int, len(teams))
	rest := allotSaturated(capacity, teams, func(d Demand) { shares[d.Team] = d.usable() })
	for team, n := range rest.apportion() {
		shares[team] = n
	}
	return shares
}

// FairShares is Shares without rounding, for weights rather than counts.
func FairShares(capacity int, teams []Demand) map[string]float64 {
	shares := make(map[string]float64, len(teams))
	rest := allotSaturated(capacity, teams, func(d Demand) { shares[d.Team] = float64(d.usable()) })
	for _, d := range rest.teams {
		shares[d.Team] = float64(rest.slots) * float64(d.weight()) / float64(rest.weight)
	}
	return shares
}

// remainder is the capacity that is left for the teams that can use more than
// their weight gives them.
type remainder struct {
	slots  int
	weight int
	teams  []Demand
}

// allotSaturated calls full for each team whose cap is within its share by weight,
// and returns what is left for the others.
func allotSaturated(capacity int, teams []Demand, onSaturated func(Demand)) remainder {
	sorted := slices.Clone(teams)
	slices.SortFunc(sorted, bySaturationLevel)
	rest := remainder{slots: max(0, capacity)}
	for _, d := range sorted {
		rest.weight += d.weight()
	}
	for i, d := range sorted {
		if d.usable()*rest.weight > rest.slots*d.weight() {
			rest.teams = sorted[i:]
			return rest
		}
		onSaturated(d)
		rest.slots -= d.usable()
		rest.weight -= d.weight()
	}
	return rest
}

// apportion rounds by the largest remainder, so that the sum is exact and no
// team is more than one slot off its fraction.
func (r remainder) apportion() map[string]int {
	shares := make(map[string]int, len(r.teams))
	if len(r.teams) == 0 {
		return shares
	}
	left := r.slots
	for _, d := range r.teams {
		n := r.slots * d.weight() / r.weight
		shares[d.Team] = n
		left -= n
	}
	order := slices.Clone(r.teams)
	slices.SortFunc(order, func(a, b Demand) int {
		byFraction := cmp.Compare(r.slots*b.weight()%r.weight, r.slots*a.weight()%r.weight)
		return cmp.Or(byFraction, cmp.Compare(a.Team, b.Team))
	})
	for _, d := range order[:left] {
		shares[d.Team]++
	}
	return shares
}

func (d Demand) usable() int {
	return max(0, min(d.Limit, d.Demand))
}

func (d Demand) weight() int {
	return max(1, d.Weight)
}

// bySaturationLevel orders teams by the fill level at which they are saturated.
func bySaturationLevel(a, b Demand) int {
	level := cmp.Compare(a.usable()*b.weight(), b.usable()*a.weight())
	return cmp.Or(level, cmp.Compare(a.Team, b.Team))
}

package granter

import (
	"cmp"
	"slices"
)

// Demand is one team's request for slots from a capacity that several teams
// share.
type Demand struct {
	Team   string // unique among the demands of one call
	Weight int    // relative share; values below 1 count as 1
	Limit  int    // maximum number of slots for the team
	Demand int    // slots that the team could use now
}

// Shares divides the capacity, in slots, among the teams by weighted max-min
// fairness: slots that a team cannot use go to the other teams in proportion to
// their weights. Each team gets at most the smaller of its limit and its
// demand. The sum of the shares is the smaller of the capacity and the slots
// that all teams together can use. The result does not depend on the order of
// teams.
func Shares(capacity int, teams []Demand) map[string]int {
	shares := make(map[string]int, len(teams))
	rest := allotSaturated(capacity, teams, func(d Demand) { shares[d.Team] = d.usableSlots() })
	for team, n := range rest.divideByWeight() {
		shares[team] = n
	}
	return shares
}

// FairShares computes the same division as Shares without rounding to whole
// slots. It is used to compute weights.
func FairShares(capacity int, teams []Demand) map[string]float64 {
	shares := make(map[string]float64, len(teams))
	rest := allotSaturated(capacity, teams, func(d Demand) { shares[d.Team] = float64(d.usableSlots()) })
	for _, d := range rest.teams {
		shares[d.Team] = float64(rest.slots) * float64(d.weight()) / float64(rest.weight)
	}
	return shares
}

// remainder is the capacity left for the teams that can use more than their
// weighted share, after all other teams got what they can use.
type remainder struct {
	slots  int
	weight int
	teams  []Demand
}

// allotSaturated calls onSaturated for each team that can use no more than its
// weighted share of the remaining capacity, and returns the capacity and teams
// that remain.
func allotSaturated(capacity int, teams []Demand, onSaturated func(Demand)) remainder {
	sorted := slices.Clone(teams)
	slices.SortFunc(sorted, compareBySaturationLevel)
	rest := remainder{slots: max(0, capacity)}
	for _, d := range sorted {
		rest.weight += d.weight()
	}
	for i, d := range sorted {
		if d.usableSlots()*rest.weight > rest.slots*d.weight() {
			rest.teams = sorted[i:]
			return rest
		}
		onSaturated(d)
		rest.slots -= d.usableSlots()
		rest.weight -= d.weight()
	}
	return rest
}

// divideByWeight divides the slots by weight and rounds by the largest-remainder
// method, so that the sum is exact and each team differs by less than one slot
// from its exact share.
func (r remainder) divideByWeight() map[string]int {
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

// usableSlots returns the number of slots that the team can use within its
// limit.
func (d Demand) usableSlots() int {
	return max(0, min(d.Limit, d.Demand))
}

func (d Demand) weight() int {
	return max(1, d.Weight)
}

// compareBySaturationLevel orders teams by the slots per unit of weight at
// which they need no more, ties by name.
func compareBySaturationLevel(a, b Demand) int {
	level := cmp.Compare(a.usableSlots()*b.weight(), b.usableSlots()*a.weight())
	return cmp.Or(level, cmp.Compare(a.Team, b.Team))
}

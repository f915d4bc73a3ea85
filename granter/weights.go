package granter

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/messenger"
	"github.com/coltsfootlever/coltsfootlever/parser"
)

const (
	maxFitRounds        = 24   // maximum number of rounds of weightFit
	maxCorrectionFactor = 4.0  // largest factor by which one round changes a weight
	fitToleranceSlots   = 0.05 // the fit ends when no team differs by more slots from its share
	minWeight           = 0.01
	maxWeight           = 1e6
	minRelativeChange   = 0.1 // relative change of a weight below which the stored weights are kept
	weightScale         = 100 // integer weight in Demand that stands for a weight of 1
)

type (
	// Weights are the weights of teams in contended pools. Each member uses
	// them for its own scheduling. A member sees only its own tasks and slots,
	// but with these weights all members together approximate the weighted
	// max-min shares of the whole cluster.
	Weights struct {
		Pools []PoolWeights `json:"pools"` // sorted by pool
	}

	// PoolWeights are the weights of the teams in one pool.
	PoolWeights struct {
		Pool  string       `json:"pool"`
		Teams []TeamWeight `json:"teams"` // sorted by team
	}

	// TeamWeight is the weight of one team in a pool.
	TeamWeight struct {
		Team   string  `json:"team"`
		Weight float64 `json:"weight"`
	}
)

// ByTeam returns the weights in the pool by team, or nil when the pool has
// none.
func (w Weights) ByTeam(pool string) map[string]float64 {
	i := slices.IndexFunc(w.Pools, func(p PoolWeights) bool { return p.Pool == pool })
	if i < 0 {
		return nil
	}
	weights := make(map[string]float64, len(w.Pools[i].Teams))
	for _, t := range w.Pools[i].Teams {
		weights[t.Team] = t.Weight
	}
	return weights
}

// Shares divides one member's slots of the pool in the same way as the member's
// own scheduling: by these weights if the pool has any, otherwise by the
// weights of the demands.
func (w Weights) Shares(pool string, slots int, demands []Demand) map[string]int {
	weights := w.ByTeam(pool)
	own := slices.Clone(demands)
	for i := range own {
		weight, ok := weights[own[i].Team]
		if !ok {
			weight = float64(own[i].weight())
		}
		own[i].Weight = int(math.Round(weight * weightScale))
	}
	return Shares(slots, own)
}

// isNear reports whether both have the same pools and teams, and no weight
// differs by more than minRelativeChange.
func (w Weights) isNear(v Weights) bool {
	return slices.EqualFunc(w.Pools, v.Pools, func(p, q PoolWeights) bool {
		return p.Pool == q.Pool && slices.EqualFunc(p.Teams, q.Teams, TeamWeight.isNear)
	})
}

func (t TeamWeight) isNear(u TeamWeight) bool {
	return t.Team == u.Team && math.Abs(t.Weight-u.Weight) <= minRelativeChange*u.Weight
}

// ComputeWeights computes the weights from the members' loads. Pools whose
// slots suffice for all wanted slots get no weights.
func ComputeWeights(rules *parser.Rules, loads []messenger.Heartbeat) Weights {
	teams := make(map[string]parser.Team, len(rules.Teams))
	for _, t := range rules.Teams {
		teams[t.Name] = t
	}
	var all Weights
	for _, p := range rules.Pools {
		f := newWeightFit(p.Name, teams, loads)
		if f.totalSlots() > 0 && f.totalUsable() > f.totalSlots() {
			all.Pools = append(all.Pools, f.fitWeights(p.Name))
		}
	}
	slices.SortFunc(all.Pools, func(a, b PoolWeights) int { return cmp.Compare(a.Pool, b.Pool) })
	return all
}

type (
	// weightFit searches for weights with which the shares computed by each
	// member add up to the cluster-wide shares.
	weightFit struct {
		members []fitMemberDemand
		teams   []Demand // cluster-wide demands, sorted by team
	}

	// fitMemberDemand is one member's slots in the pool and the slots wanted
	// there.
	fitMemberDemand struct {
		slots  int
		wanted map[string]int // slots of running and waiting tasks, by team
	}
)

func newWeightFit(pool string, teams map[string]parser.Team, loads []messenger.Heartbeat) weightFit {
	var f weightFit
	total := make(map[string]int)
	for _, load := range loads {
		m := fitMemberDemand{wanted: make(map[string]int)}
		for _, p := range load.Pools {
			if p.Pool == pool {
				m.slots += p.Slots
			}
		}
		for _, t := range load.Teams {
			if t.Pool == pool {
				m.wanted[t.Team] += t.Running + t.Waiting
				total[t.Team] += t.Running + t.Waiting
			}
		}
		f.members = append(f.members, m)
	}
	for _, name := range slices.Sorted(maps.Keys(total)) {
		t := teams[name]
		f.teams = append(f.teams, Demand{Team: name, Weight: t.Share, Limit: t.Limit, Demand: total[name]})
	}
	return f
}

func (f weightFit) totalSlots() int {
	sum := 0
	for _, m := range f.members {
		sum += m.slots
	}
	return sum
}

// totalUsable returns the slots that all teams together can use within their
// limits.
func (f weightFit) totalUsable() int {
	sum := 0
	for _, d := range f.teams {
		sum += d.usableSlots()
	}
	return sum
}

// fitWeights computes the weights iteratively: it raises the weights of teams
// that would get less than their share and lowers the others. Some shares
// cannot be reached, when the tasks of a team wait at members with too few
// slots. The weights returned are then those that came closest.
func (f weightFit) fitWeights(pool string) PoolWeights {
	fair := FairShares(f.totalSlots(), f.teams)
	weights := make(map[string]float64, len(f.teams))
	for _, d := range f.teams {
		weights[d.Team] = float64(d.weight())
	}
	best, least := weights, math.Inf(1)
	for range maxFitRounds {
		got := f.sharesAcrossMembers(weights)
		if d := maxDifference(fair, got); d < least {
			best, least = maps.Clone(weights), d
		}
		if least < fitToleranceSlots {
			break
		}
		correctWeights(weights, fair, got)
	}
	out := PoolWeights{Pool: pool}
	for _, d := range f.teams {
		out.Teams = append(out.Teams, TeamWeight{Team: d.Team, Weight: roundToThreeDigits(best[d.Team])})
	}
	return out
}

// roundToThreeDigits rounds to three significant digits, which keeps the stored
// records small.
func roundToThreeDigits(x float64) float64 {
	scale := math.Pow(10, 2-math.Floor(math.Log10(x)))
	return math.Round(x*scale) / scale
}

// sharesAcrossMembers returns the slots that each team gets from all members
// together with the given weights.
func (f weightFit) sharesAcrossMembers(weights map[string]float64) map[string]float64 {
	got := make(map[string]float64, len(weights))
	for _, m := range f.members {
		m.addMemberShares(weights, got)
	}
	return got
}

// maxDifference returns the largest difference between both shares of a team,
// in slots.
func maxDifference(fair, got map[string]float64) float64 {
	worst := 0.0
	for team, n := range fair {
		worst = max(worst, math.Abs(got[team]-n))
	}
	return worst
}

// correctWeights multiplies each weight by the ratio of the fair share to the
// slots that the team got, within maxCorrectionFactor.
func correctWeights(weights, fair, got map[string]float64) {
	for team, n := range fair {
		if n <= 0 || got[team] <= 0 {
			continue
		}
		factor := min(maxCorrectionFactor, max(1/maxCorrectionFactor, n/got[team]))
		weights[team] = min(maxWeight, max(minWeight, weights[team]*factor))
	}
}

// addMemberShares adds to got each team's weighted max-min share of the member's
// slots.
func (m fitMemberDemand) addMemberShares(weights, got map[string]float64) {
	teams := slices.Sorted(maps.Keys(m.wanted))
	level := func(team string) float64 { return float64(m.wanted[team]) / weights[team] }
	slices.SortStableFunc(teams, func(a, b string) int { return cmp.Compare(level(a), level(b)) })
	left, weight := float64(m.slots), 0.0
	for _, team := range teams {
		weight += weights[team]
	}
	for _, team := range teams {
		n := min(float64(m.wanted[team]), left*weights[team]/weight)
		got[team] += n
		left -= n
		weight -= weights[team]
	}
}

// handleWeights passes the weights to onWeights unless newer ones have already
// been passed.
func (g *Granter) handleWeights(ev keeper.Event) {
	weights, err := keeper.Decode[Weights](ev.Record)
	if err != nil {
		g.log.Error("ledger record of the weights cannot be decoded; keeping the last known weights", "err", err)
		return
	}
	g.mu.Lock()
	newer := ev.Revision > g.weightsRevision
	g.weightsRevision = max(g.weightsRevision, ev.Revision)
	g.mu.Unlock()
	if newer {
		g.onWeights(weights)
	}
}

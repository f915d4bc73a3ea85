package granter

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
)

// slackKept is the part of a member's even slack, as 1 in slackKept, that a
// member must have left before targets are computed anew.
const slackKept = 2

// tolerance is the part of a contended target, as 1 in tolerance, by which it
// may differ from the ideal before targets are computed anew.
const tolerance = 8

// Part is one member's part in the split of a team's limit.
type Part struct {
	Member  string
	Slots   int // slots that the member owns in the pools of the team
	Running int // slots that the team uses there
	Want    int // slots that the team could use there now, those included
	Largest int // slots of the largest task that waits there
	Target  int // target in force; 0 for a new member
}

// Split divides the limit over the members and returns their targets in the
// order of parts. All of the limit is handed out. Each member gets what it
// wants, and the rest is spread by owned slots, so that a team can start
// anywhere; when the members want more than the limit, it is divided among
// them by weighted max-min, such that the largest waiting task fits one of
// them. Targets in force stay while they serve the wants,
// so that the ledger changes seldom.
func Split(team string, limit int, parts []Part) []int {
	if len(parts) == 0 {
		return nil
	}
	wants := make([]int, len(parts))
	sum := 0
	for i, p := range parts {
		wants[i] = max(0, min(p.Want, p.Slots))
		sum += wants[i]
	}
	if sum > limit {
		return splitScarce(team, limit, parts, wants)
	}
	slack := spread(team, limit-sum, parts)
	if slackServes(limit, parts, wants, slack) {
		return targets(parts)
	}
	for i := range slack {
		slack[i] += wants[i]
	}
	return slack
}

func splitScarce(team string, limit int, parts []Part, wants []int) []int {
	demands := make([]Demand, len(parts))
	for i, p := range parts {
		demands[i] = Demand{Team: p.Member, Weight: p.Slots, Limit: limit, Demand: wants[i]}
	}
	ideal := divide(limit, parts, demands)
	large := largestWaiting(limit, parts)
	if slices.Max(ideal) < large {
		ideal = concentrate(team, limit, large, parts, demands)
	}
	if isNear(limit, parts, ideal) && slices.Max(targets(parts)) >= large {
		return targets(parts)
	}
	return ideal
}

// divide returns the shares of limit in the order of parts.
func divide(limit int, parts []Part, demands []Demand) []int {
	shares := Shares(limit, demands)
	out := make([]int, len(parts))
	for i, p := range parts {
		out[i] = shares[p.Member]
	}
	return out
}

// largestWaiting returns the slots of the largest waiting task that the limit
// and its member's slots permit.
func largestWaiting(limit int, parts []Part) int {
	large := 0
	for _, p := range parts {
		if p.Largest <= min(limit, p.Slots) {
			large = max(large, p.Largest)
		}
	}
	return large
}

// concentrate gives one member room for the largest waiting task, and divides
// the rest mainly among the others. A member that has the room keeps it.
func concentrate(team string, limit, large int, parts []Part, demands []Demand) []int {
	chosen, best := -1, 0.0
	for i, p := range parts {
		score := uniform(team, p.Member)
		if p.Target >= large {
			score++
		}
		if p.Largest == large && (chosen < 0 || score > best) {
			chosen, best = i, score
		}
	}
	demands[chosen].Demand = max(0, demands[chosen].Demand-large)
	demands[chosen].Weight = 1 // the others come first
	ideal := divide(limit-large, parts, demands)
	ideal[chosen] += large
	return ideal
}

func isNear(limit int, parts []Part, ideal []int) bool {
	for i, p := range parts {
		if max(ideal[i]-p.Target, p.Target-ideal[i]) > max(1, ideal[i]/tolerance) {
			return false
		}
	}
	return sumTargets(parts) == limit
}

// slackServes reports whether the targets in force cover all wants and leave
// each member a fair part of the slack.
func slackServes(limit int, parts []Part, wants, slack []int) bool {
	if sumTargets(parts) != limit {
		return false
	}
	for i, p := range parts {
		if p.Target < wants[i]+slack[i]/slackKept {
			return false
		}
	}
	return true
}

// spread divides n by owned slots. What rounding leaves goes to members by
// weighted rendezvous hashing with the team, so that the few slots of many
// small teams do not all sit with the same member.
func spread(team string, n int, parts []Part) []int {
	owned := 0
	for _, p := range parts {
		owned += p.Slots
	}
	out := make([]int, len(parts))
	scores := make([]float64, len(parts))
	left := n
	for i, p := range parts {
		weight, total := p.Slots, owned
		if owned == 0 {
			weight, total = 1, len(parts)
		}
		out[i] = n * weight / total
		left -= out[i]
		fraction := float64(n*weight%total) / float64(total)
		scores[i] = fraction / -math.Log(uniform(team, p.Member))
	}
	order := make([]int, len(parts))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(scores[b], scores[a]), cmp.Compare(parts[a].Member, parts[b].Member))
	})
	for _, i := range order[:left] {
		out[i]++
	}
	return out
}

// uniform hashes to a number above 0 and below 1.
func uniform(team, member string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(team + "\x00" + member)) // never fails
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return (float64(x>>11) + 0.5) / (1 << 53)
}

func targets(parts []Part) []int {
	out := make([]int, len(parts))
	for i, p := range parts {
		out[i] = p.Target
	}
	return out
}

func sumTargets(parts []Part) int {
	sum := 0
	for _, p := range parts {
		sum += p.Target
	}
	return sum
}

package granter

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
)

// keptSlackDivisor is the part of a member's even slack, as 1 in keptSlackDivisor, that a
// member must have left before targets are computed anew.
const keptSlackDivisor = 2

// toleranceDivisor is the part of a contended target, as 1 in toleranceDivisor, by which it
// may differ from the ideal before targets are computed anew.
const toleranceDivisor = 8

// MemberDemand is one member's part in the split of a team's limit.
type MemberDemand struct {
	Member  string
	Slots   int // slots that the member owns in the pools of the team
	Running int // slots that the team uses there
	Wanted  int // slots that the team could use there now, those included
	Largest int // slots of the largest task that waits there
	Target  int // target in force; 0 for a new member
}

// SplitLimit divides the limit over the members and returns their targets in the
// order of members. All of the limit is handed out. Each member gets what it
// wants, and the rest is spread by owned slots, so that a team can start
// anywhere; when the members want more than the limit, it is divided among
// them by weighted max-min, such that the largest waiting task fits one of
// them. Targets in force stay while they serve the wants,
// so that the ledger changes seldom.
func SplitLimit(team string, limit int, members []MemberDemand) []int {
	if len(members) == 0 {
		return nil
	}
	wants := make([]int, len(members))
	sum := 0
	for i, p := range members {
		wants[i] = max(0, min(p.Wanted, p.Slots))
		sum += wants[i]
	}
	if sum > limit {
		return splitContended(team, limit, members, wants)
	}
	slack := distributeByOwnedSlots(team, limit-sum, members)
	if targetsCoverWanted(limit, members, wants, slack) {
		return currentTargets(members)
	}
	for i := range slack {
		slack[i] += wants[i]
	}
	return slack
}

func splitContended(team string, limit int, members []MemberDemand, wants []int) []int {
	demands := make([]Demand, len(members))
	for i, p := range members {
		demands[i] = Demand{Team: p.Member, Weight: p.Slots, Limit: limit, Demand: wants[i]}
	}
	ideal := sharesByMember(limit, members, demands)
	large := largestFittingTask(limit, members)
	if slices.Max(ideal) < large {
		ideal = reserveForLargest(team, limit, large, members, demands)
	}
	if targetsNearIdeal(limit, members, ideal) && slices.Max(currentTargets(members)) >= large {
		return currentTargets(members)
	}
	return ideal
}

// sharesByMember returns the shares of limit in the order of members.
func sharesByMember(limit int, members []MemberDemand, demands []Demand) []int {
	shares := Shares(limit, demands)
	out := make([]int, len(members))
	for i, p := range members {
		out[i] = shares[p.Member]
	}
	return out
}

// largestFittingTask returns the slots of the largest waiting task that the limit
// and its member's slots permit.
func largestFittingTask(limit int, members []MemberDemand) int {
	large := 0
	for _, p := range members {
		if p.Largest <= min(limit, p.Slots) {
			large = max(large, p.Largest)
		}
	}
	return large
}

// reserveForLargest gives one member room for the largest waiting task, and divides
// the rest mainly among the others. A member that has the room keeps it.
func reserveForLargest(team string, limit, large int, members []MemberDemand, demands []Demand) []int {
	chosen, best := -1, 0.0
	for i, p := range members {
		score := hashFraction(team, p.Member)
		if p.Target >= large {
			score++
		}
		if p.Largest == large && (chosen < 0 || score > best) {
			chosen, best = i, score
		}
	}
	demands[chosen].Demand = max(0, demands[chosen].Demand-large)
	demands[chosen].Weight = 1 // the others come first
	ideal := sharesByMember(limit-large, members, demands)
	ideal[chosen] += large
	return ideal
}

func targetsNearIdeal(limit int, members []MemberDemand, ideal []int) bool {
	for i, p := range members {
		if max(ideal[i]-p.Target, p.Target-ideal[i]) > max(1, ideal[i]/toleranceDivisor) {
			return false
		}
	}
	return sumTargets(members) == limit
}

// targetsCoverWanted reports whether the targets in force cover all wants and leave
// each member a fair part of the slack.
func targetsCoverWanted(limit int, members []MemberDemand, wants, slack []int) bool {
	if sumTargets(members) != limit {
		return false
	}
	for i, p := range members {
		if p.Target < wants[i]+slack[i]/keptSlackDivisor {
			return false
		}
	}
	return true
}

// distributeByOwnedSlots divides n by owned slots. What rounding leaves goes to members by
// weighted rendezvous hashing with the team, so that the few slots of many
// small teams do not all sit with the same member.
func distributeByOwnedSlots(team string, n int, members []MemberDemand) []int {
	owned := 0
	for _, p := range members {
		owned += p.Slots
	}
	out := make([]int, len(members))
	scores := make([]float64, len(members))
	left := n
	for i, p := range members {
		weight, total := p.Slots, owned
		if owned == 0 {
			weight, total = 1, len(members)
		}
		out[i] = n * weight / total
		left -= out[i]
		fraction := float64(n*weight%total) / float64(total)
		scores[i] = fraction / -math.Log(hashFraction(team, p.Member))
	}
	order := make([]int, len(members))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(scores[b], scores[a]), cmp.Compare(members[a].Member, members[b].Member))
	})
	for _, i := range order[:left] {
		out[i]++
	}
	return out
}

// hashFraction hashes to a number above 0 and below 1.
func hashFraction(team, member string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(team + "\x00" + member)) // never fails
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return (float64(x>>11) + 0.5) / (1 << 53)
}

func currentTargets(members []MemberDemand) []int {
	out := make([]int, len(members))
	for i, p := range members {
		out[i] = p.Target
	}
	return out
}

func sumTargets(members []MemberDemand) int {
	sum := 0
	for _, p := range members {
		sum += p.Target
	}
	return sum
}

package granter

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
)

// keptSlackDivisor sets when targets are recomputed although they cover the
// wanted slots. The slack is the part of the limit that no member wanted. Targets
// are recomputed when they leave a member less than 1/keptSlackDivisor of the
// slack that an even distribution would give it.
const keptSlackDivisor = 2

// toleranceDivisor sets how far a target may differ from the ideal while
// members want more than the limit: by 1/toleranceDivisor of the ideal, and at
// least by one slot. Beyond that, targets are recomputed.
const toleranceDivisor = 8

// MemberDemand is what one member needs of the limit of a team, as input of
// SplitLimit.
type MemberDemand struct {
	Member  string
	Slots   int // slots of the workers that the member owns in the team's pools
	Running int // slots that the team uses on this member
	Wanted  int // slots of running and waiting tasks of the team on this member
	Largest int // slots of the largest task that waits on this member
	Target  int // current target; 0 for a new member
}

// SplitLimit divides the limit of a team among the members and returns their
// targets in the order of members. The targets always add up to the limit. Each
// member gets the slots that it wanted, and the rest is distributed in
// proportion to the slots of its workers, so that the team can start tasks on
// any member. When the members want more than the limit, it is divided by
// weighted max-min fairness, such that one member gets enough for the largest
// waiting task. Current targets are kept while they are good enough, so that
// the ledger is seldom written.
func SplitLimit(team string, limit int, members []MemberDemand) []int {
	if len(members) == 0 {
		return nil
	}
	wanted := make([]int, len(members))
	sum := 0
	for i, p := range members {
		wanted[i] = max(0, min(p.Wanted, p.Slots))
		sum += wanted[i]
	}
	if sum > limit {
		return splitContended(team, limit, members, wanted)
	}
	slack := distributeByOwnedSlots(team, limit-sum, members)
	if targetsCoverWanted(limit, members, wanted, slack) {
		return currentTargets(members)
	}
	for i := range slack {
		slack[i] += wanted[i]
	}
	return slack
}

// splitContended divides a limit of which the members want more than there is.
func splitContended(team string, limit int, members []MemberDemand, wanted []int) []int {
	demands := make([]Demand, len(members))
	for i, p := range members {
		demands[i] = Demand{Team: p.Member, Weight: p.Slots, Limit: limit, Demand: wanted[i]}
	}
	ideal := sharesInMemberOrder(limit, members, demands)
	large := largestFittingTask(limit, members)
	if slices.Max(ideal) < large {
		ideal = reserveForLargest(team, limit, large, members, demands)
	}
	if targetsNearIdeal(limit, members, ideal) && slices.Max(currentTargets(members)) >= large {
		return currentTargets(members)
	}
	return ideal
}

// sharesInMemberOrder returns the shares of the limit in the order of members.
func sharesInMemberOrder(limit int, members []MemberDemand, demands []Demand) []int {
	shares := Shares(limit, demands)
	out := make([]int, len(members))
	for i, p := range members {
		out[i] = shares[p.Member]
	}
	return out
}

// largestFittingTask returns the slots of the largest waiting task that fits
// into the limit and into the slots of the member where it waits.
func largestFittingTask(limit int, members []MemberDemand) int {
	large := 0
	for _, p := range members {
		if p.Largest <= min(limit, p.Slots) {
			large = max(large, p.Largest)
		}
	}
	return large
}

// reserveForLargest gives one member enough slots for the largest waiting task,
// and divides the rest mainly among the other members. A member whose current
// target is already large enough is chosen again.
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
	demands[chosen].Weight = 1 // the other members get the rest first
	ideal := sharesInMemberOrder(limit-large, members, demands)
	ideal[chosen] += large
	return ideal
}

// targetsNearIdeal reports whether the current targets add up to the limit and
// each is within tolerance of the ideal.
func targetsNearIdeal(limit int, members []MemberDemand, ideal []int) bool {
	for i, p := range members {
		if max(ideal[i]-p.Target, p.Target-ideal[i]) > max(1, ideal[i]/toleranceDivisor) {
			return false
		}
	}
	return sumTargets(members) == limit
}

// targetsCoverWanted reports whether the current targets add up to the limit,
// cover the wanted slots, and leave each member enough slack (see
// keptSlackDivisor).
func targetsCoverWanted(limit int, members []MemberDemand, wanted, slack []int) bool {
	if sumTargets(members) != limit {
		return false
	}
	for i, p := range members {
		if p.Target < wanted[i]+slack[i]/keptSlackDivisor {
			return false
		}
	}
	return true
}

// distributeByOwnedSlots divides n in proportion to the slots of the members'
// workers. Slots left over by rounding are assigned by weighted rendezvous
// hashing with the name of the team, so that the few slots of many small teams
// do not all go to the same member.
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

// hashFraction hashes the two names to a number between 0 and 1, both excluded.
func hashFraction(team, member string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(team + "\x00" + member)) // hash.Hash never returns an error
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

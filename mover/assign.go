package mover

import (
	"cmp"
	"slices"
)

type (
	// Candidate is a cluster member that may own instances.
	Candidate struct {
		ID   string
		Zone string
	}

	// assignment is the state of one computation by Assign.
	assignment struct {
		candidates    []Candidate
		owners        map[string]string // owner by instance ID
		instanceCount map[string]int    // number of instances assigned so far, by candidate ID
	}
)

// Assign returns the member that should own each instance, by instance ID. In
// every pool the numbers of instances of any two candidates differ by at most
// one. The owners of a pool with fewer instances than candidates are in as many
// zones as possible. An instance keeps its owner where that is possible. The
// result depends only on the arguments.
func Assign(instances []Instance, candidates []Candidate) map[string]string {
	a := assignment{
		candidates:    slices.Clone(candidates),
		owners:        map[string]string{},
		instanceCount: map[string]int{},
	}
	if len(candidates) == 0 {
		return a.owners
	}
	slices.SortFunc(a.candidates, func(x, y Candidate) int { return cmp.Compare(x.ID, y.ID) })
	pools := map[string][]Instance{}
	for _, i := range instances {
		pools[i.Pool] = append(pools[i.Pool], i)
	}
	names := make([]string, 0, len(pools))
	for name := range pools {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		a.assignPool(pools[name])
	}
	return a.owners
}

// assignPool assigns the instances of one pool.
func (a *assignment) assignPool(instances []Instance) {
	slices.SortFunc(instances, func(x, y Instance) int { return cmp.Compare(x.ID, y.ID) })
	quota := a.quotas(instances)
	var rest []Instance
	for _, i := range instances {
		if quota[i.Owner] > 0 {
			a.assignTo(i.ID, i.Owner, quota)
		} else {
			rest = append(rest, i)
		}
	}
	for _, i := range rest {
		a.assignTo(i.ID, a.pickCandidatePreferringZone(i, quota), quota)
	}
}

func (a *assignment) assignTo(id, owner string, quota map[string]int) {
	a.owners[id] = owner
	a.instanceCount[owner]++
	quota[owner]--
}

// quotas returns how many of a pool's instances each candidate gets, by
// candidate ID.
func (a *assignment) quotas(instances []Instance) map[string]int {
	base := len(instances) / len(a.candidates)
	extra := len(instances) % len(a.candidates)
	held := map[string]int{}
	for _, i := range instances {
		held[i.Owner]++
	}
	quota := map[string]int{}
	covered := map[string]bool{}
	for _, c := range a.candidates {
		quota[c.ID] = base
		covered[c.Zone] = base > 0
	}
	for range extra {
		c := a.pickCandidateForExtraInstance(quota, base, held, covered)
		quota[c.ID]++
		covered[c.Zone] = true
	}
	return quota
}

// pickCandidateForExtraInstance returns the candidate that gets one instance
// more than base. It prefers, in this order, a candidate in a zone without
// an owner in this pool, a candidate that owns at most one instance more
// over all pools than the one that owns fewest, and a candidate that owns
// more than base instances of this pool already.
func (a *assignment) pickCandidateForExtraInstance(quota map[string]int, base int, held map[string]int, covered map[string]bool) Candidate {
	var free []Candidate
	for _, c := range a.candidates {
		if quota[c.ID] == base {
			free = append(free, c)
		}
	}
	least := a.instanceCount[free[0].ID]
	for _, c := range free {
		least = min(least, a.instanceCount[c.ID])
	}
	rank := func(c Candidate) int {
		score := 0
		if covered[c.Zone] {
			score += 4
		}
		if a.instanceCount[c.ID] > least+1 {
			score += 2
		}
		if held[c.ID] <= base {
			score++
		}
		return score
	}
	return slices.MinFunc(free, func(x, y Candidate) int {
		return cmp.Or(cmp.Compare(rank(x), rank(y)), cmp.Compare(a.instanceCount[x.ID], a.instanceCount[y.ID]), cmp.Compare(x.ID, y.ID))
	})
}

// pickCandidatePreferringZone returns the ID of a candidate with quota left,
// if possible in the zone of the instance.
func (a *assignment) pickCandidatePreferringZone(i Instance, quota map[string]int) string {
	var free []Candidate
	for _, c := range a.candidates {
		if quota[c.ID] > 0 {
			free = append(free, c)
		}
	}
	zoneRank := func(c Candidate) int {
		if c.Zone == i.Zone {
			return 0
		}
		return 1
	}
	best := slices.MinFunc(free, func(x, y Candidate) int {
		return cmp.Or(cmp.Compare(zoneRank(x), zoneRank(y)), cmp.Compare(a.instanceCount[x.ID], a.instanceCount[y.ID]), cmp.Compare(x.ID, y.ID))
	})
	return best.ID
}

package scheduler

import (
	"cmp"
	"maps"
	"slices"
)

// Measures that take slots back from running work.
const (
	Checkpoint Measure = "checkpoint" // stop with progress saved, resume later
	Throttle   Measure = "throttle"   // go on with half the slots
)

type (
	// RunningTask is one running task as Victims sees it.
	RunningTask struct {
		Task           string
		Team           string
		Class          Class
		Worker         string
		Slots          int
		Idempotent     bool
		AlreadyReduced bool // a measure has been taken already
	}

	// SlotNeed is what waits for slots.
	SlotNeed struct {
		Team  string
		Slots int            // on one worker
		Free  map[string]int // free slots by worker that takes work
	}

	// Victim is one running task and the measure to take.
	Victim struct {
		Task       string
		Worker     string
		Measure    Measure
		FreedSlots int // slots
	}

	// Measure takes slots back from a running task.
	Measure string

	// victimCandidate is a running task from which slots may be taken.
	victimCandidate struct {
		RunningTask
		measure    Measure
		freedSlots int
	}

	// preemptionPlan is a way to meet the need on one worker.
	preemptionPlan struct {
		worker  string
		victims []Victim
		cost    [4]int // compared in order; smaller is better
	}
)

// ChooseVictims chooses running tasks of one worker whose slots make room for urgent
// work. It takes slots from the teams furthest above their shares, never
// below these, and from background work of the needy team itself. It prefers
// checkpoints to throttling and background to urgent work. Work that is not
// idempotent is only ever throttled. It returns nil when there is no way, also
// when the needy team would come above its own share at others' expense.
func ChooseVictims(running []RunningTask, shares map[string]int, need SlotNeed) []Victim {
	excess := make(map[string]int)
	workers := make(map[string][]victimCandidate)
	for _, r := range running {
		excess[r.Team] += r.Slots
		if c, ok := candidateOf(r, need.Team); ok {
			workers[r.Worker] = append(workers[r.Worker], c)
		}
	}
	for team, share := range shares {
		excess[team] -= share
	}
	var best *preemptionPlan
	for _, worker := range slices.Sorted(maps.Keys(workers)) {
		free, open := need.Free[worker]
		if !open {
			continue
		}
		s, ok := planPreemption(worker, workers[worker], maps.Clone(excess), need, need.Slots-free)
		if ok && (best == nil || slices.Compare(s.cost[:], best.cost[:]) < 0) {
			best = &s
		}
	}
	if best == nil {
		return nil
	}
	return best.victims
}

// candidateOf returns the measure that could be taken on r, if any.
func candidateOf(r RunningTask, needyTeam string) (victimCandidate, bool) {
	if r.AlreadyReduced || r.Team == needyTeam && r.Class == Urgent {
		return victimCandidate{}, false
	}
	if r.Idempotent {
		return victimCandidate{RunningTask: r, measure: Checkpoint, freedSlots: r.Slots}, true
	}
	return victimCandidate{RunningTask: r, measure: Throttle, freedSlots: r.Slots / 2}, r.Slots > 1
}

// planPreemption takes candidates of one worker, the fittest first, until the missing
// slots are met. excess is the slots of each team above its share.
func planPreemption(worker string, candidates []victimCandidate, excess map[string]int, need SlotNeed, missing int) (preemptionPlan, bool) {
	s := preemptionPlan{worker: worker}
	slices.SortFunc(candidates, func(a, b victimCandidate) int {
		return cmp.Or(
			cmp.Compare(a.costRank(), b.costRank()),
			cmp.Compare(excess[b.Team], excess[a.Team]),
			cmp.Compare(b.freedSlots, a.freedSlots),
			cmp.Compare(a.Task, b.Task),
		)
	})
	mayTakeFromOthers := excess[need.Team]+need.Slots <= 0
	for _, c := range candidates {
		if missing <= 0 {
			break
		}
		own := c.Team == need.Team
		if !own && (!mayTakeFromOthers || excess[c.Team] < c.freedSlots) {
			continue
		}
		s.cost[0] = max(s.cost[0], c.costRank())
		s.cost[1] -= excess[c.Team]
		excess[c.Team] -= c.freedSlots
		missing -= c.freedSlots
		s.victims = append(s.victims, Victim{Task: c.Task, Worker: worker, Measure: c.measure, FreedSlots: c.freedSlots})
	}
	if len(s.victims) > 0 {
		s.cost[1] /= len(s.victims)
	}
	s.cost[2] = len(s.victims)
	s.cost[3] = -missing
	return s, missing <= 0 && len(s.victims) > 0
}

// costRank orders measures by what they cost the team.
func (c victimCandidate) costRank() int {
	rank := 0
	if c.measure == Throttle {
		rank = 2
	}
	if c.Class == Urgent {
		rank++
	}
	return rank
}

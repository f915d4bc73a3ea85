package scheduler

import (
	"cmp"
	"maps"
	"slices"
)

// Measures that free slots of running tasks.
const (
	Checkpoint Measure = "checkpoint" // save the progress and stop; resume later
	Throttle   Measure = "throttle"   // continue with half the slots
)

type (
	// RunningTask describes one running task to ChooseVictims.
	RunningTask struct {
		Task           string
		Team           string
		Class          Class
		Worker         string
		Slots          int
		Idempotent     bool
		AlreadyReduced bool // a measure has already been applied to the task, or the task is being stopped
	}

	// SlotNeed is the need of a waiting urgent task for slots.
	SlotNeed struct {
		Team  string
		Slots int            // slots needed on one worker
		Free  map[string]int // free slots by worker, for the workers that accept tasks
	}

	// Victim is one running task and the measure to apply to it.
	Victim struct {
		Task       string
		Worker     string
		Measure    Measure
		FreedSlots int // number of slots that the measure frees
	}

	// Measure is a way to free slots of a running task.
	Measure string

	// victimCandidate is a running task whose slots may be freed.
	victimCandidate struct {
		RunningTask
		measure    Measure
		freedSlots int
	}

	// preemptionPlan is a choice of victims on one worker that frees enough
	// slots.
	preemptionPlan struct {
		worker  string
		victims []Victim
		cost    [4]int // compared element by element; smaller is better
	}
)

// ChooseVictims chooses running tasks on one worker whose slots are to be freed
// for an urgent task. It takes slots from the teams furthest above their
// shares, never below the share, and from background tasks of the team in need
// itself. It prefers checkpoints to throttling, and background tasks to urgent
// ones. Tasks that are not idempotent are only throttled. It returns nil when
// there is no such choice, which includes the case that the team in need would
// exceed its own share at the expense of other teams.
func ChooseVictims(running []RunningTask, shares map[string]int, need SlotNeed) []Victim {
	excess := make(map[string]int)
	workers := make(map[string][]victimCandidate)
	for _, r := range running {
		excess[r.Team] += r.Slots
		if c, ok := victimCandidateOf(r, need.Team); ok {
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
		plan, ok := planPreemption(worker, workers[worker], maps.Clone(excess), need, need.Slots-free)
		if ok && (best == nil || slices.Compare(plan.cost[:], best.cost[:]) < 0) {
			best = &plan
		}
	}
	if best == nil {
		return nil
	}
	return best.victims
}

// victimCandidateOf returns r with the measure that can be applied to it. It
// returns false when there is none.
func victimCandidateOf(r RunningTask, needyTeam string) (victimCandidate, bool) {
	if r.AlreadyReduced || r.Team == needyTeam && r.Class == Urgent {
		return victimCandidate{}, false
	}
	if r.Idempotent {
		return victimCandidate{RunningTask: r, measure: Checkpoint, freedSlots: r.Slots}, true
	}
	return victimCandidate{RunningTask: r, measure: Throttle, freedSlots: r.Slots / 2}, r.Slots > 1
}

// planPreemption selects candidates on one worker, in order of preference,
// until they free the missing slots. excess is the number of slots by which
// each team exceeds its share. It returns false when the candidates don't
// suffice.
func planPreemption(worker string, candidates []victimCandidate, excess map[string]int, need SlotNeed, missing int) (preemptionPlan, bool) {
	plan := preemptionPlan{worker: worker}
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
		plan.cost[0] = max(plan.cost[0], c.costRank())
		plan.cost[1] -= excess[c.Team]
		excess[c.Team] -= c.freedSlots
		missing -= c.freedSlots
		plan.victims = append(plan.victims, Victim{Task: c.Task, Worker: worker, Measure: c.measure, FreedSlots: c.freedSlots})
	}
	if len(plan.victims) > 0 {
		plan.cost[1] /= len(plan.victims)
	}
	plan.cost[2] = len(plan.victims)
	plan.cost[3] = -missing
	return plan, missing <= 0 && len(plan.victims) > 0
}

// costRank orders measures by how much they harm the team, least first.
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

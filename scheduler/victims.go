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
	// Running is one running task as Victims sees it.
	Running struct {
		Task       string
		Team       string
		Class      Class
		Worker     string
		Slots      int
		Idempotent bool
		Spared     bool // a measure has been taken already
	}

	// Need is what waits for slots.
	Need struct {
		Team  string
		Slots int            // on one worker
		Free  map[string]int // free slots by worker that takes work
	}

	// Victim is one running task and the measure to take.
	Victim struct {
		Task    string
		Worker  string
		Measure Measure
		Frees   int // slots
	}

	// Measure takes slots back from a running task.
	Measure string

	// candidate is a running task from which slots may be taken.
	candidate struct {
		Running
		measure Measure
		frees   int
	}

	// seizure is a way to meet the need on one worker.
	seizure struct {
		worker  string
		victims []Victim
		cost    [4]int // compared in order; smaller is better
	}
)

// Victims chooses running tasks of one worker whose slots make room for urgent
// work. It takes slots from the teams furthest above their shares, never
// below these, and from background work of the needy team itself. It prefers
// checkpoints to throttling and background to urgent work. Work that is not
// idempotent is only ever throttled. It returns nil when there is no way, also
// when the needy team would come above its own share at others' expense.
func Victims(running []Running, shares map[string]int, need Need) []Victim {
	excess := make(map[string]int)
	workers := make(map[string][]candidate)
	for _, r := range running {
		excess[r.Team] += r.Slots
		if c, ok := candidateOf(r, need.Team); ok {
			workers[r.Worker] = append(workers[r.Worker], c)
		}
	}
	for team, share := range shares {
		excess[team] -= share
	}
	var best *seizure
	for _, worker := range slices.Sorted(maps.Keys(workers)) {
		free, open := need.Free[worker]
		if !open {
			continue
		}
		s, ok := seize(worker, workers[worker], maps.Clone(excess), need, need.Slots-free)
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
func candidateOf(r Running, needy string) (candidate, bool) {
	if r.Spared || r.Team == needy && r.Class == Urgent {
		return candidate{}, false
	}
	if r.Idempotent {
		return candidate{Running: r, measure: Checkpoint, frees: r.Slots}, true
	}
	return candidate{Running: r, measure: Throttle, frees: r.Slots / 2}, r.Slots > 1
}

// seize takes candidates of one worker, the fittest first, until the missing
// slots are met. excess is the slots of each team above its share.
func seize(worker string, candidates []candidate, excess map[string]int, need Need, missing int) (seizure, bool) {
	s := seizure{worker: worker}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.rank(), b.rank()),
			cmp.Compare(excess[b.Team], excess[a.Team]),
			cmp.Compare(b.frees, a.frees),
			cmp.Compare(a.Task, b.Task),
		)
	})
	mayTake := excess[need.Team]+need.Slots <= 0
	for _, c := range candidates {
		if missing <= 0 {
			break
		}
		own := c.Team == need.Team
		if !own && (!mayTake || excess[c.Team] < c.frees) {
			continue
		}
		s.cost[0] = max(s.cost[0], c.rank())
		s.cost[1] -= excess[c.Team]
		excess[c.Team] -= c.frees
		missing -= c.frees
		s.victims = append(s.victims, Victim{Task: c.Task, Worker: worker, Measure: c.measure, Frees: c.frees})
	}
	if len(s.victims) > 0 {
		s.cost[1] /= len(s.victims)
	}
	s.cost[2] = len(s.victims)
	s.cost[3] = -missing
	return s, missing <= 0 && len(s.victims) > 0
}

// rank orders measures by what they cost the team.
func (c candidate) rank() int {
	rank := 0
	if c.measure == Throttle {
		rank = 2
	}
	if c.Class == Urgent {
		rank++
	}
	return rank
}

package orchestrator

import (
	"math/bits"
	"slices"
	"time"
)

const (
	// maxTasksPerTurn is how many waiting tasks of a job a placement pass looks at, and how
	// many of its steps. The next pass goes on where it stopped.
	maxTasksPerTurn = 128

	// maxTasksToStart is how many placed tasks of a job may wait for the results of their
	// starts. Others would wait behind these starts on their workers.
	maxTasksToStart = 64

	remainingTimeInterval = 100 * time.Millisecond // between two estimates of the remaining time of a step of many tasks
)

type (
	// indexSet is a set of task indexes.
	indexSet []uint64

	// jobTurn is what a placement pass may still do for a job, and where the next one goes
	// on.
	jobTurn struct {
		pass        int64         // number of the pass
		tasks       int           // how many tasks it may look at
		steps       int           // how many steps may become candidates
		occurrences []*occurrence // see occurrencesInTurn

		firstOccurrence int          // number of the first occurrence to look at
		firstStep       stepPosition // the first step that may become a candidate
	}

	// stepPosition identifies a step of a job.
	stepPosition struct{ occurrence, step int }

	// remainingTime keeps an estimate of the remaining time of a step.
	remainingTime struct {
		estimatedAt time.Time
		left        time.Duration // at that time
	}
)

func (s *indexSet) add(i int) {
	for len(*s) <= i/bits.UintSize {
		*s = append(*s, 0)
	}
	(*s)[i/bits.UintSize] |= 1 << (i % bits.UintSize)
}

func (s indexSet) remove(i int) {
	s[i/bits.UintSize] &^= 1 << (i % bits.UintSize)
}

// next returns the smallest index from i on that is in the set, or -1 if there is none.
func (s indexSet) next(i int) int {
	for n := i / bits.UintSize; n < len(s); n++ {
		word := s[n]
		if n == i/bits.UintSize {
			word &= ^uint64(0) << (i % bits.UintSize)
		}
		if word != 0 {
			return n*bits.UintSize + bits.TrailingZeros64(word)
		}
	}
	return -1
}

// nextWaiting returns the index of the first waiting task of the step from i on, or -1 if
// there is none. Tasks that have not been built yet wait.
func (s *step) nextWaiting(i int) int {
	if n := s.waiting.next(i); n >= 0 {
		return n
	}
	if i = max(i, len(s.tasks)); i < s.Count {
		return i
	}
	return -1
}

// turnOf returns what the pass may still do for the job.
func (p *placementPass) turnOf(j *job) *jobTurn {
	if j.turn.pass != p.number {
		j.turn = jobTurn{
			pass: p.number, tasks: min(maxTasksPerTurn, maxTasksToStart-j.tasksToStart), steps: maxTasksPerTurn,
			firstOccurrence: j.turn.firstOccurrence, firstStep: j.turn.firstStep,
		}
	}
	return &j.turn
}

// position returns the position of the step in its job.
func (s *step) position() stepPosition {
	return stepPosition{s.occurrence.number, s.number}
}

// isBefore reports whether a comes before b.
func (a stepPosition) isBefore(b stepPosition) bool {
	return a.occurrence < b.occurrence || a.occurrence == b.occurrence && a.step < b.step
}

// hasWaitingTasks reports whether some task of the occurrence waits.
func (o *occurrence) hasWaitingTasks() bool {
	return slices.ContainsFunc(o.steps, func(s *step) bool { return s.waitingTasks > 0 })
}

// at returns the remaining time at now, as it was last estimated or by estimate.
func (r *remainingTime) at(now time.Time, estimate func(now time.Time) time.Duration) time.Duration {
	if now.Sub(r.estimatedAt) >= remainingTimeInterval {
		*r = remainingTime{now, estimate(now)}
	}
	return max(0, r.left-now.Sub(r.estimatedAt))
}

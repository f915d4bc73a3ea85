package orchestrator

import (
	"cmp"
	"slices"
	"time"

	"github.com/coltsfootlever/coltsfootlever/modeler"
)

// maxBuiltTasks limits the tasks of a repeating job that are kept in memory and in its
// record at the same time, unless one occurrence alone has more.
const maxBuiltTasks = 5000

// numberSet is a set of numbers as ranges in ascending order that don't touch. The
// second number of a range is the first one after it.
type numberSet [][2]int

// newOccurrence returns an occurrence of the job without its tasks.
func (j *job) newOccurrence(number int) *occurrence {
	o := &occurrence{job: j, number: number, due: j.DueTime(number)}
	for i := range j.Steps {
		o.steps = append(o.steps, &step{Step: &j.Steps[i], occurrence: o, number: i, waitingTasks: j.Steps[i].Count})
	}
	return o
}

// buildOccurrence returns the occurrence with the number, which is not finished. It
// builds it if that has not been done yet.
func (j *job) buildOccurrence(number int) *occurrence {
	i, ok := j.findOccurrence(number)
	if ok {
		return j.occurrences[i]
	}
	o := j.newOccurrence(number)
	for _, s := range o.steps {
		if s.Gang || s.LongRunning {
			s.buildTasks(s.Count) // they are to run together
		}
	}
	j.occurrences = slices.Insert(j.occurrences, i, o)
	return o
}

// taskAt returns the task of the step with the index. Tasks are built when they are
// needed, so that a job which waits takes up little memory.
func (s *step) taskAt(index int) *task {
	s.buildTasks(index + 1)
	return s.tasks[index]
}

// buildTasks builds the first n tasks of the step unless they have been built.
func (s *step) buildTasks(n int) {
	o := s.occurrence
	for i := len(s.tasks); i < n; i++ {
		t := &task{step: s, id: s.taskID(i), pacePercent: fullPace}
		if o.due.Before(o.job.crashesAssumed) {
			t.assumeUnstoredCrash()
		}
		s.tasks = append(s.tasks, t)
		s.waiting.add(i)
	}
}

// taskID returns the ID of the task with the index.
func (s *step) taskID(index int) modeler.TaskID {
	return modeler.TaskID{Job: s.occurrence.job.ID, Occurrence: s.occurrence.number, Step: s.number, Index: index}
}

// buildDueOccurrences builds the occurrences of a repeating job that are due before a
// time, as many as maxBuiltTasks allows and at most maxTasksPerTurn. The others follow when
// earlier ones finish, or with the next pass.
func (j *job) buildDueOccurrences(until time.Time) {
	limit := max(1, maxBuiltTasks/max(1, j.TasksPerOccurrence()))
	limit = min(limit, len(j.occurrences)+maxTasksPerTurn)
	for j.nextOccurrence < j.OccurrenceCount() && len(j.occurrences) < limit {
		if next := j.finished.firstMissing(j.nextOccurrence); next != j.nextOccurrence {
			j.nextOccurrence = next
			continue
		}
		if !j.DueTime(j.nextOccurrence).Before(until) {
			return
		}
		j.buildOccurrence(j.nextOccurrence)
		j.nextOccurrence++
	}
}

// buildDueOccurrences builds the occurrences that may start, or that an earlier leader
// whose clock was ahead may have started.
func (e *Engine) buildDueOccurrences(wallTime time.Time) {
	until := e.latestStartBefore(wallTime)
	for _, j := range e.jobOrder {
		if j.Repeat > 0 && !j.state.IsFinal() {
			e.handling = j
			j.buildDueOccurrences(until)
		}
	}
	e.handling = nil
}

// latestStartBefore returns the due time before which an occurrence may have been started
// by an entry node, given the time of day on this one.
func (e *Engine) latestStartBefore(wallTime time.Time) time.Time {
	return wallTime.Add(e.cfg.EarlyStart + maxClockDifference)
}

// isFinished reports whether all tasks of the occurrence are done.
func (o *occurrence) isFinished() bool {
	return o.finishedSteps == len(o.steps)
}

// removeFinishedOccurrences removes the finished occurrences of a repeating job from
// memory. Their numbers are kept.
func (j *job) removeFinishedOccurrences() {
	if len(j.justFinished) == 0 || j.Repeat == 0 {
		return
	}
	for _, o := range j.justFinished {
		if i, ok := j.findOccurrence(o.number); ok {
			j.occurrences = slices.Delete(j.occurrences, i, i+1)
		}
		j.finished.add(o.number)
	}
	j.justFinished = nil
	j.nextOccurrence = j.finished.firstMissing(j.nextOccurrence)
}

// findOccurrence returns the index of the occurrence with the number, and whether it has
// been built.
func (j *job) findOccurrence(number int) (int, bool) {
	return slices.BinarySearchFunc(j.occurrences, number, func(o *occurrence, number int) int { return cmp.Compare(o.number, number) })
}

// finishedTask returns a task of an occurrence that has been removed because it is
// finished.
func (j *job) finishedTask(id modeler.TaskID) *task {
	o := j.newOccurrence(id.Occurrence)
	o.finishedSteps = len(o.steps)
	for _, s := range o.steps {
		s.waitingTasks, s.finishedTasks = 0, s.Count
	}
	return &task{step: o.steps[id.Step], id: id, phase: done, pacePercent: fullPace}
}

// add adds a number to the set.
func (s *numberSet) add(n int) {
	i, found := s.find(n)
	if found {
		return
	}
	joinsBefore, joinsAfter := i > 0 && (*s)[i-1][1] == n, i < len(*s) && (*s)[i][0] == n+1
	switch {
	case joinsBefore && joinsAfter:
		(*s)[i-1][1] = (*s)[i][1]
		*s = slices.Delete(*s, i, i+1)
	case joinsBefore:
		(*s)[i-1][1] = n + 1
	case joinsAfter:
		(*s)[i][0] = n
	default:
		*s = slices.Insert(*s, i, [2]int{n, n + 1})
	}
}

// contains reports whether the number is in the set.
func (s numberSet) contains(n int) bool {
	_, found := s.find(n)
	return found
}

// firstMissing returns the smallest number from n on that is not in the set.
func (s numberSet) firstMissing(n int) int {
	if i, found := s.find(n); found {
		return s[i][1]
	}
	return n
}

// find returns the index of the range that contains the number, or the index of the
// first range after it.
func (s numberSet) find(n int) (int, bool) {
	return slices.BinarySearchFunc(s, n, func(r [2]int, n int) int {
		switch {
		case r[1] <= n:
			return -1
		case r[0] > n:
			return 1
		}
		return 0
	})
}

// isValid reports whether the ranges are in ascending order, don't touch and lie within
// 0 and limit.
func (s numberSet) isValid(limit int) bool {
	end := -1
	for _, r := range s {
		if r[0] <= end || r[1] <= r[0] || r[1] > limit {
			return false
		}
		end = r[1]
	}
	return true
}

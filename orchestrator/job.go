package orchestrator

import (
	"time"

	"github.com/coltsfootlever/coltsfootlever/modeler"
)

// The phases of a task.
const (
	waiting  phase = iota
	placed         // the placement is being stored, the worker has no order yet
	starting       // the order is on its way
	doubtful       // the order was not answered, it may still be carried out
	adopted        // an earlier term placed it, the worker has not been asked yet
	running        // the worker has confirmed it
	stopping       // the worker has been told to stop it
	done
)

type (
	phase int

	// job is an accepted job that has not ended.
	job struct {
		modeler.Job
		occurrences     []*occurrence
		state           modeler.State
		reason          string // why the state is final
		hasStarted      bool   // a task has started
		version         int64  // counts changes that have to be stored
		storedVersion   int64  // last version in the service
		commitInFlight  bool   // a transaction with the job is on its way
		dirtyOrder      int64  // number of the change that waits to be stored, counted over all jobs
		revision        int64  // of its progress record, 0 while there is none
		activeTasks     int    // tasks that have or may have a run
		fromEarlierTerm bool   // a predecessor knew of it
	}

	occurrence struct {
		job           *job
		number        int
		due           time.Time
		steps         []*step
		finishedSteps int // finished steps
	}

	step struct {
		*modeler.Step
		occurrence    *occurrence
		number        int
		tasks         []*task
		waitingTasks  int               // tasks in phase waiting
		finishedTasks int               // finished tasks
		tickets       map[string]string // tickets by worker, nil when unknown
		ticketsUntil  time.Time
		advicePending bool
		preferredRack string // rack of a step whose tasks should run on one
	}

	task struct {
		step             *step
		id               modeler.TaskID
		phase            phase
		run              int   // number of the last run, 0 before the first
		failedRuns       []int // numbers of the runs that ended by a failure
		checkpoint       string
		worker           *worker   // of the run, nil while waiting or done
		ticket           string    // permission of the advice service
		placementVersion int64     // job version that holds the placement
		phaseSince       time.Time // beginning of the phase
		startupDone      bool      // the worker reported full progress
		reportedLoad     int       // see modeler.RunningTask.Load
		pacePercent      int       // percent of full speed
		reservedOn       *worker   // keeps room for the next run
		moveObstacle     string    // why it cannot leave its worker at present
	}
)

func (p phase) String() string {
	return [...]string{"waiting", "placed", "starting", "doubtful", "adopted", "running", "stopping", "done"}[p]
}

// newJob returns a job none of whose tasks has run.
func newJob(def modeler.Job) *job {
	j := &job{Job: def, state: modeler.Queued}
	for k := range def.OccurrenceCount() {
		o := &occurrence{job: j, number: k, due: def.DueTime(k)}
		for i := range def.Steps {
			s := &step{Step: &j.Steps[i], occurrence: o, number: i, waitingTasks: def.Steps[i].Count}
			for n := range s.Count {
				s.tasks = append(s.tasks, &task{
					step: s, id: modeler.TaskID{Job: def.ID, Occurrence: k, Step: i, Index: n}, pacePercent: fullPace,
				})
			}
			o.steps = append(o.steps, s)
		}
		j.occurrences = append(j.occurrences, o)
	}
	return j
}

// find returns a task of the job, nil when it has no such task.
func (j *job) findTask(id modeler.TaskID) *task {
	if id.Occurrence >= len(j.occurrences) {
		return nil
	}
	o := j.occurrences[id.Occurrence]
	if id.Step >= len(o.steps) || id.Index >= len(o.steps[id.Step].tasks) {
		return nil
	}
	return o.steps[id.Step].tasks[id.Index]
}

// tasks calls fn with every task of the job.
func (j *job) forEachTask(fn func(t *task)) {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				fn(t)
			}
		}
	}
}

// isComplete says whether all tasks are done.
func (j *job) isComplete() bool {
	for _, o := range j.occurrences {
		if o.finishedSteps < len(o.steps) {
			return false
		}
	}
	return true
}

// isReady says whether the tasks of the step may start.
func (s *step) dependenciesDone() bool {
	for _, n := range s.After {
		if earlier := s.occurrence.steps[n]; earlier.finishedTasks < earlier.Count {
			return false
		}
	}
	return true
}

// absent counts the tasks of the step, except one, that are not known to be at
// work.
func (s *step) countUnavailable(except *task) int {
	n := 0
	for _, t := range s.tasks {
		if t != except && !t.isAvailable() {
			n++
		}
	}
	return n
}

// isAtWork says whether the last word of the task's worker is that it works,
// and the worker still answers.
func (t *task) isAvailable() bool {
	return t.phase == running && t.startupDone && t.worker.reachable && t.worker.failedPolls == 0
}

// on counts the tasks of the step that a worker has.
func (s *step) countTasksOn(w *worker) int {
	n := 0
	for _, t := range s.tasks {
		if t.worker == w {
			n++
		}
	}
	return n
}

// hasRun says whether a run of the task exists or may exist.
func (t *task) mayHaveRun() bool {
	return t.phase != waiting && t.phase != done
}

// chain is the longest chain of estimated work that is left.
func (o *occurrence) remainingCriticalPath(now time.Time) time.Duration {
	ends := make([]time.Duration, len(o.steps))
	longest := time.Duration(0)
	for i, s := range o.steps {
		if s.finishedTasks == s.Count {
			continue
		}
		ends[i] = s.remainingTime(now)
		for _, n := range s.After {
			ends[i] = max(ends[i], ends[n]+s.remainingTime(now))
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// left is the estimated time that the step still needs with enough workers.
func (s *step) remainingTime(now time.Time) time.Duration {
	if s.waitingTasks > 0 {
		return s.Estimate
	}
	left := time.Duration(0)
	for _, t := range s.tasks {
		if t.mayHaveRun() {
			left = max(left, s.Estimate-now.Sub(t.phaseSince))
		}
	}
	return left
}

// isBegun says whether a task of the occurrence is done or has a run.
func (o *occurrence) hasStarted() bool {
	for _, s := range o.steps {
		if s.waitingTasks < s.Count {
			return true
		}
	}
	return false
}

// workLeft is the estimated work of all tasks that are not done, in
// core-seconds.
func (o *occurrence) remainingWork() float64 {
	work := 0.0
	for _, s := range o.steps {
		work += float64(s.Count-s.finishedTasks) * s.taskWork()
	}
	return work
}

// work is the estimated work of one task, in core-seconds.
func (s *step) taskWork() float64 {
	return float64(s.ReservedResources().CPU) / milliCoresPerCore * s.Estimate.Seconds()
}

package orchestrator

import (
	"slices"
	"time"

	"github.com/coltsfootlever/coltsfootlever/assigner"
	"github.com/coltsfootlever/coltsfootlever/investigator"
	"github.com/coltsfootlever/coltsfootlever/modeler"
)

// Phases of a task.
const (
	waiting        phase = iota
	placed               // the placement is being stored, no start has been sent to the worker
	starting             // a start is in flight
	outcomeUnknown       // the start got no response; the worker may still execute it
	adopted              // placed in an earlier term; the worker has not reported its runs in this term
	running              // the worker has confirmed the run
	stopping             // a stop has been requested
	done
)

type (
	// phase is the phase of a task.
	phase int

	// job is an accepted job that has not ended.
	job struct {
		modeler.Job
		customer        *customerState
		pool            *poolState    // of its queue in the last placement pass
		definitionBytes int64         // see DefinitionBytes
		work            float64       // of one occurrence, in core-seconds
		criticalPath    time.Duration // longest path of estimated work through the dependent steps of an occurrence
		settings        jobSettings
		occurrences     []*occurrence // that have been built, by number; the finished ones of a repeating job are removed
		nextOccurrence  int           // number of the next occurrence to build; those before it have been built or are finished
		finished        numberSet     // numbers of the finished occurrences of a repeating job

		justFinished   []*occurrence // of occurrences, those that are finished
		crashesAssumed time.Time     // unstored crashes are assumed for occurrences due before this time, see assumeUnstoredCrashes

		state           modeler.State
		reason          string    // why the state is final
		hasBeenPlaced   bool      // some task has been placed; its worker may have refused the start
		hasStarted      bool      // some task has started: its worker has confirmed or listed the run, or reported its end
		version         int64     // incremented on each change that must be stored
		storedVersion   int64     // last version in the store
		commitInFlight  bool      // a transaction with the job is in flight
		storeAfter      time.Time // the progress isn't stored again before this time
		recordedTasks   int       // number of tasks in the last progress record
		dirtyOrder      int64     // sequence number of the change that made the job unstored; older ones are stored first
		progressKey     string    // key of the progress record
		revision        int64     // store revision of the progress record, 0 if there is none
		activeTasks     int       // tasks that are or may be running
		tasksToStart    int       // of them those that have been placed and whose start has no result yet
		turn            jobTurn
		backlog         backlogEntry
		fromEarlierTerm bool          // the job was loaded at the start of the term
		loadedAt        time.Duration // by elector.Term.Now
		historyUnstored bool          // the record lacks crashes that are assumed, see assumeUnstoredCrashes
		rejection       storeRejection
	}

	// jobSettings is what a manifest states about a job.
	jobSettings struct {
		manifest *modeler.Manifest
		queue    *modeler.Queue    // see modeler.Manifest.QueueOf
		customer *modeler.Customer // nil if the manifest doesn't contain it
	}

	// occurrence is one execution of all steps of a job. Only repeating jobs have
	// more than one.
	occurrence struct {
		job           *job
		objective     occurrenceObjective
		candidate     assigner.Candidate // description in the last placement pass
		number        int
		due           time.Time
		steps         []*step
		finishedSteps int // steps whose tasks are all done
	}

	// step is a step of one occurrence.
	step struct {
		*modeler.Step
		occurrence     *occurrence
		number         int
		tasks          []*task         // the first ones; the others have not been built yet and wait, see taskAt
		waiting        indexSet        // indexes of those of tasks that wait
		assigned       indexSet        // indexes of those that have a worker
		waitingTasks   int             // tasks in phase waiting
		tasksOn        map[*worker]int // number of tasks that are assigned to a worker
		resumeAt       int             // index of the task with which the next placement pass begins
		finishedTasks  int             // tasks in phase done
		advice         *stepAdvice     // nil if the queue requires no advice or the step has not been tried yet
		candidate      candidateStep   // in the last placement pass in which it was one
		gangStarts     *gangStarts     // of the last placement if the step is a gang, nil before the first start
		gangCheckpoint string          // of all tasks of a gang
		remaining      remainingTime   // if it has many tasks
		preferredRack  string          // rack for a step whose tasks should run on one rack
	}

	// failedRun identifies a failed run of a task.
	failedRun struct {
		number int
		worker string // ID of its worker; empty if recorded by a version that stored numbers only
	}

	// task is a task of a step. Each attempt to execute it is a run.
	task struct {
		step             *step
		id               modeler.TaskID
		phase            phase
		run              int // number of the last run, 0 before the first
		highestRun       int // highest number of a run that a worker has listed; the run may belong to another leader
		failedRuns       []failedRun
		suspicion        investigator.Suspicion
		crashAssumed     bool               // suspicion contains a crash that the previous leader may not have stored
		keptWorker       *worker            // worker that is kept for the next run, see keepWorkerForIsolation
		rejections       int                // starts that workers have rejected as malformed
		retryAt          time.Time          // the task isn't placed before this time
		ownCheckpoint    string             // unless the step is a gang
		worker           *worker            // assigned worker, nil while waiting or done
		ticket           string             // permission from the advice service
		permit           *startPermit       // to send the start, in phase starting
		withheldRun      int                // number of the last run whose start was withheld, see noteWithheld
		unanswered       []*unansweredStart // for which the task waits
		waitsSince       time.Time          // since when it has waited for these, or before that had no run; zero if it does not wait
		confinedTo       *worker            // only worker on which the task may be placed, see confineToWorker; nil for any
		began            bool               // an earlier leader has stored that the present run, in phase adopted, has begun
		startsRepeated   int                // number of times that the start of the present run was sent again
		placementVersion int64              // job version that contains the placement
		lostAt           time.Duration      // when the last run of which no end was listed was found to be over, by elector.Term.Now; 0 if there was none
		placedAt         time.Time          // when the placement was made, by the clock of the leader's entry node; zero if not known
		placementBoot    int64              // start time of the worker for which the placement was made
		phaseSince       time.Time          // start of the phase
		listedFor        time.Duration      // how long the run had worked when its worker last listed it; 0 if it hasn't yet
		stop             stopState          // in phase stopping
		startupDone      bool               // the worker reported that the task has started up
		reportedLoad     int                // last value of modeler.RunningTask.Metric
		pacePercent      int                // speed of the task in percent of full speed
		reservedOn       *worker            // worker that has resources reserved for the next run
		rackWaitSince    time.Time          // since when it has waited for its preferred rack; zero if it has not
		moveObstacle     string             // why the task can't move off its worker at present
	}
)

func (p phase) String() string {
	return [...]string{"waiting", "placed", "starting", "doubtful", "adopted", "running", "stopping", "done"}[p]
}

// newJob returns a job of a customer that has not started. The occurrences of a
// repeating job are built when they are due.
func newJob(def modeler.Job, customer *customerState) *job {
	j := &job{Job: def, customer: customer, state: modeler.Queued, progressKey: ProgressKey(def.ID), definitionBytes: DefinitionBytes(&def)}
	o := j.newOccurrence(0)
	j.work, j.criticalPath = o.remainingWork(), o.longestPath()
	if j.Repeat == 0 {
		j.buildOccurrence(0)
		j.nextOccurrence = 1
	}
	return j
}

// settingsIn returns what a manifest, which doesn't change any more, states about the
// job.
func (j *job) settingsIn(m *modeler.Manifest) *jobSettings {
	if j.settings.manifest != m {
		j.settings = jobSettings{m, m.QueueOf(&j.Job), m.Customer(j.Customer)}
	}
	return &j.settings
}

// findTask returns a task of the job, or nil if there is no such task. It builds the
// task if that has not been done yet.
func (j *job) findTask(id modeler.TaskID) *task {
	if min(id.Occurrence, id.Step, id.Index) < 0 || id.Occurrence >= j.OccurrenceCount() || id.Step >= len(j.Steps) || id.Index >= j.Steps[id.Step].Count {
		return nil
	}
	if j.finished.contains(id.Occurrence) {
		return j.finishedTask(id)
	}
	return j.buildOccurrence(id.Occurrence).steps[id.Step].taskAt(id.Index)
}

// findTask returns a task of a job that has not ended, or nil if there is no such
// task.
func (e *Engine) findTask(id modeler.TaskID) *task {
	j := e.jobs[id.Job]
	if j == nil {
		return nil
	}
	return j.findTask(id)
}

// forEachTask calls fn for every task that has been built.
func (j *job) forEachTask(fn func(t *task)) {
	for _, o := range j.occurrences {
		o.forEachTask(fn)
	}
}

// forEachTask calls fn for every task of the occurrence that has been built.
func (o *occurrence) forEachTask(fn func(t *task)) {
	for _, s := range o.steps {
		for _, t := range s.tasks {
			fn(t)
		}
	}
}

// isComplete reports whether all tasks are done.
func (j *job) isComplete() bool {
	return j.nextOccurrence >= j.OccurrenceCount() && !slices.ContainsFunc(j.occurrences, func(o *occurrence) bool { return !o.isFinished() })
}

// dependenciesDone reports whether all steps that this step depends on are
// done.
func (s *step) dependenciesDone() bool {
	for _, n := range s.After {
		if earlier := s.occurrence.steps[n]; earlier.finishedTasks < earlier.Count {
			return false
		}
	}
	return true
}

// hasTaskIn reports whether any task of the step is in a set.
func (s *step) hasTaskIn(set map[modeler.TaskID]bool) bool {
	for id := range set {
		if id.Job == s.occurrence.job.ID && id.Occurrence == s.occurrence.number && id.Step == s.number {
			return true
		}
	}
	return false
}

// countUnavailable returns the number of unavailable tasks of the step.
func (s *step) countUnavailable() int {
	n := 0
	for _, t := range s.tasks {
		if !t.isAvailable() {
			n++
		}
	}
	return n
}

// isAvailable reports whether the task has started up according to its worker's
// last report and the worker still responds.
func (t *task) isAvailable() bool {
	return t.phase == running && t.startupDone && t.worker.reachable && t.worker.failedPolls == 0
}

// mayHaveRun reports whether a run of the task exists or may exist.
func (t *task) mayHaveRun() bool {
	return t.phase != waiting && t.phase != done
}

// remainingCriticalPath returns the longest path of estimated work that is left
// through the dependent steps.
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

// remainingTime estimates how long the step still takes if all its tasks run at
// once.
func (s *step) remainingTime(now time.Time) time.Duration {
	if s.waitingTasks > 0 {
		return s.Estimate
	}
	if len(s.tasks) > maxTasksPerTurn {
		return s.remaining.at(now, s.remainingTimeOfTasks)
	}
	return s.remainingTimeOfTasks(now)
}

// remainingTimeOfTasks estimates how long the running tasks of the step still take.
func (s *step) remainingTimeOfTasks(now time.Time) time.Duration {
	left := time.Duration(0)
	for _, t := range s.tasks {
		if t.mayHaveRun() {
			left = max(left, s.Estimate-now.Sub(t.phaseSince))
		}
	}
	return left
}

// markPlaced records that some task of the job has been placed. The job counts as
// running while the response to the start is awaited, so that a start which is not
// refused needs no further write to the store.
func (j *job) markPlaced() {
	j.hasBeenPlaced = true
	if j.state == modeler.Queued {
		j.state = modeler.Running
	}
}

// markStarted records that some task of the job has started.
func (j *job) markStarted() {
	j.markPlaced()
	j.hasStarted = true
}

// markNotStarted records that a task of the job did not start. A job of which no other
// task has started or may start is queued again.
func (j *job) markNotStarted() {
	if j.state == modeler.Running && !j.hasStarted && j.activeTasks == 0 {
		j.state = modeler.Queued
	}
}

// hasStarted reports whether any task of the occurrence is placed, running or
// done.
func (o *occurrence) hasStarted() bool {
	for _, s := range o.steps {
		if s.waitingTasks < s.Count {
			return true
		}
	}
	return false
}

// remainingWork returns the estimated work of all tasks that are not done, in
// core-seconds.
func (o *occurrence) remainingWork() float64 {
	work := 0.0
	for _, s := range o.steps {
		work += float64(s.Count-s.finishedTasks) * s.taskWork()
	}
	return work
}

// taskWork returns the estimated work of one task, in core-seconds.
func (s *step) taskWork() float64 {
	return float64(s.ReservedResources().CPU) / milliCoresPerCore * s.Estimate.Seconds()
}

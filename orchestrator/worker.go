package orchestrator

import (
	"context"
	"time"

	"github.com/coltsfootlever/coltsfootlever/assigner"
	"github.com/coltsfootlever/coltsfootlever/investigator"
	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/supervisor"
)

const (
	clockDrift          = 0.98                   // minimum rate of a worker's clock relative to the local clock, from the platform's documentation
	leaseEndMargin      = 100 * time.Millisecond // covers rounding of clock values to ms and delays of the worker's timers
	callersPerWorker    = 2                      // concurrent connections for calls to one worker, so that a lost response delays few calls
	workerCallQueueSize = 512                    // more than the number of tasks that one worker can run
	fullPace            = 100                    // percent
	unknownPace         = -1                     // the response to the last pace command was lost
	suspectTime         = time.Second            // a worker that refused a start or failed two polls in a row gets no new tasks for this long
)

type (
	// worker is the leader's view of a worker.
	worker struct {
		modeler.Worker
		pool               *poolState // of the registered pool
		view               workerView // for placement passes
		speed              workerSpeed
		listed             bool          // in the current worker list
		registeredStartMs  int64         // start time of the worker process to which Capacity and Labels belong
		reachable          bool          // the last poll succeeded
		polled             bool          // polled successfully in this term
		reported           bool          // has reported all its runs in this term, see isComplete
		bootLearnedAt      time.Duration // when the leader learned of the worker's last start, by elector.Term.Now
		replaced           bool          // a newer worker runs on its instance
		ended              bool          // has ended according to the instance list
		lostAt             time.Duration // when its runs were last found to be over without a report, by elector.Term.Now
		unreachableSince   time.Time     // when it was added or the first poll failed, if not reachable
		registeredInTerm   bool          // its clock says that it started in this term, see isNewInTerm
		notAwaitedLogged   bool          // see logWorkerNotAwaited
		suspectUntil       time.Time     // gets no new tasks before this time
		hasUnknownStart    bool          // a start got no response, and no poll has succeeded since
		recorded           bool          // the store may name it as unresponsive, see unresponsiveState
		used               modeler.Resources
		longRunningCPU     int64 // CPU that long-running tasks use, in thousandths of a core
		tasks              map[modeler.TaskID]*task
		clockSample        clockSample
		leaseDeadline      int64 // latest lease expiry sent, on the worker's clock
		stray              strayLease
		pollForLateRunsAt  time.Time     // when it is asked next for runs that late starts have begun
		lateOrdersUntil    time.Time     // until then the worker may carry out orders that extend its lease and got no response
		acknowledgedEnd    int64         // number of the last ended run that the worker need not list again
		pendingEnds        []reportedEnd // ended runs reported by the worker and not acknowledged yet
		startsInFlight     int           // starts that are queued or await a response
		polling            bool          // a poll is queued or in flight
		lastPollAt         time.Time     // when the last poll was queued
		failedPolls        int           // failed polls in a row
		cordonReason       string        // kind of plan that excludes the worker from new tasks; empty if there is none
		evacuated          bool          // its zone is evacuated
		outOfUse           bool          // its zone is evacuated, or has been restored and the worker has not returned to use yet
		withheld           withheldStarts
		reservedFor        []*task // tasks that have resources reserved here
		keptFor            *task   // only this task may be placed here; nil for any
		keptSince          time.Time
		idleCPUPacePercent int                    // speed of the tasks that use idle CPU, in percent of full speed
		paceChangedAt      time.Time              // when idleCPUPacePercent last changed
		orphanedRuns       map[runID]*orphanedRun // runs without an assigned task that have not certainly ended

		pendingCalls *supervisor.Ring[func(ctx context.Context)]
		pollRequests *supervisor.Ring[pollRequest]
		cancel       context.CancelFunc
	}

	// workerView is what placement passes see of a worker. It must be marked as changed
	// whenever the worker's registration, tasks, reservations or the suspicions of its
	// tasks change; polls do that for what they may change.
	workerView struct {
		assigner.Worker
		late      modeler.Resources // that late starts may take, see unansweredStarts
		probation probationView
		upToDate  bool
	}

	// runID identifies a run on one worker. Leaders of two terms may give the same
	// number to runs on different workers.
	runID struct {
		task   modeler.TaskID
		number int
	}

	// orphanedRun is a run that belongs to no assigned task and is told to stop.
	orphanedRun struct {
		task  *task     // nil if its job is not known; it may have ended
		since time.Time // when the first stop was queued
		stop  stopState
	}

	// reportedEnd is an ended run reported by a worker and the job version that
	// records it.
	reportedEnd struct {
		number     int64
		job        *job
		jobVersion int64
	}

	// stopState is the state of the stop of a run.
	stopState struct {
		inFlight      bool      // queued or in flight
		failureLogged bool      // a failure of the stop has been logged
		failures      int       // of calls so far
		repeatAt      time.Time // if the run has not ended by this time, the stop is sent again

		acknowledgedAt time.Time // when the present process of the worker acknowledged a stop; zero if it has not
	}

	// pollRequest requests a worker's lists of current and ended runs and extends
	// the leases of its runs.
	pollRequest struct {
		worker          modeler.Worker
		leaseDeadline   int64
		acknowledgedEnd int64
		maxWait         time.Duration
	}

	// clockSample relates a worker's clock to the local clock.
	clockSample struct {
		receivedAt   time.Time // local time at which the sample was received
		workerMillis int64     // worker's clock in ms
	}
)

// workerTimeAfter estimates what the worker's clock shows at now plus d.
func (c clockSample) workerTimeAfter(now time.Time, d time.Duration) int64 {
	return c.workerMillis + (now.Sub(c.receivedAt) + d).Milliseconds()
}

// localTimeOf returns a local time by which the worker's clock has certainly
// reached value.
func (c clockSample) localTimeOf(value int64) time.Time {
	left := time.Duration(float64(value-c.workerMillis)/clockDrift) * time.Millisecond
	return c.receivedAt.Add(max(0, left) + leaseEndMargin)
}

// freeResources returns the resources that are not in use.
func (w *worker) freeResources() modeler.Resources {
	return w.Capacity.Sub(w.used)
}

// take takes up the resources of a task of the step for sign 1 and frees them for
// sign -1, also in the sums for its pool and the customer.
func (w *worker) take(s *step, sign int64) {
	r := s.ReservedResources()
	w.pool.idle.known = w.pool.idle.known && len(w.tasks) > 1 // otherwise the worker has become idle or busy
	w.used = w.used.Add(modeler.Resources{CPU: sign * r.CPU, Memory: sign * r.Memory, GPU: sign * r.GPU})
	c := s.occurrence.job.customer
	if s.LongRunning {
		w.longRunningCPU += sign * r.CPU
	} else {
		w.pool.addCPU(c, sign*r.CPU)
	}
	c.usage = c.usage.Add(s.resourcesTowardCustomerLimit().Times(int(sign)))
}

// addTask updates the view of the worker after it has been assigned a task. The present pass
// goes on with a view that the next one builds anew.
func (v *workerView) addTask(t *task) {
	v.Free = v.Free.Sub(t.step.ReservedResources())
	v.AddTasks(t.step.Step, 1)
	if t.isSuspect() {
		v.Suspects++
	}
	v.probation.add(t)
}

// removeTask updates an up-to-date view of the worker after a task has been taken from it.
// The view must be built anew if the task may have decided on the probation.
func (v *workerView) removeTask(t *task) {
	if v.upToDate = v.upToDate && t.isCleared() && t.suspicion == (investigator.Suspicion{}); !v.upToDate {
		return
	}
	v.Free = v.Free.Add(t.step.ReservedResources())
	v.AddTasks(t.step.Step, -1)
}

// acceptsTasks reports whether new tasks may be placed on the worker. A worker
// with orphaned runs gets none, because its free resources are not known.
func (w *worker) acceptsTasks(now time.Time) bool {
	return w.listed && w.polled && w.hasKnownCapacity() && w.mayBeUsed() && !w.outOfUse && !w.Draining && w.cordonReason == "" && len(w.orphanedRuns) == 0 && !w.hasUnknownStart && !now.Before(w.suspectUntil)
}

// hasKnownCapacity reports whether the present process of the worker has registered
// its capacity. A process that restarts under the same ID may have another one.
func (w *worker) hasKnownCapacity() bool {
	return w.registeredStartMs == w.StartTimeMs
}

// mayBeUsed reports whether tasks may be started on the worker.
func (w *worker) mayBeUsed() bool {
	return w.reachable && !w.recorded && !w.evacuated
}

// markSuspect excludes the worker from new tasks for suspectTime.
func (w *worker) markSuspect(now time.Time) {
	w.suspectUntil = now.Add(suspectTime)
}

// acknowledgeStoredEnds marks the reported ends that have been stored as
// acknowledged and reports whether others remain.
func (w *worker) acknowledgeStoredEnds() bool {
	n := 0
	for _, e := range w.pendingEnds {
		if e.job != nil && e.job.storedVersion < e.jobVersion {
			break
		}
		w.acknowledgedEnd = e.number
		n++
	}
	w.pendingEnds = w.pendingEnds[n:]
	return len(w.pendingEnds) > 0
}

package orchestrator

import (
	"slices"
	"time"

	"github.com/coltsfootlever/coltsfootlever/modeler"
)

type (
	// unansweredStart is a start of a task of which it is not known whether its worker has
	// carried it out. A process that the worker starts later may do so too: it knows neither
	// a stop of the run nor a fencing token until the leader calls it, nor that an earlier
	// process has carried out another start of the task.
	unansweredStart struct {
		id        runID
		task      *task     // nil if its job was not known any more
		worker    string    // ID
		until     time.Time // the start is not carried out after this time
		repeated  bool      // the start was sent again, so that the run's appearance tells of one of the calls only
		refusedBy int64     // start time of the worker's process that has acknowledged a stop of the run or listed its end; 0 if none is known
		refuseAt  time.Time // when the worker is told next to refuse the run
	}

	// unansweredStarts contains the starts without a response, by worker ID. A worker that
	// has restarted is told to refuse them. Those for which a task waits are in
	// task.unanswered as well.
	unansweredStarts map[string][]*unansweredStart
)

// prune forgets the starts of a worker that can't be carried out any more and for which no
// task waits.
func (u unansweredStarts) prune(worker string, now time.Time) {
	u[worker] = slices.DeleteFunc(u[worker], func(s *unansweredStart) bool { return now.After(s.until) && !s.isAwaited() })
	if len(u[worker]) == 0 {
		delete(u, worker)
	}
}

// add adds a start without a response, unless it is known.
func (u unansweredStarts) add(worker string, id runID, t *task, until, now time.Time) *unansweredStart {
	u.prune(worker, now)
	starts := u[worker]
	i := slices.IndexFunc(starts, func(s *unansweredStart) bool { return s.id == id })
	if i < 0 {
		i, starts = len(starts), append(starts, &unansweredStart{id: id, task: t, worker: worker})
	}
	starts[i].until = until
	u[worker] = starts
	return starts[i]
}

// isAwaited reports whether the task waits for the start.
func (s *unansweredStart) isAwaited() bool {
	return s.task != nil && slices.Contains(s.task.unanswered, s)
}

// remove removes a start that can't be carried out any more.
func (u unansweredStarts) remove(s *unansweredStart) {
	u[s.worker] = slices.DeleteFunc(u[s.worker], func(other *unansweredStart) bool { return other == s })
	if len(u[s.worker]) == 0 {
		delete(u, s.worker)
	}
}

// mayTakeRoom reports whether the start may still take room on its worker that no task is
// assigned to.
func (s *unansweredStart) mayTakeRoom(now time.Time) bool {
	return s.task != nil && !now.After(s.until) && (s.task.worker == nil || s.task.worker.ID != s.worker)
}

// countOwnLateStarts returns how many starts for which the task waits may take room.
func (t *task) countOwnLateStarts(now time.Time) int {
	n := 0
	for _, s := range t.unanswered {
		if s.mayTakeRoom(now) {
			n++
		}
	}
	return n
}

// roomFor returns the resources that late starts on a worker may take.
func (u unansweredStarts) roomFor(worker string, now time.Time) modeler.Resources {
	var sum modeler.Resources
	for _, s := range u[worker] {
		if s.mayTakeRoom(now) {
			sum = sum.Add(s.task.step.ReservedResources())
		}
	}
	return sum
}

// addUsage adds to the usage of customers what late starts may take.
func (u unansweredStarts) addUsage(usage map[string]modeler.Resources, now time.Time) {
	for _, starts := range u {
		for _, s := range starts {
			if s.mayTakeRoom(now) {
				customer := s.task.step.occurrence.job.Customer
				usage[customer] = usage[customer].Add(s.task.resourcesTowardCustomerLimit())
			}
		}
	}
}

package orchestrator

import (
	"context"
	"time"

	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/supervisor"
)

const (
	clockDrift          = 0.98                   // a worker's clock runs at least at this rate, from the platform's pages
	leaseEndMargin      = 100 * time.Millisecond // rounding of clocks to ms, and the worker's own timers
	callersPerWorker    = 2                      // connections for orders to one worker, so that one lost answer delays few
	workerCallQueueSize = 512                    // above the tasks that one worker holds
	fullPace            = 100                    // percent
	unknownPace         = -1                     // the order of a pace was not answered
	suspectTime         = time.Second            // a worker that refused, or was silent twice, gets nothing new for this long
)

type (
	// worker is what the leader knows of a worker.
	worker struct {
		modeler.Worker
		listed           bool      // in the workers' list
		reachable        bool      // the last look was answered
		polled           bool      // looked at in this term
		replaced         bool      // its instance has another life
		registeredInTerm bool      // began after the predecessor had lost its lease, see isLate
		suspectUntil     time.Time // no suspicion from then on
		hasUnknownStart  bool      // an order was not answered, and nothing since
		used             modeler.Resources
		tasks            map[modeler.TaskID]*task
		clockSample      clockSample
		leaseDeadline    int64                        // latest lease sent, on the worker's clock
		acknowledgedEnd  int64                        // ends up to this number need not be listed again
		pendingEnds      []reportedEnd                // listed and not confirmed
		polling          bool                         // a look is on its way
		lastPollAt       time.Time                    // of the last look
		failedPolls      int                          // looks in a row without an answer
		cordonReason     string                       // why planned work keeps new tasks away, empty otherwise
		reservedFor      []*task                      // tasks that room is kept for
		fillerPace       int                          // percent, of the tasks that fill
		paceChangedAt    time.Time                    // when it was changed
		orphanedRuns     map[modeler.TaskID]time.Time // runs without a task that are being stopped

		pendingCalls *supervisor.Ring[func(ctx context.Context)]
		pollRequests *supervisor.Ring[pollRequest]
		cancel       context.CancelFunc
	}

	// end is a listed end and the change that notes it.
	reportedEnd struct {
		number     int64
		job        *job
		jobVersion int64
	}

	// look is an order to list runs and extend their leases.
	pollRequest struct {
		worker          modeler.Worker
		leaseDeadline   int64
		acknowledgedEnd int64
		maxWait         time.Duration
	}

	// clock relates a worker's clock to the local one.
	clockSample struct {
		receivedAt   time.Time // receipt of the sample
		workerMillis int64     // ms
	}
)

// ahead estimates the worker's clock at now plus d.
func (c clockSample) workerTimeAfter(now time.Time, d time.Duration) int64 {
	return c.workerMillis + (now.Sub(c.receivedAt) + d).Milliseconds()
}

// reaches returns the local time at which the worker's clock certainly shows
// value.
func (c clockSample) localTimeOf(value int64) time.Time {
	left := time.Duration(float64(value-c.workerMillis)/clockDrift) * time.Millisecond
	return c.receivedAt.Add(max(0, left) + leaseEndMargin)
}

// free is the room that is left.
func (w *worker) freeResources() modeler.Resources {
	return w.Capacity.Sub(w.used)
}

// isOpen says whether new tasks may be placed on the worker. While it runs what
// no task accounts for, the room that is left is not known.
func (w *worker) acceptsTasks(now time.Time) bool {
	return w.listed && w.polled && w.reachable && !w.Draining && w.cordonReason == "" && len(w.orphanedRuns) == 0 && !w.hasUnknownStart && !now.Before(w.suspectUntil)
}

// suspect keeps new tasks away for a while.
func (w *worker) markSuspect(now time.Time) {
	w.suspectUntil = now.Add(suspectTime)
}

// confirmed drops the ends that are stored and returns whether some are left.
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

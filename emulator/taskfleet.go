package emulator

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/requester"
	"github.com/coltsfootlever/coltsfootlever/supervisor"
)

type (
	// TaskFleet emulates workers that run tasks under leases and fencing tokens,
	// for package platform. It records violations of the rules for runs, such as
	// two runs of a task at the same time.
	TaskFleet struct {
		mu               sync.Mutex
		workers          map[string]*taskWorker
		acknowledgedDone map[modeler.TaskID]bool // tasks reported as done whose report was acknowledged while the worker's lease had not lapsed
		lapsedDone       map[modeler.TaskID]bool // tasks reported as done whose report was acknowledged after it had lapsed
		// RunOutcome returns how long a run takes and how it ends. A negative time
		// means that the run never ends.
		RunOutcome      func(id modeler.TaskID, run int) (time.Duration, modeler.EndKind)
		StartDelay      func(id modeler.TaskID, run int) time.Duration // delay of a start, whose response is then lost; 0 for a normal start
		LateStarts      bool                                           // a delayed start reaches the worker also if it has restarted under its ID by then
		MaxLease        time.Duration                                  // a longer lease is shortened to this; 0 for no limit
		StopTime        time.Duration                                  // time from a stop request to the end of the run
		ClockOffset     time.Duration                                  // by how much the wall clocks of workers that start from now on are ahead
		RemovedListTime time.Duration                                  // time for which a removed worker stays in the list of workers
		// ReportedLoad returns the load that a running task reports, given the
		// paces of all tasks on its worker. Nil reports zero.
		ReportedLoad func(id modeler.TaskID, pace map[modeler.TaskID]int) int
		// Checkpoint returns the last checkpoint of a run. Nil means that no run has
		// one.
		Checkpoint func(id modeler.TaskID, run int) string
		// CrashAfter reports whether a run crashes its worker, and how long after its
		// start. OnCrash then ends the worker; the default is Remove.
		CrashAfter func(id modeler.TaskID, run int) (after time.Duration, crashes bool)
		OnCrash    func(worker string)
		// Need returns what a task needs on its worker. Nil means that workers have
		// room for any number of tasks.
		Need          func(id modeler.TaskID) modeler.Resources
		CapacityGrace time.Duration // how long starts may rely on the capacity that a worker had before it shrank
		// CheckTicket reports whether a start has the permission of the advice service.
		// Nil means that no start needs one.
		CheckTicket func(w modeler.Worker, o modeler.StartOrder) bool
		// EvacuationTime is how long after the evacuation of a zone tasks may still start
		// there.
		EvacuationTime     time.Duration
		evacuatedSince     map[string]time.Time         // evacuated zones
		lostAt             map[modeler.TaskID]time.Time // since when tasks stand still whose run ended with its worker
		standstills        []time.Duration              // see Standstills
		lostRuns           map[modeler.TaskID]int       // runs of a task that ended with their worker
		crashCounts        map[modeler.TaskID]int       // workers that a task has crashed
		startsAfterCrashes map[modeler.TaskID]int       // starts of a task after it has crashed maxCrashes workers
		startCheckpoints   map[modeler.TaskID]string    // of each task's last start
		violations         []string
		startCounts        map[modeler.TaskID]int
		doneCounts         map[modeler.TaskID]int // runs that ended as done
		unacknowledgedDone map[modeler.TaskID]int // runs that ended as done on a worker that was removed, or whose lease lapsed, before the end was acknowledged
	}

	taskWorker struct {
		modeler.Worker
		startTime          time.Time
		unresponsive       bool
		unregistered       bool // not in the list of workers, because the registration has expired
		highestToken       int64
		leaseDeadline      int64
		runs               map[modeler.TaskID]*taskRun
		highestFinishedRun map[modeler.TaskID]int // highest run number that ended or was stopped
		ended              []modeler.EndedTask
		endCounter         int64
		lapsedEnds         int64 // ends up to this number were not acknowledged before the lease lapsed
		changed            chan struct{}
		earlierCapacities  []earlierCapacity
	}

	taskRun struct {
		number        int
		cancelTimer   func()
		startTime     time.Time
		pacePercent   int
		stopRequested bool // a stop of the run was requested
	}
)

// errNoResponse is the error of a call to a worker that does not respond.
var errNoResponse = &requester.Error{MaybeSent: true, Err: errors.New("no answer")}

const (
	noResponseTimeout = 300 * time.Millisecond // after this time a call without response fails
	defaultStopTime   = 100 * time.Millisecond // default of TaskFleet.StopTime
	fullPacePercent   = 100
	maxReportedEnds   = 500                    // a report contains at most this many ended runs
	startupTime       = 500 * time.Millisecond // after this time a task reports that its start is complete
	clockStartMs      = 1_000_000              // milliseconds that a worker's own clock shows when the worker starts; not zero, and unrelated to the wall clock
)

// NewTaskFleet returns a fleet without workers. See TaskFleet.RunOutcome for
// runOutcome.
func NewTaskFleet(runOutcome func(id modeler.TaskID, run int) (time.Duration, modeler.EndKind)) *TaskFleet {
	return &TaskFleet{
		StopTime: defaultStopTime, workers: make(map[string]*taskWorker), acknowledgedDone: make(map[modeler.TaskID]bool), lapsedDone: make(map[modeler.TaskID]bool), RunOutcome: runOutcome,
		evacuatedSince: make(map[string]time.Time), lostAt: make(map[modeler.TaskID]time.Time),
		startCounts: make(map[modeler.TaskID]int), startCheckpoints: make(map[modeler.TaskID]string), doneCounts: make(map[modeler.TaskID]int),
		unacknowledgedDone: make(map[modeler.TaskID]int), crashCounts: make(map[modeler.TaskID]int), lostRuns: make(map[modeler.TaskID]int), startsAfterCrashes: make(map[modeler.TaskID]int),
	}
}

// Add starts a worker.
func (f *TaskFleet) Add(w modeler.Worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w.StartTimeMs = time.Now().Add(f.ClockOffset).UnixMilli()
	f.workers[w.ID] = &taskWorker{
		Worker: w, startTime: time.Now(), runs: make(map[modeler.TaskID]*taskRun), highestFinishedRun: make(map[modeler.TaskID]int),
		changed: make(chan struct{}),
	}
}

// Remove ends a worker and its runs. The worker stays in the list for
// RemovedListTime.
func (f *TaskFleet) Remove(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	if w == nil {
		return
	}
	for id, r := range w.runs {
		r.cancelTimer()
		f.lostRuns[id]++
		f.lostAt[id] = time.Now()
	}
	f.forgetEnds(w) // reports that were not acknowledged are lost when the worker is removed
	if f.RemovedListTime == 0 {
		delete(f.workers, id)
		return
	}
	w.unresponsive, w.runs = true, make(map[modeler.TaskID]*taskRun)
	time.AfterFunc(f.RemovedListTime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.workers[id] == w {
			delete(f.workers, id)
		}
	})
}

// RestartUnderSameID ends a worker and its runs and starts it again with the same
// ID. It then knows nothing of before.
func (f *TaskFleet) RestartUnderSameID(id string) {
	f.mu.Lock()
	w := f.workers[id].Worker
	f.mu.Unlock()
	f.Remove(id)
	f.Add(w)
}

// SetUnresponsive sets whether calls to a worker get no response; its runs
// continue. It has no effect on a worker that is no longer in the list.
func (f *TaskFleet) SetUnresponsive(id string, unresponsive bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w := f.workers[id]; w != nil {
		w.unresponsive = unresponsive
	}
}

// SetRegistered sets whether a worker is in the list of workers. One that is cut
// off from the store is not, while its runs continue.
func (f *TaskFleet) SetRegistered(id string, registered bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].unregistered = !registered
}

// SetEvacuated sets whether the operator has evacuated a zone. A start there after
// EvacuationTime is a violation.
func (f *TaskFleet) SetEvacuated(zone string, evacuated bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.evacuatedSince, zone)
	if evacuated {
		f.evacuatedSince[zone] = time.Now()
	}
}

// SetDraining makes a worker report that it is about to leave.
func (f *TaskFleet) SetDraining(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].Draining = true
}

// Violations returns the recorded violations.
func (f *TaskFleet) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.violations
}

// RunCountOfJob returns the number of current runs of a job.
func (f *TaskFleet) RunCountOfJob(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, w := range f.workers {
		for id := range w.runs {
			if id.Job == job {
				n++
			}
		}
	}
	return n
}

// StoppingRunCount returns the number of runs whose stop was requested and that
// have not ended.
func (f *TaskFleet) StoppingRunCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, w := range f.workers {
		for _, r := range w.runs {
			if r.stopRequested {
				n++
			}
		}
	}
	return n
}

// RunCountOfJobPrefix returns the number of current runs of the jobs whose ID has
// the prefix.
func (f *TaskFleet) RunCountOfJobPrefix(prefix string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, w := range f.workers {
		for id := range w.runs {
			if strings.HasPrefix(id.Job, prefix) {
				n++
			}
		}
	}
	return n
}

// RunningTasks returns the running tasks by worker ID.
func (f *TaskFleet) RunningTasks() map[string][]modeler.TaskID {
	f.mu.Lock()
	defer f.mu.Unlock()
	tasks := make(map[string][]modeler.TaskID, len(f.workers))
	for name, w := range f.workers {
		for id := range w.runs {
			tasks[name] = append(tasks[name], id)
		}
	}
	return tasks
}

// SuccessfulRuns returns the number of runs of a task that ended as done.
func (f *TaskFleet) SuccessfulRuns(id modeler.TaskID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.doneCounts[id]
}

// SetStartDelay changes StartDelay while the fleet is in use.
func (f *TaskFleet) SetStartDelay(delay func(id modeler.TaskID, run int) time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.StartDelay = delay
}

// RunCountOnWorker returns the number of current runs on a worker.
func (f *TaskFleet) RunCountOnWorker(worker string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w := f.workers[worker]; w != nil {
		return len(w.runs)
	}
	return 0
}

// StartedRuns returns the number of runs of a task that were started.
func (f *TaskFleet) StartedRuns(id modeler.TaskID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.startCounts[id]
}

// StartCheckpoint returns the checkpoint with which a task was last started.
func (f *TaskFleet) StartCheckpoint(id modeler.TaskID) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.startCheckpoints[id]
}

// checkpointOf returns the last checkpoint of a run.
func (f *TaskFleet) checkpointOf(id modeler.TaskID, run int) string {
	if f.Checkpoint == nil {
		return ""
	}
	return f.Checkpoint(id, run)
}

// Workers returns the list of workers.
func (f *TaskFleet) Workers(ctx context.Context) ([]modeler.Worker, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []modeler.Worker
	for _, w := range f.workers {
		if !w.unregistered {
			list = append(list, w.Worker)
		}
	}
	return list, ctx.Err()
}

// addViolation records a violation.
func (f *TaskFleet) addViolation(format string, args ...any) {
	f.violations = append(f.violations, fmt.Sprintf(format, args...))
}

// respondingWorker returns the worker that a call is for. It fails after
// noResponseTimeout if the worker does not respond, or if info names another
// address than its present one.
func (f *TaskFleet) respondingWorker(ctx context.Context, info modeler.Worker) (*taskWorker, error) {
	f.mu.Lock()
	w := f.workers[info.ID]
	noResponse := w == nil || w.unresponsive || info.Address != "" && info.Address != w.Address
	f.mu.Unlock()
	if noResponse {
		if err := supervisor.Pause(ctx, noResponseTimeout); err != nil {
			return nil, err
		}
		return nil, errors.Annotatef(errNoResponse, "worker %s", info.ID)
	}
	return w, ctx.Err()
}

// clockMs returns the time of the worker's own clock in milliseconds.
func (w *taskWorker) clockMs() int64 {
	return clockStartMs + time.Since(w.startTime).Milliseconds()
}

// acceptToken reports whether a fencing token is at least as high as the highest
// so far, and stores it if so.
func (w *taskWorker) acceptToken(token int64) bool {
	if token < w.highestToken {
		return false
	}
	w.highestToken = token
	return true
}

// notifyChange wakes the RenewAndPoll calls that wait for a run to end.
func (w *taskWorker) notifyChange() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// Start starts a run on a worker and returns the time of the worker's clock.
func (f *TaskFleet) Start(ctx context.Context, info modeler.Worker, o modeler.StartOrder) (int64, error) {
	w, err := f.respondingWorker(ctx, info)
	if err != nil {
		return 0, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.lapsedDone[o.Task]
	if f.StartDelay != nil {
		if delay := f.StartDelay(o.Task, o.Run); delay > 0 {
			time.AfterFunc(delay, func() {
				f.mu.Lock()
				defer f.mu.Unlock()
				if present := f.workers[w.ID]; present == w || present != nil && f.LateStarts {
					_ = f.startRun(present, o, known) // the caller has already received errNoResponse, so the result is dropped
				}
			})
			return 0, errNoResponse
		}
	}
	return w.clockMs(), f.startRun(w, o, known)
}

// startRun starts a run. It refuses the start if the fencing token or the run
// number is outdated or the lease has expired. Repeating the start of a current run has no effect.
// known says that the task was known to be done when the start was sent.
func (f *TaskFleet) startRun(w *taskWorker, o modeler.StartOrder, known bool) error {
	if !w.acceptToken(o.FencingToken) {
		return modeler.ErrFenced
	}
	if r := w.runs[o.Task]; r != nil && r.number == o.Run {
		return nil
	}
	f.forgetLapsedEnds()
	f.extendLease(w, o.DeadlineMs)
	switch {
	case o.Run <= w.highestFinishedRun[o.Task]:
		return modeler.ErrStaleRun
	case o.DeadlineMs <= w.clockMs():
		return modeler.ErrLeaseExpired
	case f.CheckTicket != nil && !f.CheckTicket(w.Worker, o):
		return modeler.ErrInvalidTicket
	}
	f.checkStart(w, o, known)
	f.noteRestart(o.Task)
	f.startCounts[o.Task]++
	f.startCheckpoints[o.Task] = o.Checkpoint
	duration, endKind := f.RunOutcome(o.Task, o.Run)
	r := &taskRun{number: o.Run, startTime: time.Now(), cancelTimer: func() {}, pacePercent: fullPacePercent}
	w.runs[o.Task] = r
	if duration >= 0 {
		timer := time.AfterFunc(duration, func() { f.endRun(w, o.Task, r, endKind) })
		r.cancelTimer = func() { timer.Stop() }
	}
	f.scheduleCrash(w, o.Task, r)
	f.endRunsAtLeaseExpiry(w)
	return nil
}

// checkStart records a violation if the task is already done or runs on any
// worker, has crashed too many workers, or does not fit on this one.
func (f *TaskFleet) checkStart(w *taskWorker, o modeler.StartOrder, known bool) {
	if f.acknowledgedDone[o.Task] || known {
		f.addViolation("task %s starts although it is done", o.Task)
	}
	for _, other := range f.workers {
		if _, ok := other.runs[o.Task]; ok {
			f.addViolation("task %s starts on %s while it runs on %s", o.Task, w.ID, other.ID)
		}
	}
	if since, ok := f.evacuatedSince[w.Zone]; ok && time.Since(since) > f.EvacuationTime {
		f.addViolation("task %s starts on %s in zone %s, which was evacuated %s ago", o.Task, w.ID, w.Zone, time.Since(since).Round(time.Millisecond))
	}
	f.checkCrashes(o.Task)
	f.checkCapacity(w, o.Task)
}

// endRun ends a run if it is still current.
func (f *TaskFleet) endRun(w *taskWorker, id modeler.TaskID, r *taskRun, endKind modeler.EndKind) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.workers[w.ID] == w && w.runs[id] == r {
		f.recordEnd(w, id, r, endKind)
	}
}

// recordEnd moves a run to the list of ended runs that the worker reports.
func (f *TaskFleet) recordEnd(w *taskWorker, id modeler.TaskID, r *taskRun, endKind modeler.EndKind) {
	delete(w.runs, id)
	w.highestFinishedRun[id] = max(w.highestFinishedRun[id], r.number)
	w.endCounter++
	w.ended = append(w.ended, modeler.EndedTask{Number: w.endCounter, Task: id, Run: r.number, EndKind: endKind, Checkpoint: f.checkpointOf(id, r.number)})
	if endKind == modeler.EndDone {
		f.doneCounts[id]++
		f.forgetLapsedEnds()
		if n := f.doneCounts[id] - f.unacknowledgedDone[id]; n > 1 {
			f.addViolation("task %s was done %d times", id, n)
		}
	}
	w.notifyChange()
}

// Stop requests a run to stop; it ends after StopTime.
func (f *TaskFleet) Stop(ctx context.Context, info modeler.Worker, task modeler.TaskID, run int, token int64) error {
	w, err := f.respondingWorker(ctx, info)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !w.acceptToken(token) {
		return modeler.ErrFenced
	}
	w.highestFinishedRun[task] = max(w.highestFinishedRun[task], run)
	if r := w.runs[task]; r != nil && r.number == run {
		r.cancelTimer()
		r.stopRequested = true
		time.AfterFunc(f.StopTime, func() { f.endRun(w, task, r, modeler.EndStopped) })
	}
	return nil
}

// SetPace sets the pace of a run in percent.
func (f *TaskFleet) SetPace(ctx context.Context, info modeler.Worker, task modeler.TaskID, run, percent int, token int64) error {
	w, err := f.respondingWorker(ctx, info)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !w.acceptToken(token) {
		return modeler.ErrFenced
	}
	if r := w.runs[task]; r != nil && r.number == run {
		r.pacePercent = percent
	}
	return nil
}

// PaceOf returns the pace of a running task in percent, 0 when the task does not
// run.
func (f *TaskFleet) PaceOf(task modeler.TaskID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		if r := w.runs[task]; r != nil {
			return r.pacePercent
		}
	}
	return 0
}

// RenewAndPoll extends the lease of a worker, acknowledges the ended runs whose number is
// at most seen and returns the worker's report. If no ended run is left to report,
// it first waits for one, at most for wait. A worker that started at another time than
// info.StartTimeMs ignores deadline and seen, unless that is 0.
func (f *TaskFleet) RenewAndPoll(ctx context.Context, info modeler.Worker, deadline, token, seen int64, wait time.Duration) (modeler.Report, error) {
	w, err := f.respondingWorker(ctx, info)
	if err != nil {
		return modeler.Report{}, err
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	if info.StartTimeMs != 0 && info.StartTimeMs != w.StartTimeMs {
		deadline, seen = 0, 0
	}
	if err := f.renewLease(w, deadline, token, seen); err != nil {
		return modeler.Report{}, err
	}
	for {
		f.mu.Lock()
		changed, waiting := w.changed, len(w.ended) == 0 && f.workers[w.ID] == w && !w.unresponsive
		f.mu.Unlock()
		if !waiting {
			break
		}
		select {
		case <-ctx.Done():
			return modeler.Report{}, ctx.Err()
		case <-changed:
			continue
		case <-timeout.C:
		}
		break
	}
	f.mu.Lock()
	ended := f.workers[w.ID] != w
	f.mu.Unlock()
	if ended { // the end of the worker breaks the connection
		return modeler.Report{}, errors.Annotatef(errNoResponse, "worker %s", info.ID)
	}
	if _, err := f.respondingWorker(ctx, info); err != nil {
		return modeler.Report{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.buildReport(w), nil
}

// renewLease extends the worker's lease and drops the ended runs whose number is
// at most seen, because the caller has acknowledged them.
func (f *TaskFleet) renewLease(w *taskWorker, deadline, token, seen int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !w.acceptToken(token) {
		return modeler.ErrFenced
	}
	f.forgetLapsedEnds()
	f.extendLease(w, deadline)
	kept := w.ended[:0]
	for _, e := range w.ended {
		if e.Number > seen {
			kept = append(kept, e)
		} else if e.EndKind == modeler.EndDone {
			f.noteDone(w, e)
		}
	}
	w.ended = kept
	return nil
}

// buildReport returns the running tasks and the unacknowledged ended runs of a worker.
func (f *TaskFleet) buildReport(w *taskWorker) modeler.Report {
	paces := make(map[modeler.TaskID]int, len(w.runs))
	for id, run := range w.runs {
		paces[id] = run.pacePercent
	}
	r := modeler.Report{StartTimeMs: w.StartTimeMs, ClockMs: w.clockMs(), Ended: append([]modeler.EndedTask(nil), w.ended[:min(len(w.ended), maxReportedEnds)]...)}
	for id, run := range w.runs {
		percent := 0
		if time.Since(run.startTime) > startupTime {
			percent = 100
		}
		load := 0
		if f.ReportedLoad != nil {
			load = f.ReportedLoad(id, paces)
		}
		r.Running = append(r.Running, modeler.RunningTask{Task: id, Run: run.number, Checkpoint: f.checkpointOf(id, run.number), Percent: percent, Metric: load})
	}
	return r
}

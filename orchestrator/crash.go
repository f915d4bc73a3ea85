package orchestrator

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/coltsfootlever/coltsfootlever/assigner"
	"github.com/coltsfootlever/coltsfootlever/investigator"
	"github.com/coltsfootlever/coltsfootlever/meter"
	"github.com/coltsfootlever/coltsfootlever/modeler"
)

const (
	// maxIsolatingShare is the maximum share of a pool's workers that may be kept for
	// tasks that need isolation.
	maxIsolatingShare = 0.25

	// harmlessAfter is how long a run of a long-running task must work for a crash of its
	// worker not to count, and for earlier ones to be forgotten. Otherwise the task would
	// be given up because of failures of its instances that are weeks apart. Later crashes
	// count if they come after equal work, see investigator.Suspicion.LateCrashes.
	harmlessAfter = 5 * time.Second

	// maxKeepTime is how long a worker is kept for a task that needs isolation. The task
	// may also wait for something else, such as its customer's limit.
	maxKeepTime = 3 * time.Second

	coincidenceTime = 100 * time.Millisecond // workers that stop responding within this time have probably failed for one reason
	crashMemory     = 15 * time.Second       // a crash is assessed within this time

	minClearancePollWait = 50 * time.Millisecond // shortest wait of a poll that is to tell whether a run is cleared
	maxLoggedSuspects    = 10                    // tasks in the log line of a crash
)

// recentCrash is a worker that has crashed and the time when it stopped responding.
type recentCrash struct {
	worker string
	at     time.Time
}

// investigatedRun describes the present run of the task to the investigator.
func (t *task) investigatedRun(now time.Time) investigator.Run {
	return investigator.Run{
		Suspicion: t.suspicion, StartUnconfirmed: t.phase == starting || t.phase == outcomeUnknown, WorkUnknown: t.step.LongRunning && t.phase == adopted,
		Listed: t.listedFor, Worked: t.worker.longestWorkOf(t, now),
	}
}

// isCleared reports whether a crash of the task's worker is probably not due to its
// present run.
func (t *task) isCleared() bool {
	return investigator.Run{Suspicion: t.suspicion, Listed: t.listedFor}.IsCleared()
}

// needsIsolation reports whether the task may start only beside cleared runs. The
// members of a gang start together and can't wait for one worker each.
func (t *task) needsIsolation() bool {
	return t.suspicion.NeedsIsolation() && !t.step.Gang
}

// assessCrash updates the suspicion of those of the tasks that may have crashed
// their worker, which has ended, unless its end was planned. The caller requeues them.
func (e *Engine) assessCrash(w *worker, ended []*task, reason string) {
	var tasks []*task
	for _, t := range ended {
		if e.mayHaveCrashedItsWorker(t) {
			tasks = append(tasks, t)
		}
	}
	late := lateSuspects(w, ended)
	if len(tasks)+len(late) == 0 || e.mayHaveEndedAsPlanned(w) {
		return
	}
	now := time.Now()
	runs := make([]investigator.Run, len(tasks))
	for i, t := range tasks {
		t.dropAssumedCrash()
		runs[i] = t.investigatedRun(now)
	}
	var suspects []string
	coincides := e.crashCoincides(w)
	for i, s := range investigator.AssessCrash(runs, coincides) {
		t := tasks[i]
		t.suspicion = s
		e.markUnstored(t.step.occurrence.job)
		if s.IsOnProbation() && len(suspects) < maxLoggedSuspects {
			suspects = append(suspects, fmt.Sprintf("%s:%d", t.id, s.Score()))
		}
	}
	if !coincides {
		e.assessLateCrash(w, late, now)
		tasks = append(tasks, late...)
	}
	meter.CountWorkerCrash()
	e.log.Info("worker has crashed under its tasks", "worker", w.ID, "instance", w.Instance, "pool", w.Pool, "reason", reason, "tasks", len(tasks), "coincides", coincides, "suspects", strings.Join(suspects, " "))
	for _, t := range tasks {
		e.giveUpIfConclusive(t)
	}
}

// lateSuspects returns those of the tasks of a crashed worker that are long-running and
// had worked for longer than harmlessAfter, but not for long.
func lateSuspects(w *worker, ended []*task) []*task {
	var late []*task
	for _, t := range ended {
		if t.step.LongRunning && t.listedFor >= harmlessAfter && t.listedFor < investigator.MaxLateWork {
			late = append(late, t)
		}
	}
	return late
}

// assessLateCrash updates the suspicion of long-running tasks that had worked for some
// time on a worker that has crashed.
func (e *Engine) assessLateCrash(w *worker, late []*task, now time.Time) {
	for _, t := range late {
		t.suspicion = t.suspicion.AfterLateCrash(w.longestWorkOf(t, now))
		e.markUnstored(t.step.occurrence.job)
	}
}

// crashCoincides reports whether another worker stopped responding at the same time
// as w, and records the time for the crashes that are assessed later.
func (e *Engine) crashCoincides(w *worker) bool {
	at := w.unreachableSince
	if w.reachable {
		at = time.Now()
	}
	coincides := func(other time.Time) bool { return other.Sub(at).Abs() <= coincidenceTime }
	e.recentCrashes = slices.DeleteFunc(e.recentCrashes, func(c recentCrash) bool { return at.Sub(c.at) > crashMemory })
	found := slices.ContainsFunc(e.recentCrashes, func(c recentCrash) bool { return c.worker != w.ID && coincides(c.at) })
	e.recentCrashes = append(e.recentCrashes, recentCrash{w.ID, at})
	for _, other := range e.workersByID {
		found = found || other != w && !other.reachable && other.polled && coincides(other.unreachableSince) && !e.mayHaveEndedAsPlanned(other)
	}
	return found
}

// giveUpIfConclusive fails the job of a task that has crashed too many workers.
func (e *Engine) giveUpIfConclusive(t *task) {
	j := t.step.occurrence.job
	if !t.suspicion.IsConclusive() || j.state.IsFinal() {
		return
	}
	meter.CountTaskGivenUp()
	e.endJob(j, modeler.Failed, fmt.Sprintf("task %s crashed its workers: %d have crashed under it", t.id.IDWithinJob(), t.suspicion.Crashes+t.suspicion.Unconfirmed+t.suspicion.LateCrashes))
}

// assessRestartBeforeTerm updates the suspicion of inherited tasks whose worker has
// restarted under its ID since they were placed and doesn't list their runs.
func (e *Engine) assessRestartBeforeTerm(w *worker, listed map[runID]bool) {
	var ended []*task
	for id, t := range w.tasks {
		if t.placementBoot != 0 && t.placementBoot != w.StartTimeMs && !listed[runID{id, t.run}] {
			ended = append(ended, t)
		}
	}
	e.assessCrash(w, ended, "reborn before this term")
}

// mayHaveEndedAsPlanned reports whether a worker that has ended may have been shut
// down, or its instance moved or maintained.
func (e *Engine) mayHaveEndedAsPlanned(w *worker) bool {
	if _, ok := e.planner.orders.fromEarlierTerm[w.Instance]; ok || w.Draining {
		return true
	}
	i := e.planner.instances[w.Instance]
	if i == nil {
		return false
	}
	return i.plan != noPlan && i.phase >= ordering || i.State == modeler.InstanceMoving || i.State == modeler.InstanceInMaintenance ||
		w.Pool != "" && i.Pool != w.Pool // the pool of a worker that was not listed in this term is not known
}

// mayHaveCrashedItsWorker reports whether a crash of the task's worker counts. That of
// a long-running task whose start another leader has sent counts only if the task was
// placed so late that it can't have worked for harmlessAfter.
func (e *Engine) mayHaveCrashedItsWorker(t *task) bool {
	switch {
	case t.phase == placed:
		return false
	case t.step.LongRunning && t.phase == adopted:
		return !t.placedAt.IsZero() && e.latestCrash(t).Sub(t.placedAt) < harmlessAfter
	}
	return !t.step.LongRunning || t.listedFor < harmlessAfter
}

// latestCrash returns the latest time of day at which the worker of an inherited task
// can have crashed: it was before a later process started on its instance.
func (e *Engine) latestCrash(t *task) time.Time {
	latest := e.cfg.WallClock()
	for _, w := range e.workersByID {
		if started := time.UnixMilli(w.StartTimeMs); w.Instance == t.worker.Instance && w.StartTimeMs > t.placementBoot && started.Before(latest) {
			latest = started
		}
	}
	return latest
}

// assumeUnstoredCrashes assumes a crash for each task of an inherited job under which
// the previous leader may have seen a worker crash without storing it. There is at most
// one such crash in an outage of the store: the task isn't started again before it is
// stored, see hasHistory.
//
// Occurrences that are due later than until, by the clock of this entry node, have not
// been started by the previous leader.
func (j *job) assumeUnstoredCrashes(until time.Time) {
	j.crashesAssumed = until
	for _, o := range j.occurrences {
		if o.due.Before(until) {
			o.forEachTask((*task).assumeUnstoredCrash)
		}
	}
}

// assumeUnstoredCrash assumes a crash for a task of an inherited job, see
// job.assumeUnstoredCrashes.
func (t *task) assumeUnstoredCrash() {
	if t.phase != done && !t.hasHistory() {
		t.suspicion.Unknown, t.crashAssumed, t.step.occurrence.job.historyUnstored = 1, true, true
	}
}

// dropAssumedCrash reverts assumeUnstoredCrashes for a task that the previous leader
// placed, once its worker lists the run or has crashed: that is the crash, if there was
// one.
func (t *task) dropAssumedCrash() {
	if t.crashAssumed && t.phase == adopted {
		t.suspicion.Unknown--
		t.crashAssumed = false
	}
}

// isSuspect reports whether workers are known to have crashed under the task.
func (t *task) isSuspect() bool {
	return t.suspicion.Score()+t.suspicion.LateCrashes > 0
}

// hasHistory reports whether workers have or may have crashed under the task. It starts
// only once its placement is stored with that, since a crashed worker tells the next
// leader nothing. A task under which this leader merely assumes a crash need not wait:
// otherwise all inherited work stops in an outage after a change of leader.
func (t *task) hasHistory() bool {
	return t.isSuspect() || t.suspicion.Unknown > 0
}

// storeAssumedCrashes stores the jobs of which assumed crashes are not stored. The
// next leader assumes none after a handover record.
func (e *Engine) storeAssumedCrashes() {
	for _, j := range e.jobs {
		j.buildTasksWithAssumedCrashes()
		if j.historyUnstored {
			e.markUnstored(j)
		}
	}
}

// buildTasksWithAssumedCrashes builds the tasks for which a crash is assumed, so that the
// job's record contains them.
func (j *job) buildTasksWithAssumedCrashes() {
	for _, o := range j.occurrences {
		if !o.due.Before(j.crashesAssumed) {
			continue
		}
		for _, s := range o.steps {
			s.buildTasks(s.Count)
		}
	}
}

// forgetCrashes clears the suspicion of a long-running task that has worked for
// harmlessAfter, and longer than before the late crashes of its workers.
func (e *Engine) forgetCrashes(t *task) {
	if t.suspicion == (investigator.Suspicion{}) || !t.step.LongRunning || t.listedFor < harmlessAfter {
		return
	}
	if s := t.suspicion.AfterLongWork(t.listedFor); s != t.suspicion {
		t.suspicion = s
		e.markUnstored(t.step.occurrence.job)
	}
}

// clearancePollWait returns how long the worker may hold the next poll, so that its
// report clears the runs of tasks on probation soon. It is at most wait.
func (w *worker) clearancePollWait(wait time.Duration) time.Duration {
	for _, t := range w.tasks {
		if t.suspicion.IsOnProbation() && !t.isCleared() {
			wait = min(wait, max(minClearancePollWait, t.suspicion.Clearance()-t.listedFor))
		}
	}
	return wait
}

// keepFor excludes all other tasks from the worker until the task is placed.
func (w *worker) keepFor(t *task, now time.Time) {
	w.keptFor, w.keptSince, t.keptWorker = t, now, w
}

// releaseKeptWorker lets other tasks use the worker that is kept for the task.
func (t *task) releaseKeptWorker() {
	if t.keptWorker != nil {
		t.keptWorker.keptFor, t.keptWorker = nil, nil
	}
}

// probationView tells which tasks on probation a worker may take in a placement
// pass.
type probationView struct {
	suspect      *task // task on probation whose run is not cleared; nil if there is none
	anyUncleared bool  // some run is not cleared
}

// isIsolating reports whether the worker takes no further task.
func (v *probationView) isIsolating() bool {
	return v.suspect != nil && v.suspect.needsIsolation()
}

// add adds a task of the worker to the view.
func (v *probationView) add(t *task) {
	if t.isCleared() {
		return
	}
	v.anyUncleared = true
	if t.suspicion.IsOnProbation() && (v.suspect == nil || t.needsIsolation()) {
		v.suspect = t
	}
}

// probationView returns the view of the worker in a placement pass.
func (w *worker) probationView() probationView {
	var v probationView
	for _, t := range w.tasks {
		v.add(t)
	}
	return v
}

// admits reports whether the task may be placed on worker i as far as tasks that are
// suspected of crashing their workers are concerned.
func (v *poolView) admits(t *task, i int) bool {
	if k := v.workers[i].keptFor; k != nil && k != t {
		return false
	}
	p := &v.probations[i]
	switch {
	case p.suspect != nil && p.suspect.needsIsolation():
		return false
	case t.step.Gang || t.step.LongRunning && !t.needsIsolation():
		return true // all of them are wanted at once
	case t.suspicion.IsOnProbation() && p.suspect != nil:
		return false
	}
	return !t.needsIsolation() || !p.anyUncleared
}

// keepWorkerForIsolation keeps a worker for a task that needs isolation, unless too
// many of the pool are kept already. The runs there are cleared or end soon, since
// no new ones start.
func (p *placementPass) keepWorkerForIsolation(t *task, view *poolView) {
	if !t.needsIsolation() || t.keptWorker != nil {
		return
	}
	isolating := 0
	for i, w := range view.workers {
		if s := view.probations[i].suspect; w.keptFor != nil || s != nil && s.needsIsolation() {
			isolating++
		}
	}
	if isolating >= max(1, int(maxIsolatingShare*float64(len(view.workers)))) {
		return
	}
	i := assigner.ChooseWorkerToKeepFree(view.assignerViews, t.step.assignerRequest(), func(i int) int {
		if view.workers[i].keptFor != nil || view.probations[i].suspect != nil {
			return -1
		}
		return t.step.countSameStepTasks(view.workers[i])
	})
	if i < 0 {
		return
	}
	w := view.workers[i]
	w.keepFor(t, p.now)
	view.anyKept, view.full = true, false
	view.updateIndex(i)
	p.engine.log.Info("worker kept for a task that may crash it", "task", t.id.String(), "worker", w.ID, "tasks", len(w.tasks), "crashes", t.suspicion.Crashes, "unconfirmed", t.suspicion.Unconfirmed, "sole-suspect", t.suspicion.SoleSuspect)
}

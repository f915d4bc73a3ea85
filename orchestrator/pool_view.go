package orchestrator

import (
	"slices"
	"strings"

	"github.com/coltsfootlever/coltsfootlever/assigner"
	"github.com/coltsfootlever/coltsfootlever/modeler"
)

// poolView is the state of one pool in a placement pass: its workers that
// accept tasks and, for each of them, the view that the assigner chooses from.
type poolView struct {
	pool                  *poolState
	workers               []*worker
	usable                int64 // CPU for tasks that are not long-running, in thousandths of a core
	assignerViews         []*assigner.Worker
	probations            []probationView
	slow                  []*assigner.Worker      // that are slower than others; the index doesn't contain them
	unplaceable           []modeler.Resources     // resource requests for which no worker was found, of tasks without further requirements
	full                  bool                    // no step that needsOnlyRoom can be placed
	cpuInAdvance          int64                   // needed by steps that wait for room, for which tickets are requested in advance
	anyKept               bool                    // some worker is kept for a task that needs isolation
	keptFree              int                     // number of workers kept free for tasks that wait for room
	near                  map[string]*nearWorkers // by rack, of racks for which tasks may wait
	waitChecked, mustWait bool                    // cached result of Engine.mustWaitForWorkers
}

// poolView returns the state of a pool in this pass.
func (p *placementPass) poolView(pool *poolState) *poolView {
	v := &pool.view
	if pool.viewedIn == p {
		return v
	}
	pool.viewedIn = p
	*v = poolView{pool: pool, workers: v.workers[:0], assignerViews: v.assignerViews[:0], probations: v.probations[:0], unplaceable: v.unplaceable[:0]}
	for _, w := range pool.workers {
		if !w.acceptsTasks(p.now) {
			pool.index.Remove(&w.view.Worker)
			continue
		}
		if w.keptFor != nil && p.now.Sub(w.keptSince) > maxKeepTime {
			w.keptFor.releaseKeptWorker()
		}
		v.anyKept = v.anyKept || w.keptFor != nil
		v.usable += w.usableCPU()
		if late := p.engine.unanswered.roomFor(w.ID, p.now); !w.view.upToDate || w.view.late != late {
			w.updateView(late)
		}
		w.view.Unavailable, w.view.EvacuationDue = false, p.engine.isMaintenanceDue(w.Instance)
		v.workers, v.assignerViews, v.probations = append(v.workers, w), append(v.assignerViews, &w.view.Worker), append(v.probations, w.view.probation)
		if w.view.Slowdown > 1 {
			v.slow = append(v.slow, &w.view.Worker)
		}
		v.updateIndex(len(v.workers) - 1)
	}
	return v
}

// updateView updates the view of the worker for placement passes. late is what late starts
// may take there.
func (w *worker) updateView(late modeler.Resources) {
	v := &w.view
	v.upToDate, v.late, v.probation = true, late, w.probationView()
	v.Name, v.Free, v.Capacity, v.Retained, v.Labels, v.Rack = w.ID, w.unreservedResources().Sub(late), w.Capacity, w.reservedResources(), w.Labels, modeler.RackLabel(w.Labels)
	v.Slowdown = w.speed.slowdown
	v.LatencyTasks, v.IdleCPUTasks, v.LongRunningTasks, v.Suspects = 0, 0, 0, 0
	for _, t := range w.tasks {
		v.AddTasks(t.step.Step, 1)
		if t.isSuspect() {
			v.Suspects++
		}
	}
}

// updateIndex updates the index of the pool after a change of worker i. It contains
// the workers that take tasks without further requirements, see admits.
func (v *poolView) updateIndex(i int) {
	if w := v.workers[i]; v.assignerViews[i].Unavailable || w.view.Slowdown > 1 || w.keptFor != nil || v.probations[i].isIsolating() {
		v.pool.index.Remove(&w.view.Worker)
	} else {
		v.pool.index.Put(&w.view.Worker)
	}
}

// chooseWorker returns the index of the worker for a task, or -1 if no worker can take
// it. plain tells that any worker with room may.
func (v *poolView) chooseWorker(t *task, plain bool) int {
	s, request := t.step, t.assignerRequest()
	if plain && request.NeedsOnlyResources() {
		if w := v.pool.index.Choose(request.Resources); w != nil {
			i, _ := slices.BinarySearchFunc(v.assignerViews, w.Name, func(w *assigner.Worker, name string) int { return strings.Compare(w.Name, name) })
			return i
		}
		if len(v.slow) == 0 {
			return -1
		}
	}
	return assigner.ChooseWorker(v.assignerViews, request, func(i int) int {
		if !v.admits(t, i) || t.confinedTo != nil && t.confinedTo != v.workers[i] {
			return -1
		}
		return s.countSameStepTasks(v.workers[i])
	})
}

// addUnplaceable records that no worker has room for a request of a task without
// further requirements, and whether none has for the least request of the pool's
// waiting tasks. The latter doesn't hold for the rest of the pass if the task that a
// worker is kept for is placed elsewhere.
func (v *poolView) addUnplaceable(request modeler.Resources) {
	v.unplaceable = append(v.unplaceable, request)
	fits := func(w *assigner.Worker) bool { return !w.Unavailable && v.pool.leastNeed.Fits(w.Free) }
	v.full = !v.anyKept && v.pool.index.Choose(v.pool.leastNeed) == nil && !slices.ContainsFunc(v.slow, fits)
}

// isKnownUnplaceable reports whether a request for at most these resources has
// already failed in this pass.
func (v *poolView) isKnownUnplaceable(request modeler.Resources) bool {
	return slices.ContainsFunc(v.unplaceable, func(failed modeler.Resources) bool { return failed.Fits(request) })
}

// mayHaveRoomForGang reports whether the workers of the pool together have room for all
// tasks of a gang. It spares the attempt to place many if they don't.
func (v *poolView) mayHaveRoomForGang(s *step) bool {
	left := s.Count
	for i, w := range v.assignerViews {
		if !w.Unavailable && s.acceptsLabels(v.workers[i]) {
			left -= s.roomOn(v.workers[i], w)
		}
		if left <= 0 {
			return true
		}
	}
	return false
}

// releaseReservation releases the resources that a worker has reserved for a
// task, before the task is placed, so that the task can use them.
func (v *poolView) releaseReservation(t *task) {
	w := t.reservedOn
	if w == nil {
		return
	}
	w.cancelReservation(t)
	if i := slices.Index(v.workers, w); i >= 0 {
		view := v.assignerViews[i]
		view.Free = view.Free.Add(t.step.ReservedResources())
		view.Retained = view.Retained.Sub(t.step.ReservedResources())
		v.unplaceable, v.full = nil, false
		v.updateIndex(i)
	}
}

package orchestrator

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/supervisor"
)

const (
	idleInstanceListInterval   = 2 * time.Second        // between two lists of instances while nothing is planned
	busyInstanceListInterval   = 250 * time.Millisecond // the same while instances move or are maintained
	planRoundInterval          = 200 * time.Millisecond // between two rounds of planned work
	instanceOrderRetryInterval = 250 * time.Millisecond // after a refused or unanswered order
)

// What is planned for an instance.
const (
	noPlan planKind = iota
	movePlan
	maintenancePlan
)

// The phases of a plan.
const (
	evacuating planPhase = iota // no new tasks, those there end or move
	recording                   // the order is being stored
	ordering                    // the order is on its way, or has to be repeated
	carriedOut                  // the platform works on it
)

type (
	planKind  int
	planPhase int

	// Instances lists and changes the platform's instances.
	Instances interface {
		List(ctx context.Context) ([]modeler.Instance, error)
		Move(ctx context.Context, instance, pool string, token int64) error
		Maintain(ctx context.Context, instance string, wave, token int64) error
	}

	// instance is what the leader knows of an instance.
	instance struct {
		modeler.Instance
		plan          planKind
		phase         planPhase
		targetPool    string // pool of a move
		wave          int64  // of an upkeep
		phaseSince    time.Time
		orderInFlight bool      // an order is on its way
		retryAfter    time.Time // no order before
	}

	// estate is the leader's part for planned work.
	instancePlanner struct {
		api               Instances
		instances         map[string]*instance
		waves             map[int64]*waveState
		workersByInstance map[string][]*worker // by instance, as of the last round of planned work
		orders            instanceOrdersState
		poolHistories     map[string]*poolHistory
		nextPlanRound     time.Time
		nextLoadLog       time.Time
		anyPlanned        atomic.Bool // something is planned
		instancesListed   bool
	}
)

// WithInstances lets the engine move and maintain instances.
func WithInstances(api Instances) Option {
	return func(e *Engine) { e.planner.api = api }
}

// followInstances reads the list of instances until ctx ends.
func (e *Engine) pollInstanceList(ctx context.Context) {
	for ctx.Err() == nil {
		requestedAt := time.Now()
		list, err := e.planner.api.List(ctx)
		if err != nil {
			e.log.Warn("instances not listed", "error", err)
		} else {
			e.runInEventLoop(ctx, func() { e.applyInstanceList(list, requestedAt) })
		}
		e.waitForNextInstanceList(ctx, requestedAt)
	}
}

// awaitInstances waits until the list of instances is due.
func (e *Engine) waitForNextInstanceList(ctx context.Context, lastRequestedAt time.Time) {
	for supervisor.Pause(ctx, busyInstanceListInterval) == nil {
		if e.planner.anyPlanned.Load() || time.Since(lastRequestedAt) >= idleInstanceListInterval {
			return
		}
	}
}

// takeInstances takes in the platform's list, asked for at a time.
func (e *Engine) applyInstanceList(list []modeler.Instance, requestedAt time.Time) {
	s := &e.planner
	s.instancesListed = true
	seen := make(map[string]bool, len(list))
	for _, info := range list {
		seen[info.Name] = true
		i := s.instances[info.Name]
		if i == nil {
			i = &instance{}
			s.instances[info.Name] = i
		}
		i.Instance = info
		e.resumeInstanceOrder(i, requestedAt)
		if i.phase == carriedOut && i.plan != noPlan && requestedAt.After(i.phaseSince) && info.State == modeler.InstanceUp {
			e.completePlan(i)
		}
	}
	for name, i := range s.instances {
		if !seen[name] {
			e.log.Info("instance no longer listed", "instance", name, "pool", i.Pool)
			e.removeFromWave(i)
			delete(s.instances, name)
		}
	}
}

// finishPlan notes that the platform's work on an instance is over.
func (e *Engine) completePlan(i *instance) {
	e.log.Info("instance back", "instance", i.Name, "pool", i.Pool, "worker", i.Worker, "away", time.Since(i.phaseSince).Round(time.Millisecond).String())
	e.clearPlan(i)
}

// endPlan forgets what was planned for an instance.
func (e *Engine) clearPlan(i *instance) {
	i.plan, i.wave = noPlan, 0
	e.planner.orders.changed = true
}

// dropFromWave takes an instance out of its wave that cannot be maintained.
func (e *Engine) removeFromWave(i *instance) {
	if v := e.planner.waves[i.wave]; v != nil {
		v.removeInstance(i.Name)
	}
}

// workerOn returns the worker that is the present life of an instance, nil when
// there is none.
func (e *Engine) currentWorkerOn(i *instance) *worker {
	if i.Worker == "" {
		return nil
	}
	return e.workersByID[i.Worker]
}

// indexWorkers notes which workers are lives of which instance.
func (e *Engine) indexWorkersByInstance() {
	e.planner.workersByInstance = make(map[string][]*worker, len(e.workersByID))
	for _, w := range e.workersByID {
		e.planner.workersByInstance[w.Instance] = append(e.planner.workersByInstance[w.Instance], w)
	}
}

// workersOn returns all workers that are known as lives of an instance. The list
// of instances lags behind that of workers and may name an earlier one.
func (e *Engine) allWorkersOn(i *instance) []*worker {
	return e.planner.workersByInstance[i.Name]
}

// cordon keeps new tasks away from the workers of planned instances.
func (e *Engine) cordonPlannedInstances() {
	planned := make(map[string]string)
	for name := range e.planner.orders.fromEarlierTerm {
		planned[name] = "earlier plan"
	}
	for name, i := range e.planner.instances {
		switch i.plan {
		case movePlan:
			planned[name] = "move"
		case maintenancePlan:
			planned[name] = "upkeep"
		}
	}
	for _, w := range e.workersByID {
		w.cordonReason = planned[w.Instance]
	}
}

// planWork advances all planned work and plans more.
func (e *Engine) runPlanRound(ctx context.Context, now time.Time) {
	s := &e.planner
	if s.api == nil || !s.instancesListed || now.Before(s.nextPlanRound) {
		return
	}
	s.nextPlanRound = now.Add(planRoundInterval)
	e.indexWorkersByInstance()
	e.loadRequestedWaves(now)
	e.startDueMaintenance(now)
	e.planMovesBetweenPools(now)
	e.cordonPlannedInstances()
	busy := false
	for _, i := range s.instances {
		if i.Worker != "" && e.workersByID[i.Worker] == nil {
			e.workerListRequested.Store(true) // its worker is new and not listed yet
		}
		if i.plan == noPlan {
			continue
		}
		busy = true
		e.advancePlan(ctx, i, now)
	}
	s.anyPlanned.Store(busy)
	e.storeInstanceOrders(ctx, now)
	e.storeWaveProgress(ctx)
}

// begin plans work for an instance.
func (e *Engine) startPlan(i *instance, kind planKind, now time.Time) {
	i.plan, i.phase, i.phaseSince, i.retryAfter = kind, evacuating, now, now
	e.planner.anyPlanned.Store(true)
	e.log.Info("instance planned", "instance", i.Name, "pool", i.Pool, "kind", kind.String(), "to", i.targetPool)
}

func (k planKind) String() string {
	return [...]string{"none", "move", "upkeep"}[k]
}

// advancePlan empties an instance and then orders what is planned for it.
func (e *Engine) advancePlan(ctx context.Context, i *instance, now time.Time) {
	switch i.phase {
	case evacuating:
		empty := true
		for _, w := range e.allWorkersOn(i) {
			if len(w.tasks) > 0 {
				e.evacuate(w, now)
				empty = false
			}
		}
		if !empty {
			return
		}
		i.phase = recording
		e.planner.orders.changed = true
	case ordering:
		e.sendInstanceOrder(ctx, i, now)
	}
}

// orderInstance sends the order, again and again while its outcome is unknown,
// since it may be carried out late.
func (e *Engine) sendInstanceOrder(ctx context.Context, i *instance, now time.Time) {
	if i.orderInFlight || now.Before(i.retryAfter) || e.shuttingDown || !e.term.IsValid() {
		return
	}
	i.orderInFlight = true
	name, to, token := i.Name, i.targetPool, e.term.Token
	order := func() error { return e.planner.api.Move(ctx, name, to, token) }
	if i.plan == maintenancePlan {
		number := i.wave
		order = func() error { return e.planner.api.Maintain(ctx, name, number, token) }
	}
	e.runInBackground(func() {
		err := order()
		e.runInEventLoop(ctx, func() { e.handleInstanceOrderResult(i, err) })
	})
}

// ordered takes in the answer to an order for an instance.
func (e *Engine) handleInstanceOrderResult(i *instance, err error) {
	now := time.Now()
	i.orderInFlight, i.retryAfter = false, now.Add(instanceOrderRetryInterval)
	switch {
	case err == nil:
		e.log.Info("instance ordered", "instance", i.Name, "kind", i.plan.String(), "to", i.targetPool)
		i.phase, i.phaseSince = carriedOut, now
		if v := e.planner.waves[i.wave]; v != nil {
			v.markStarted(i.Name)
		}
	case errors.Is(err, modeler.ErrFenced):
		e.log.Warn("superseded", "instance", i.Name)
		e.term.Depose()
	case errors.Is(err, modeler.ErrNotInWave), errors.Is(err, modeler.ErrRejected), errors.Is(err, modeler.ErrInstanceBusy) && i.plan == movePlan:
		e.log.Warn("order for instance refused", "instance", i.Name, "kind", i.plan.String(), "error", err)
		if !errors.Is(err, modeler.ErrInstanceBusy) {
			e.removeFromWave(i)
		}
		e.clearPlan(i)
	default:
		e.log.Warn("order for instance repeated", "instance", i.Name, "kind", i.plan.String(), "error", err)
	}
}

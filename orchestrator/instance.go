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
	idleInstanceListInterval = 2 * time.Second        // between two reads of the instance list while no instance is planned for a move or maintenance
	busyInstanceListInterval = 250 * time.Millisecond // between two reads of the instance list while instances are moved or maintained
	pausePerListTime         = 4                      // pause after reading a list as a multiple of the time that it took
	planRoundInterval        = 200 * time.Millisecond // between two rounds of planning
	minOrderRetryInterval    = 250 * time.Millisecond // after an instance order that failed or was refused; doubles with each further failure
	maxOrderRetryInterval    = 2 * time.Second
	maxOrderDoublings        = 3
)

// What is planned for an instance.
const (
	noPlan planKind = iota
	movePlan
	maintenancePlan
)

// Phases of a plan for an instance.
const (
	evacuating planPhase = iota // no new tasks are placed; its tasks end or move away
	recording                   // the order is being stored
	ordering                    // the order is in flight or must be repeated
	carriedOut                  // the platform is moving or maintaining the instance
)

type (
	// planKind and planPhase tell what is planned for an instance and how far the
	// plan is.
	planKind  int
	planPhase int

	// Instances lists the platform's instances and sends orders for them: Move
	// changes an instance's pool, Maintain starts its maintenance.
	Instances interface {
		List(ctx context.Context) ([]modeler.Instance, error)
		Move(ctx context.Context, instance, pool string, token int64) error
		Maintain(ctx context.Context, instance string, wave, token int64) error
	}

	// instance is the leader's view of an instance.
	instance struct {
		modeler.Instance
		workers       []*worker // see Engine.allWorkersOn
		plan          planKind
		phase         planPhase
		targetPool    string // destination pool of a move
		wave          int64  // number of the wave that maintains it
		phaseSince    time.Time
		missed        bool      // the last instance list lacks it
		missedSince   time.Time // when the first of the lists was requested that have lacked it since
		orderInFlight bool      // an order for the instance is in flight
		retryAfter    time.Time // no order is sent before this time
		failedOrders  int       // orders of the plan that have ended, whatever their result
	}

	// instancePlanner is the state of planned moves and maintenance.
	instancePlanner struct {
		api               Instances
		instances         map[string]*instance
		waves             map[int64]*waveState
		workersByInstance map[string][]*worker // workers by instance name, as of the last planning round
		orders            instanceOrdersState
		poolHistories     map[string]*poolHistory
		nextPlanRound     time.Time
		nextLoadLog       time.Time
		previousListAt    time.Time   // when the last instance list but one was requested; zero before the second
		firstListAt       time.Time   // when the first instance list of the term was requested
		lastListAt        time.Time   // when the last instance list was requested
		anyPlanned        atomic.Bool // a plan exists for some instance
		instancesListed   bool
	}
)

// WithInstances sets the client of the platform's instance service. Without it
// the engine doesn't move or maintain instances.
func WithInstances(api Instances) Option {
	return func(e *Engine) { e.planner.api = api }
}

// pollInstanceList reads the instance list at intervals until ctx ends.
func (e *Engine) pollInstanceList(ctx context.Context) {
	listed := false
	for ctx.Err() == nil {
		requestedAt := time.Now()
		list, err := e.planner.api.List(ctx)
		took := time.Since(requestedAt)
		if err != nil {
			e.log.Warn("list of instances not read, trying again", "error", err)
		} else {
			listed = true
			e.runInEventLoop(ctx, func() { e.applyInstanceList(list, requestedAt) })
		}
		if !listed {
			_ = supervisor.Pause(ctx, busyInstanceListInterval) // inherited tasks may wait for the first list
			continue
		}
		e.waitForNextInstanceList(ctx, requestedAt, took)
	}
}

// waitForNextInstanceList waits until the instance list should be read again. took
// is the time that the last read took: a list that takes long is read less often.
func (e *Engine) waitForNextInstanceList(ctx context.Context, lastRequestedAt time.Time, took time.Duration) {
	interval := min(max(busyInstanceListInterval, pausePerListTime*took), idleInstanceListInterval)
	for supervisor.Pause(ctx, interval) == nil {
		if e.planner.anyPlanned.Load() || time.Since(lastRequestedAt) >= idleInstanceListInterval {
			return
		}
	}
}

// applyInstanceList updates the instances from an instance list that was
// requested at requestedAt. A single list may miss an instance between two pages, so
// an instance is removed when the lists of maxInstanceListAge lack it.
func (e *Engine) applyInstanceList(list []modeler.Instance, requestedAt time.Time) {
	p := &e.planner
	e.instanceCores.known = false
	e.rememberWorkersAtStart(list)
	seen := make(map[string]bool, len(list))
	for _, info := range list {
		seen[info.Name] = true
		i := p.instances[info.Name]
		if i == nil {
			i = &instance{workers: p.workersByInstance[info.Name]}
			p.instances[info.Name] = i
		}
		i.Instance, i.missed = info, false
		e.resumeInstanceOrder(i, requestedAt)
		if i.phase == carriedOut && i.plan != noPlan && requestedAt.After(i.phaseSince) && info.State == modeler.InstanceUp {
			e.completePlan(i)
		}
	}
	for name, i := range p.instances {
		switch {
		case seen[name]:
		case !i.missed:
			i.missed, i.missedSince = true, requestedAt
		case requestedAt.Sub(i.missedSince) >= maxInstanceListAge:
			e.log.Info("instance no longer listed", "instance", name, "pool", i.Pool)
			delete(p.instances, name)
		}
	}
	if p.instancesListed {
		e.markEndedWorkers(seen, requestedAt)
	}
	if !p.instancesListed {
		p.instancesListed, p.firstListAt = true, requestedAt
	}
	p.previousListAt, p.lastListAt = p.lastListAt, requestedAt
	e.dropOrdersOfUnlistedInstances()
}

// completePlan removes the plan of an instance on which the platform has
// completed the move or the maintenance.
func (e *Engine) completePlan(i *instance) {
	e.log.Info("instance back: its move or maintenance is completed", "instance", i.Name, "pool", i.Pool, "worker", i.Worker, "away", time.Since(i.phaseSince).Round(time.Millisecond).String())
	e.clearPlan(i)
}

// clearPlan removes the plan of an instance.
func (e *Engine) clearPlan(i *instance) {
	i.plan, i.wave = noPlan, 0
	e.instanceCores.known = false
	e.planner.orders.changed = true
}

// currentWorkerOn returns the worker that currently runs on an instance, or nil
// if there is none.
func (e *Engine) currentWorkerOn(i *instance) *worker {
	if i.Worker == "" {
		return nil
	}
	return e.workersByID[i.Worker]
}

// indexWorkersByInstance rebuilds the index of workers by instance.
func (e *Engine) indexWorkersByInstance() {
	e.instanceCores.known = false
	e.planner.workersByInstance = make(map[string][]*worker, len(e.workersByID))
	for _, w := range e.workersByID {
		e.planner.workersByInstance[w.Instance] = append(e.planner.workersByInstance[w.Instance], w)
	}
	for name, i := range e.planner.instances {
		i.workers = e.planner.workersByInstance[name]
	}
}

// allWorkersOn returns all known workers of an instance, including earlier
// ones. The instance list is updated later than the worker list and may still
// name an earlier worker.
func (e *Engine) allWorkersOn(i *instance) []*worker {
	return i.workers
}

// cordonPlannedInstances excludes the workers of instances with a plan from new
// tasks.
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
			planned[name] = "upkeep" // value used in stored records and logs for maintenance
		}
	}
	for _, w := range e.workersByID {
		w.cordonReason = planned[w.Instance]
	}
}

// runPlanRound advances the plans of all instances and starts new ones.
func (e *Engine) runPlanRound(ctx context.Context, now time.Time) {
	p := &e.planner
	if p.api == nil || !p.instancesListed || now.Before(p.nextPlanRound) {
		return
	}
	p.nextPlanRound = now.Add(planRoundInterval)
	e.indexWorkersByInstance()
	e.loadRequestedWaves(now)
	e.startDueMaintenance(now)
	e.planMovesBetweenPools(now)
	e.cordonPlannedInstances()
	busy := e.awaitsInstanceList()
	for _, i := range p.instances {
		if i.Worker != "" && e.workersByID[i.Worker] == nil {
			e.workerListRequested.Store(true) // the worker is new and not in the worker list yet
		}
		busy = busy || i.missed // the next list shows whether it has left
		if i.plan == noPlan {
			continue
		}
		busy = true
		e.advancePlan(ctx, i, now)
	}
	p.anyPlanned.Store(busy)
	e.storeInstanceOrders(ctx, now)
	e.storeWaveProgress(ctx)
}

// startPlan starts a plan for an instance.
func (e *Engine) startPlan(i *instance, kind planKind, now time.Time) {
	i.plan, i.phase, i.phaseSince, i.retryAfter, i.failedOrders = kind, evacuating, now, now, 0
	e.instanceCores.known = false
	e.planner.anyPlanned.Store(true)
	e.log.Info("move or maintenance of an instance planned", "instance", i.Name, "pool", i.Pool, "kind", kind.String(), "to", i.targetPool)
}

// String returns the value for the kind of plan that stored records, logs and
// operators' views use. The value for maintenance is "upkeep".
func (k planKind) String() string {
	return [...]string{"none", "move", "upkeep"}[k]
}

// advancePlan evacuates an instance and then orders its move or maintenance.
func (e *Engine) advancePlan(ctx context.Context, i *instance, now time.Time) {
	switch i.phase {
	case evacuating:
		empty := true
		for _, w := range e.allWorkersOn(i) {
			if len(w.tasks)+len(w.orphanedRuns) > 0 {
				e.evacuateWorker(w, now)
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

// sendInstanceOrder sends the order for an instance. It is repeated while its
// outcome is unknown, since the platform may execute an order late.
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

// handleInstanceOrderResult processes the result of an instance order.
func (e *Engine) handleInstanceOrderResult(i *instance, err error) {
	now := time.Now()
	i.orderInFlight, i.retryAfter = false, now.Add(min(minOrderRetryInterval<<min(i.failedOrders, maxOrderDoublings), maxOrderRetryInterval))
	i.failedOrders++
	switch {
	case err == nil:
		e.log.Info("move or maintenance of an instance ordered", "instance", i.Name, "kind", i.plan.String(), "to", i.targetPool)
		i.phase, i.phaseSince = carriedOut, now
		if v := e.planner.waves[i.wave]; v != nil {
			v.markStarted(i.Name)
		}
	case errors.Is(err, modeler.ErrFenced):
		e.log.Warn("term superseded: platform has seen a higher fencing token, ending the term", "instance", i.Name)
		e.term.Depose()
	case errors.Is(err, modeler.ErrNotInWave), errors.Is(err, modeler.ErrRejected), errors.Is(err, modeler.ErrInstanceBusy) && i.plan == movePlan:
		e.log.Warn("order for an instance refused, its plan is dropped", "instance", i.Name, "kind", i.plan.String(), "error", err)
		if v := e.planner.waves[i.wave]; v != nil && !errors.Is(err, modeler.ErrInstanceBusy) {
			v.markRefused(i.Name)
		}
		e.clearPlan(i)
	default:
		e.log.Warn("order for an instance failed, it will be repeated", "instance", i.Name, "kind", i.plan.String(), "error", err)
	}
}

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
	idleListing  = 2 * time.Second        // between two lists of instances while nothing is planned
	busyListing  = 250 * time.Millisecond // the same while instances move or are maintained
	planInterval = 200 * time.Millisecond // between two rounds of planned work
	orderRetry   = 250 * time.Millisecond // after a refused or unanswered order
)

// What is planned for an instance.
const (
	noPlan planKind = iota
	movePlan
	upkeepPlan
)

// The phases of a plan.
const (
	emptying  planPhase = iota // no new tasks, those there end or move
	recording                  // the order is being stored
	ordering                   // the order is on its way, or has to be repeated
	away                       // the platform works on it
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
		plan  planKind
		phase planPhase
		to    string // pool of a move
		wave  int64  // of an upkeep
		since time.Time
		calls bool      // an order is on its way
		after time.Time // no order before
	}

	// estate is the leader's part for planned work.
	estate struct {
		api       Instances
		instances map[string]*instance
		waves     map[int64]*wave
		workers   map[string][]*worker // by instance, as of the last round of planned work
		plans     planStore
		pools     map[string]*poolHistory
		nextPlan  time.Time
		nextNote  time.Time
		busy      atomic.Bool // something is planned
		listed    bool
	}
)

// WithInstances lets the engine move and maintain instances.
func WithInstances(api Instances) Option {
	return func(e *Engine) { e.estate.api = api }
}

// followInstances reads the list of instances until ctx ends.
func (e *Engine) followInstances(ctx context.Context) {
	for ctx.Err() == nil {
		asked := time.Now()
		list, err := e.estate.api.List(ctx)
		if err != nil {
			e.log.Warn("instances not listed", "error", err)
		} else {
			e.post(ctx, func() { e.takeInstances(list, asked) })
		}
		e.awaitInstances(ctx, asked)
	}
}

// awaitInstances waits until the list of instances is due.
func (e *Engine) awaitInstances(ctx context.Context, last time.Time) {
	for supervisor.Pause(ctx, busyListing) == nil {
		if e.estate.busy.Load() || time.Since(last) >= idleListing {
			return
		}
	}
}

// takeInstances takes in the platform's list, asked for at a time.
func (e *Engine) takeInstances(list []modeler.Instance, asked time.Time) {
	s := &e.estate
	s.listed = true
	seen := make(map[string]bool, len(list))
	for _, info := range list {
		seen[info.Name] = true
		i := s.instances[info.Name]
		if i == nil {
			i = &instance{}
			s.instances[info.Name] = i
		}
		i.Instance = info
		e.resume(i, asked)
		if i.phase == away && i.plan != noPlan && asked.After(i.since) && info.State == modeler.InstanceUp {
			e.finishPlan(i)
		}
	}
	for name, i := range s.instances {
		if !seen[name] {
			e.log.Info("instance no longer listed", "instance", name, "pool", i.Pool)
			e.dropFromWave(i)
			delete(s.instances, name)
		}
	}
}

// finishPlan notes that the platform's work on an instance is over.
func (e *Engine) finishPlan(i *instance) {
	e.log.Info("instance back", "instance", i.Name, "pool", i.Pool, "worker", i.Worker, "away", time.Since(i.since).Round(time.Millisecond).String())
	e.endPlan(i)
}

// endPlan forgets what was planned for an instance.
func (e *Engine) endPlan(i *instance) {
	i.plan, i.wave = noPlan, 0
	e.estate.plans.changed = true
}

// dropFromWave takes an instance out of its wave that cannot be maintained.
func (e *Engine) dropFromWave(i *instance) {
	if v := e.estate.waves[i.wave]; v != nil {
		v.drop(i.Name)
	}
}

// workerOn returns the worker that is the present life of an instance, nil when
// there is none.
func (e *Engine) workerOn(i *instance) *worker {
	if i.Worker == "" {
		return nil
	}
	return e.fleet[i.Worker]
}

// indexWorkers notes which workers are lives of which instance.
func (e *Engine) indexWorkers() {
	e.estate.workers = make(map[string][]*worker, len(e.fleet))
	for _, w := range e.fleet {
		e.estate.workers[w.Instance] = append(e.estate.workers[w.Instance], w)
	}
}

// workersOn returns all workers that are known as lives of an instance. The list
// of instances lags behind that of workers and may name an earlier one.
func (e *Engine) workersOn(i *instance) []*worker {
	return e.estate.workers[i.Name]
}

// cordon keeps new tasks away from the workers of planned instances.
func (e *Engine) cordon() {
	planned := make(map[string]string)
	for name := range e.estate.plans.restored {
		planned[name] = "earlier plan"
	}
	for name, i := range e.estate.instances {
		switch i.plan {
		case movePlan:
			planned[name] = "move"
		case upkeepPlan:
			planned[name] = "upkeep"
		}
	}
	for _, w := range e.fleet {
		w.cordoned = planned[w.Instance]
	}
}

// planWork advances all planned work and plans more.
func (e *Engine) planWork(ctx context.Context, now time.Time) {
	s := &e.estate
	if s.api == nil || !s.listed || now.Before(s.nextPlan) {
		return
	}
	s.nextPlan = now.Add(planInterval)
	e.indexWorkers()
	e.takeWaves(now)
	e.planWaves(now)
	e.planMoves(now)
	e.cordon()
	busy := false
	for _, i := range s.instances {
		if i.Worker != "" && e.fleet[i.Worker] == nil {
			e.hurried.Store(true) // its worker is new and not listed yet
		}
		if i.plan == noPlan {
			continue
		}
		busy = true
		e.advancePlan(ctx, i, now)
	}
	s.busy.Store(busy)
	e.storePlans(ctx, now)
	e.reportWaves(ctx)
}

// begin plans work for an instance.
func (e *Engine) begin(i *instance, kind planKind, now time.Time) {
	i.plan, i.phase, i.since, i.after = kind, emptying, now, now
	e.estate.busy.Store(true)
	e.log.Info("instance planned", "instance", i.Name, "pool", i.Pool, "kind", kind.String(), "to", i.to)
}

func (k planKind) String() string {
	return [...]string{"none", "move", "upkeep"}[k]
}

// advancePlan empties an instance and then orders what is planned for it.
func (e *Engine) advancePlan(ctx context.Context, i *instance, now time.Time) {
	switch i.phase {
	case emptying:
		empty := true
		for _, w := range e.workersOn(i) {
			if len(w.tasks) > 0 {
				e.evacuate(w, now)
				empty = false
			}
		}
		if !empty {
			return
		}
		i.phase = recording
		e.estate.plans.changed = true
	case ordering:
		e.orderInstance(ctx, i, now)
	}
}

// orderInstance sends the order, again and again while its outcome is unknown,
// since it may be carried out late.
func (e *Engine) orderInstance(ctx context.Context, i *instance, now time.Time) {
	if i.calls || now.Before(i.after) || e.closing || !e.term.IsValid() {
		return
	}
	i.calls = true
	name, to, token := i.Name, i.to, e.term.Token
	order := func() error { return e.estate.api.Move(ctx, name, to, token) }
	if i.plan == upkeepPlan {
		number := i.wave
		order = func() error { return e.estate.api.Maintain(ctx, name, number, token) }
	}
	e.spawn(func() {
		err := order()
		e.post(ctx, func() { e.ordered(i, err) })
	})
}

// ordered takes in the answer to an order for an instance.
func (e *Engine) ordered(i *instance, err error) {
	now := time.Now()
	i.calls, i.after = false, now.Add(orderRetry)
	switch {
	case err == nil:
		e.log.Info("instance ordered", "instance", i.Name, "kind", i.plan.String(), "to", i.to)
		i.phase, i.since = away, now
		if v := e.estate.waves[i.wave]; v != nil {
			v.begun(i.Name)
		}
	case errors.Is(err, modeler.ErrFenced):
		e.log.Warn("superseded", "instance", i.Name)
		e.term.Depose()
	case errors.Is(err, modeler.ErrNotInWave), errors.Is(err, modeler.ErrRejected), errors.Is(err, modeler.ErrInstanceBusy) && i.plan == movePlan:
		e.log.Warn("order for instance refused", "instance", i.Name, "kind", i.plan.String(), "error", err)
		if !errors.Is(err, modeler.ErrInstanceBusy) {
			e.dropFromWave(i)
		}
		e.endPlan(i)
	default:
		e.log.Warn("order for instance repeated", "instance", i.Name, "kind", i.plan.String(), "error", err)
	}
}

package orchestrator

import (
	"context"
	"encoding/json"
	"time"

	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/modeler"
)

const (
	plansKey   = fleetPrefix + "plans"  // PlanRecord of orders for instances
	plansRetry = 200 * time.Millisecond // after a failed write
)

type (
	// PlanRecord holds, by instance, the orders that may have been given and
	// are not known to be over. It is stored before an order is given: the
	// write proves that the term goes on, and a successor repeats the orders
	// until it knows their outcome.
	PlanRecord map[string]InstanceOrder

	// InstanceOrder is an order for an instance.
	InstanceOrder struct {
		Pool string `json:"pool,omitempty"` // a move goes there
		Wave int64  `json:"wave,omitempty"` // of an upkeep
	}

	// planStore is the state of the record.
	planStore struct {
		restored PlanRecord // of an earlier term, not yet matched with an instance
		changed  bool
		writing  bool
		after    time.Time
	}
)

// restorePlans takes in the record of an earlier term.
func (e *Engine) restorePlans(records []keeper.Record) {
	s := &e.estate.plans
	s.restored = make(PlanRecord)
	for _, r := range records {
		if err := json.Unmarshal(r.Value, &s.restored); err != nil {
			e.log.Error("record of plans left alone", "revision", r.Revision, "error", err)
		}
	}
}

// resume repeats the order that an earlier term may have given.
func (e *Engine) resume(i *instance, now time.Time) {
	s := &e.estate.plans
	order, ok := s.restored[i.Name]
	if !ok {
		return
	}
	delete(s.restored, i.Name)
	s.changed = true
	if order.Pool != "" && order.Pool == i.Pool && i.State == modeler.InstanceUp {
		return // the move is over, and repeating it would change nothing
	}
	i.to, i.wave = order.Pool, order.Wave
	kind := movePlan
	if order.Wave != 0 {
		kind = upkeepPlan
	}
	e.begin(i, kind, now) // tasks that have come meanwhile leave first
}

// storePlans writes the record when it has changed, and lets the orders follow
// that are in it.
func (e *Engine) storePlans(ctx context.Context, now time.Time) {
	s := &e.estate.plans
	if !s.changed || s.writing || now.Before(s.after) {
		return
	}
	record := make(PlanRecord)
	var fresh []*instance
	for name, i := range e.estate.instances {
		if i.plan == noPlan || i.phase == emptying {
			continue
		}
		record[name] = InstanceOrder{Pool: i.to, Wave: i.wave}
		if i.phase == recording {
			fresh = append(fresh, i)
		}
	}
	s.writing, s.changed = true, false
	txn := keeper.Txn{
		Expect: []keeper.Expectation{e.condition()},
		Put:    []keeper.Put{{Key: plansKey, Value: encode(record)}},
	}
	e.spawn(func() {
		_, records, err := e.store.Commit(ctx, txn)
		e.post(ctx, func() { e.plansStored(ctx, fresh, records, err) })
	})
}

func (e *Engine) plansStored(ctx context.Context, fresh []*instance, records []keeper.Record, err error) {
	s := &e.estate.plans
	s.writing = false
	now := time.Now()
	if err != nil {
		e.log.Warn("plans not stored", "error", err)
		s.changed, s.after = true, now.Add(plansRetry)
		e.checkTerm(records, err)
		return
	}
	for _, i := range fresh {
		if i.plan != noPlan && i.phase == recording {
			i.phase = ordering
			e.orderInstance(ctx, i, now)
		}
	}
}

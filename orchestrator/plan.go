package orchestrator

import (
	"context"
	"encoding/json"
	"time"

	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/modeler"
)

const (
	instanceOrdersKey           = fleetPrefix + "plans"  // PlanRecord of orders for instances
	instanceOrdersRetryInterval = 200 * time.Millisecond // after a failed write
)

type (
	// PlanRecord holds, by instance, the orders that may have been given and
	// are not known to be over. It is stored before an order is given: the
	// write proves that the term goes on, and a successor repeats the orders
	// until it knows their outcome.
	InstanceOrders map[string]InstanceOrder

	// InstanceOrder is an order for an instance.
	InstanceOrder struct {
		Pool string `json:"pool,omitempty"` // a move goes there
		Wave int64  `json:"wave,omitempty"` // of an upkeep
	}

	// planStore is the state of the record.
	instanceOrdersState struct {
		fromEarlierTerm InstanceOrders // of an earlier term, not yet matched with an instance
		changed         bool
		commitInFlight  bool
		retryAfter      time.Time
	}
)

// restorePlans takes in the record of an earlier term.
func (e *Engine) restoreInstanceOrders(records []keeper.Record) {
	s := &e.planner.orders
	s.fromEarlierTerm = make(InstanceOrders)
	for _, r := range records {
		if err := json.Unmarshal(r.Value, &s.fromEarlierTerm); err != nil {
			e.log.Error("record of plans left alone", "revision", r.Revision, "error", err)
		}
	}
}

// resume repeats the order that an earlier term may have given.
func (e *Engine) resumeInstanceOrder(i *instance, now time.Time) {
	s := &e.planner.orders
	order, ok := s.fromEarlierTerm[i.Name]
	if !ok {
		return
	}
	delete(s.fromEarlierTerm, i.Name)
	s.changed = true
	if order.Pool != "" && order.Pool == i.Pool && i.State == modeler.InstanceUp {
		return // the move is over, and repeating it would change nothing
	}
	i.targetPool, i.wave = order.Pool, order.Wave
	kind := movePlan
	if order.Wave != 0 {
		kind = maintenancePlan
	}
	e.startPlan(i, kind, now) // tasks that have come meanwhile leave first
}

// storePlans writes the record when it has changed, and lets the orders follow
// that are in it.
func (e *Engine) storeInstanceOrders(ctx context.Context, now time.Time) {
	s := &e.planner.orders
	if !s.changed || s.commitInFlight || now.Before(s.retryAfter) {
		return
	}
	record := make(InstanceOrders)
	var newOrders []*instance
	for name, i := range e.planner.instances {
		if i.plan == noPlan || i.phase == evacuating {
			continue
		}
		record[name] = InstanceOrder{Pool: i.targetPool, Wave: i.wave}
		if i.phase == recording {
			newOrders = append(newOrders, i)
		}
	}
	s.commitInFlight, s.changed = true, false
	txn := keeper.Txn{
		Expect: []keeper.Expectation{e.termCondition()},
		Put:    []keeper.Put{{Key: instanceOrdersKey, Value: encode(record)}},
	}
	e.runInBackground(func() {
		_, records, err := e.store.Commit(ctx, txn)
		e.runInEventLoop(ctx, func() { e.handleInstanceOrdersStored(ctx, newOrders, records, err) })
	})
}

func (e *Engine) handleInstanceOrdersStored(ctx context.Context, newOrders []*instance, records []keeper.Record, err error) {
	s := &e.planner.orders
	s.commitInFlight = false
	now := time.Now()
	if err != nil {
		e.log.Warn("plans not stored", "error", err)
		s.changed, s.retryAfter = true, now.Add(instanceOrdersRetryInterval)
		e.checkStillLeader(records, err)
		return
	}
	for _, i := range newOrders {
		if i.plan != noPlan && i.phase == recording {
			i.phase = ordering
			e.sendInstanceOrder(ctx, i, now)
		}
	}
}

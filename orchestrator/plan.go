package orchestrator

import (
	"context"
	"encoding/json"
	"maps"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/modeler"
)

const (
	instanceOrdersKey           = fleetPrefix + "plans"  // stores the InstanceOrders
	instanceOrdersRetryInterval = 200 * time.Millisecond // after a failed write
)

type (
	// InstanceOrders contains, by instance name, the orders that may have been sent
	// and are not known to be completed. It is stored before an order is sent: the
	// successful write proves that this leader's term is still current, and the
	// next leader repeats the orders until it knows their outcome.
	InstanceOrders map[string]InstanceOrder

	// InstanceOrder is an order to move or maintain an instance.
	InstanceOrder struct {
		Pool string `json:"pool,omitempty"` // destination of a move
		Wave int64  `json:"wave,omitempty"` // number of the wave that maintains the instance
	}

	// instanceOrdersState tracks the stored instance orders.
	instanceOrdersState struct {
		fromEarlierTerm InstanceOrders // orders of an earlier term for instances that have not been listed yet
		revision        int64          // last known revision of the record
		changed         bool
		commitInFlight  bool
		retryAfter      time.Time
	}
)

// restoreInstanceOrders restores the instance orders of earlier terms.
func (e *Engine) restoreInstanceOrders(records []keeper.Record) {
	orders := &e.planner.orders
	orders.fromEarlierTerm = make(InstanceOrders)
	for _, r := range records {
		orders.revision = r.Revision
		if err := json.Unmarshal(r.Value, &orders.fromEarlierTerm); err != nil {
			e.log.Error("record of plans for instances cannot be read, left alone", "revision", r.Revision, "error", err)
		}
	}
}

// resumeInstanceOrder plans the order again that an earlier term may have sent
// for an instance.
func (e *Engine) resumeInstanceOrder(i *instance, now time.Time) {
	orders := &e.planner.orders
	order, ok := orders.fromEarlierTerm[i.Name]
	if !ok {
		return
	}
	delete(orders.fromEarlierTerm, i.Name)
	orders.changed = true
	if order.Pool != "" && order.Pool == i.Pool && i.State == modeler.InstanceUp {
		return // the move is completed; repeating it would have no effect
	}
	i.targetPool, i.wave = order.Pool, order.Wave
	kind := movePlan
	if order.Wave != 0 {
		kind = maintenancePlan
	}
	e.startPlan(i, kind, now) // evacuates tasks that were placed on the instance meanwhile
}

// dropOrdersOfUnlistedInstances forgets orders of an earlier term for instances that
// have left: no list of this term has shown them, and two lists were requested late
// enough to do so.
func (e *Engine) dropOrdersOfUnlistedInstances() {
	orders := &e.planner.orders
	if len(orders.fromEarlierTerm) == 0 || e.planner.previousListAt.Sub(e.termStart) < maxInstanceListAge {
		return
	}
	for name, order := range orders.fromEarlierTerm {
		e.log.Info("order of an earlier term dropped: its instance is not listed", "instance", name, "to", order.Pool, "wave", order.Wave)
	}
	clear(orders.fromEarlierTerm)
	orders.changed = true
}

// storeInstanceOrders stores the instance orders if they have changed, and
// sends the new orders once they are stored. The transaction requires the last
// known revision of the record, so that the store does not replace a later
// record if it executes the transaction late.
func (e *Engine) storeInstanceOrders(ctx context.Context, now time.Time) {
	orders := &e.planner.orders
	if !orders.changed || orders.commitInFlight || now.Before(orders.retryAfter) {
		return
	}
	record := make(InstanceOrders)
	maps.Copy(record, orders.fromEarlierTerm)
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
	orders.commitInFlight, orders.changed = true, false
	txn := keeper.Txn{
		Expect: []keeper.Expectation{e.termCondition(), {Key: instanceOrdersKey, Revision: orders.revision}},
		Put:    []keeper.Put{{Key: instanceOrdersKey, Value: encodeJSON(record)}},
	}
	e.runInBackground(func() {
		revision, records, err := e.store.Commit(ctx, txn)
		if errors.Is(err, keeper.ErrConflict) {
			revision = revisionOf(instanceOrdersKey, records) // an earlier write whose response was lost
		}
		e.runInEventLoop(ctx, func() { e.handleInstanceOrdersStored(ctx, newOrders, revision, records, err) })
	})
}

// handleInstanceOrdersStored processes the result of storing the instance
// orders and sends the new ones.
func (e *Engine) handleInstanceOrdersStored(ctx context.Context, newOrders []*instance, revision int64, records []keeper.Record, err error) {
	orders := &e.planner.orders
	orders.commitInFlight = false
	now := time.Now()
	if err == nil || errors.Is(err, keeper.ErrConflict) {
		orders.revision = revision
	}
	if err != nil {
		e.log.Warn("record of plans for instances not stored, trying again", "error", err)
		orders.changed, orders.retryAfter = true, now.Add(instanceOrdersRetryInterval)
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

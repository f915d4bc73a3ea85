package mover

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/parser"
	"github.com/coltsfootlever/coltsfootlever/recorder"
)

// orderIDLength is the number of random characters in an order ID.
const orderIDLength = 8

type (
	// Orders accepts orders on instances and pools from operators and
	// controllers. It writes each order to the instance's record; the
	// Coordinator of the leading member then carries it out.
	Orders struct {
		store   Store
		self    string
		rules   func() *parser.Rules
		budgets Budgets
		journal func(recorder.Decision)
	}

	// PoolResult is the result of an order on all instances of a pool.
	PoolResult struct {
		Done    []string  `json:"done"`
		Refused []Refused `json:"refused,omitempty"`
	}

	// Refused is an instance for which an order on its pool was refused,
	// and the reason.
	Refused struct {
		Instance string `json:"instance"`
		Reason   string `json:"reason"`
	}
)

// NewOrders returns Orders that the member with the ID self accepts. journal may
// be nil.
func NewOrders(store Store, self string, rules func() *parser.Rules, budgets Budgets, journal func(recorder.Decision)) *Orders {
	if journal == nil {
		journal = func(recorder.Decision) {}
	}
	return &Orders{store: store, self: self, rules: rules, budgets: budgets, journal: journal}
}

func newOrder(kind OrderKind, who string) Order {
	id := string(kind) + "-" + uuid.NewString()[:orderIDLength]
	return Order{ID: id, Kind: kind, RequestedBy: who, Since: time.Now()}
}

// List returns all instance records ordered by ID.
func (o *Orders) List(ctx context.Context) ([]Instance, error) {
	records, _, err := o.store.List(ctx, keeper.InstancePrefix)
	if err != nil {
		return nil, errors.Trace(err)
	}
	list := make([]Instance, 0, len(records))
	for _, r := range records {
		i, err := keeper.Decode[Instance](r)
		if err != nil {
			return nil, errors.Trace(err)
		}
		list = append(list, i)
	}
	return list, nil
}

// Get returns the record of an instance. It refuses with NotFound when there is
// none.
func (o *Orders) Get(ctx context.Context, id string) (Instance, error) {
	rec, err := o.store.Get(ctx, recordKey(id))
	if err != nil {
		return Instance{}, errors.Trace(err)
	}
	if rec.Revision == 0 {
		return Instance{}, noRecordError(id)
	}
	return keeper.Decode[Instance](rec)
}

func noRecordError(id string) error {
	return classifier.Refuse(classifier.NotFound, "no instance %q has a record", id)
}

// Drain takes an instance out of service until Resume is called. It refuses with
// BudgetSpent when a budget has no room, and with Conflict when another order on
// the instance is in progress.
func (o *Orders) Drain(ctx context.Context, id, who string) (Instance, error) {
	return o.writeAndStartOrder(ctx, id, newOrder(DrainOrder, who))
}

// Reboot drains an instance, reboots it and takes it back into service. When
// work still runs after limit, the order is cancelled and the instance returns
// to service; a limit of 0 means none. Reboot refuses like Drain.
func (o *Orders) Reboot(ctx context.Context, id, who string, limit time.Duration) (Instance, error) {
	return o.reboot(ctx, id, newOrder(RebootOrder, who), limit)
}

func (o *Orders) reboot(ctx context.Context, id string, order Order, limit time.Duration) (Instance, error) {
	if limit > 0 {
		order.Expires = order.Since.Add(limit)
	}
	return o.writeAndStartOrder(ctx, id, order)
}

// Move drains an instance and takes it into service in another pool. The rule of
// the pool that it leaves sets the time limit. While a budget has no room, the
// order waits and its Note names the budget.
func (o *Orders) Move(ctx context.Context, id, pool, who string) (Instance, error) {
	return o.writeMoveOrder(ctx, id, pool, who, false)
}

// Lend moves an instance to another pool without changing its home pool.
func (o *Orders) Lend(ctx context.Context, id, pool, who string) (Instance, error) {
	return o.writeMoveOrder(ctx, id, pool, who, true)
}

func (o *Orders) writeMoveOrder(ctx context.Context, id, pool, who string, lend bool) (Instance, error) {
	rules := o.rules()
	if rules == nil || !hasPool(rules, pool) {
		return Instance{}, classifier.Refuse(classifier.NotFound, "no rule names pool %q", pool)
	}
	order := newOrder(MoveOrder, who)
	order.Pool, order.Lend = pool, lend
	placed, err := o.writeOrder(ctx, id, order, func(i Instance, n *Order) error {
		if i.Pool == pool {
			return classifier.Refuse(classifier.Conflict, "instance %s is in pool %s already", id, pool)
		}
		n.From, n.Expires = i.Pool, n.Since.Add(moveTimeout(rules, i.Pool))
		return nil
	})
	if err != nil {
		return placed, err
	}
	started, err := o.startAbsenceAndDrain(ctx, placed)
	if classifier.As(err) != nil && classifier.As(err).Code == classifier.BudgetSpent {
		return placed, nil // the order waits, and the coordinator retries until the time limit
	}
	return started, err
}

func hasPool(rules *parser.Rules, pool string) bool {
	for _, p := range rules.Pools {
		if p.Name == pool {
			return true
		}
	}
	return false
}

func moveTimeout(rules *parser.Rules, pool string) time.Duration {
	for _, p := range rules.Pools {
		if p.Name == pool && p.MoveLimit > 0 {
			return p.MoveLimit
		}
	}
	return defaultMoveTimeout
}

// writeAndStartOrder writes an order and starts it. It withdraws the order
// when it cannot start at once.
func (o *Orders) writeAndStartOrder(ctx context.Context, id string, order Order) (Instance, error) {
	placed, err := o.writeOrder(ctx, id, order, func(Instance, *Order) error { return nil })
	if err != nil {
		return placed, err
	}
	started, err := o.startAbsenceAndDrain(ctx, placed)
	if refusal := classifier.As(err); refusal != nil && refusal.Verdict == classifier.NotRun {
		return o.withdrawRefusedOrder(ctx, placed, refusal)
	}
	return started, err
}

// withdrawRefusedOrder removes an order that was refused before it started.
// It returns the refusal given as cause.
func (o *Orders) withdrawRefusedOrder(ctx context.Context, placed Instance, cause error) (Instance, error) {
	i, _, err := updateIfUnchanged(ctx, o.store, placed, authority{writer: o.self}, func(n *Instance) { endOrder(n, outcomeRefused) })
	if err != nil && !errors.Is(err, ErrRecordChanged) {
		return i, errors.Annotatef(err, "order %s refused (%v) and not taken back", placed.orderID(), cause)
	}
	o.recordDecisionForOrder(i, placed.Order, "refused: "+classifier.As(cause).Message)
	return i, cause
}

// writeOrder writes an order to the record of an instance in service. fit checks
// the order against the record and completes it.
func (o *Orders) writeOrder(ctx context.Context, id string, order Order, fit func(Instance, *Order) error) (Instance, error) {
	var refusal error
	i, _, err := updateRecord(ctx, o.store, id, authority{writer: o.self}, func(n *Instance) bool {
		refusal = checkOrderable(*n, id, order.ID)
		if refusal != nil || n.orderID() == order.ID {
			return false
		}
		placed := order
		refusal = fit(*n, &placed)
		n.Order = &placed
		return refusal == nil
	})
	if err == nil {
		err = refusal
	}
	if err == nil {
		o.recordDecision(i, "ordered: "+string(order.Kind))
	}
	return i, err
}

func checkOrderable(i Instance, id, order string) error {
	switch {
	case i.ID == "":
		return noRecordError(id)
	case i.orderID() == order:
		return nil // an earlier attempt wrote it, but its answer was lost
	case i.Order != nil:
		return classifier.Refuse(classifier.Conflict, "instance %s is under %s, asked by %s", id, i.Order.ID, i.Order.RequestedBy)
	case i.Phase != Serving:
		return classifier.Refuse(classifier.Conflict, "instance %s is %s, not serving", id, i.Phase)
	}
	return nil
}

// startAbsenceAndDrain records the absence of a written order, if the
// budgets allow it, and starts the drain.
func (o *Orders) startAbsenceAndDrain(ctx context.Context, placed Instance) (Instance, error) {
	if err := o.budgets.StartAbsence(ctx, newAbsence(placed, placed.Order.ID, time.Now())); err != nil {
		return placed, errors.Trace(err)
	}
	i, _, err := updateIfUnchanged(ctx, o.store, placed, authority{writer: o.self}, markDraining)
	if errors.Is(err, ErrRecordChanged) {
		return i, nil // the coordinator has changed the record; it also ends an unused absence
	}
	return i, errors.Trace(err)
}

// Resume cancels the order of an instance and returns the instance to service in
// its current pool. It refuses with Conflict while the instance is rebooting. An
// evicted instance becomes absent, and returns to service when the instance list
// shows it as live.
func (o *Orders) Resume(ctx context.Context, id, who string) (Instance, error) {
	var refusal error
	var ended *Order
	i, _, err := updateRecord(ctx, o.store, id, authority{writer: o.self}, func(n *Instance) bool {
		refusal, ended = checkResumable(*n, id), n.Order
		if refusal != nil || (n.Phase == Serving && n.Order == nil && n.Unhealthy == "") {
			return false
		}
		n.Unhealthy, n.Phase = "", phaseAfterResume(n.Phase)
		if n.Order != nil {
			endOrder(n, "ended by "+who)
		}
		return true
	})
	if err != nil || refusal != nil {
		return i, firstError(err, refusal)
	}
	o.recordDecisionForOrder(i, ended, "resumed by "+who)
	return i, nil // the coordinator ends the absence once the instance is seen healthy
}

func checkResumable(i Instance, id string) error {
	if i.ID == "" {
		return noRecordError(id)
	}
	if i.Phase == Rebooting {
		return classifier.Refuse(classifier.Conflict, "instance %s is rebooting for %s; wait for it to return", id, i.orderID())
	}
	return nil
}

func phaseAfterResume(p Phase) Phase {
	if p.isGone() {
		return Absent
	}
	return Serving
}

// Evict marks an instance as dead, as declared by an operator. Its absence is
// counted even if that exceeds a budget. Its record is deleted after the record
// retention time unless the instance returns.
func (o *Orders) Evict(ctx context.Context, id, who string) (Instance, error) {
	seen, err := o.Get(ctx, id)
	if err != nil {
		return seen, err
	}
	if err := o.budgets.MarkUnplanned(ctx, newAbsence(seen, "", time.Now())); err != nil {
		return seen, errors.Trace(err)
	}
	i, _, err := updateRecord(ctx, o.store, id, authority{writer: o.self}, func(n *Instance) bool {
		if n.ID == "" || n.Phase == Evicted {
			return false
		}
		n.Phase, n.GoneSince = Evicted, time.Now()
		if n.Order != nil {
			endOrder(n, "failed: evicted by "+who)
		}
		return true
	})
	if err == nil {
		o.recordDecision(i, "evicted by "+who)
	}
	return i, errors.Trace(err)
}

// DrainPool drains as many instances of a pool as the budgets allow.
func (o *Orders) DrainPool(ctx context.Context, pool, who string) (PoolResult, error) {
	return o.forEachInPool(ctx, pool, func(i Instance) bool { return i.Phase == Serving }, func(id string) error {
		_, err := o.Drain(ctx, id, who)
		return err
	})
}

// ResumePool resumes the drained instances of a pool.
func (o *Orders) ResumePool(ctx context.Context, pool, who string) (PoolResult, error) {
	drains := func(i Instance) bool { return i.Order != nil && i.Order.Kind == DrainOrder }
	return o.forEachInPool(ctx, pool, drains, func(id string) error {
		_, err := o.Resume(ctx, id, who)
		return err
	})
}

// forEachInPool calls do with the ID of each instance of a pool for which fits
// returns true. Refusals become part of the result; it stops at any other error.
func (o *Orders) forEachInPool(ctx context.Context, pool string, fits func(Instance) bool, do func(id string) error) (PoolResult, error) {
	result := PoolResult{Done: []string{}}
	list, err := o.List(ctx)
	if err != nil {
		return result, err
	}
	for _, i := range list {
		if i.Pool != pool || !fits(i) {
			continue
		}
		err := do(i.ID)
		var refusal *classifier.Error
		switch {
		case err == nil:
			result.Done = append(result.Done, i.ID)
		case errors.As(err, &refusal):
			result.Refused = append(result.Refused, Refused{Instance: i.ID, Reason: refusal.Message})
		default:
			return result, errors.Trace(err)
		}
	}
	return result, nil
}

func (o *Orders) recordDecision(i Instance, action string) {
	o.recordDecisionForOrder(i, i.Order, action)
}

// recordDecisionForOrder is recordDecision with the order passed separately,
// because the decision may have removed the order from the record.
func (o *Orders) recordDecisionForOrder(i Instance, order *Order, action string) {
	d := recorder.Decision{Time: time.Now(), Entry: o.self, Kind: recorder.Instance, Subject: i.ID, Action: action}
	if order != nil {
		d.Facts = []recorder.Fact{{Name: "order", Value: order.ID}, {Name: "pool", Value: i.Pool}, {Name: "asked", Value: order.RequestedBy}}
	}
	o.journal(d)
	if order != nil && order.Kind == MoveOrder {
		d.Kind, d.Subject = recorder.Move, order.ID
		o.journal(d)
	}
}

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

// orderIDLength is the number of random characters of an order's identity.
const orderIDLength = 8

type (
	// Orders takes the operators' orders on instances and pools. Each is
	// written to the instance's record, where any entry drives it on.
	Orders struct {
		store   Store
		self    string
		rules   func() *parser.Rules
		budgets Budgets
		journal func(recorder.Decision)
	}

	// PoolResult is what an order on a pool did.
	PoolResult struct {
		Done    []string          `json:"done"`
		Refused []RefusedInstance `json:"refused,omitempty"`
	}

	// RefusedInstance is an instance that an order on its pool left alone, and why.
	RefusedInstance struct {
		Instance string `json:"instance"`
		Reason   string `json:"reason"`
	}
)

// NewOrders returns Orders given through the member self. journal may be nil.
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

// List returns all instance records ordered by identity.
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

// Get returns the record of an instance, or a NotFound refusal.
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

// Drain takes an instance out of service until Resume. It refuses with
// BudgetSpent when a budget has no room, and with Conflict when another order
// is under way.
func (o *Orders) Drain(ctx context.Context, id, who string) (Instance, error) {
	return o.startNow(ctx, id, newOrder(DrainOrder, who))
}

// Reboot drains an instance, reboots it and takes it back into service. The
// drain is undone when work still runs after limit; 0 sets no limit. It
// refuses as Drain does.
func (o *Orders) Reboot(ctx context.Context, id, who string, limit time.Duration) (Instance, error) {
	return o.reboot(ctx, id, newOrder(RebootOrder, who), limit)
}

func (o *Orders) reboot(ctx context.Context, id string, order Order, limit time.Duration) (Instance, error) {
	if limit > 0 {
		order.Expires = order.Since.Add(limit)
	}
	return o.startNow(ctx, id, order)
}

// Move drains an instance and takes it into service in another pool, within
// the time limit of the pool that it leaves. While a budget has no room the
// order waits; its Note says for what.
func (o *Orders) Move(ctx context.Context, id, pool, who string) (Instance, error) {
	return o.move(ctx, id, pool, who, false)
}

// Lend moves an instance that keeps belonging to its home pool.
func (o *Orders) Lend(ctx context.Context, id, pool, who string) (Instance, error) {
	return o.move(ctx, id, pool, who, true)
}

func (o *Orders) move(ctx context.Context, id, pool, who string, lend bool) (Instance, error) {
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
	started, err := o.takeAbsenceAndDrain(ctx, placed)
	if classifier.As(err) != nil && classifier.As(err).Code == classifier.BudgetSpent {
		return placed, nil // the coordinator tries again until the time limit
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
		if p.Name == pool && p.MoveFor > 0 {
			return p.MoveFor
		}
	}
	return defaultMoveTimeout
}

// now places an order that is withdrawn when it cannot start at once.
func (o *Orders) startNow(ctx context.Context, id string, order Order) (Instance, error) {
	placed, err := o.writeOrder(ctx, id, order, func(Instance, *Order) error { return nil })
	if err != nil {
		return placed, err
	}
	started, err := o.takeAbsenceAndDrain(ctx, placed)
	if refusal := classifier.As(err); refusal != nil && refusal.Verdict == classifier.NotRun {
		return o.withdraw(ctx, placed, refusal)
	}
	return started, err
}

// withdraw takes back an order that has not started.
func (o *Orders) withdraw(ctx context.Context, placed Instance, cause error) (Instance, error) {
	i, _, err := updateIfUnchanged(ctx, o.store, placed, authority{writer: o.self}, func(n *Instance) { endOrder(n, outcomeRefused) })
	if err != nil && !errors.Is(err, ErrRecordChanged) {
		return i, errors.Annotatef(err, "order %s refused (%v) and not taken back", placed.orderID(), cause)
	}
	o.recordDecisionForOrder(i, placed.Order, "refused: "+classifier.As(cause).Message)
	return i, cause
}

// place writes an order to the record of an instance in service.
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
		return nil // written before, the answer was lost
	case i.Order != nil:
		return classifier.Refuse(classifier.Conflict, "instance %s is under %s, asked by %s", id, i.Order.ID, i.Order.RequestedBy)
	case i.Phase != Serving:
		return classifier.Refuse(classifier.Conflict, "instance %s is %s, not serving", id, i.Phase)
	}
	return nil
}

// start takes the absence of a placed order and starts the drain.
func (o *Orders) takeAbsenceAndDrain(ctx context.Context, placed Instance) (Instance, error) {
	if err := o.budgets.Take(ctx, newAbsence(placed, placed.Order.ID, time.Now())); err != nil {
		return placed, errors.Trace(err)
	}
	i, _, err := updateIfUnchanged(ctx, o.store, placed, authority{writer: o.self}, markDraining)
	if errors.Is(err, ErrRecordChanged) {
		return i, nil // the coordinator was faster; it also returns an unused absence
	}
	return i, errors.Trace(err)
}

// Resume ends a drain, a move or a reboot that has not been handed to the
// platform, and takes the instance into service where it is. An evicted
// instance waits for the instance list to show it live.
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
	return i, nil // the coordinator returns the absence once it is seen healthy
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
	if p.gone() {
		return Absent
	}
	return Serving
}

// Evict takes an operator's word that an instance is dead. Its absence is
// counted, whatever the budgets say, and its record is forgotten after a while
// unless the instance returns.
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

// DrainPool drains the instances of a pool as far as the budgets allow.
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

// each does something to the instances of a pool that fit. Refusals are part
// of the result; other errors end it.
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
			result.Refused = append(result.Refused, RefusedInstance{Instance: i.ID, Reason: refusal.Message})
		default:
			return result, errors.Trace(err)
		}
	}
	return result, nil
}

func (o *Orders) recordDecision(i Instance, action string) {
	o.recordDecisionForOrder(i, i.Order, action)
}

// noteUnder is note for an order that the decision may have ended.
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

package operator

import (
	"context"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/budgeter"
	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/mover"
	"github.com/coltsfootlever/coltsfootlever/parser"
)

type (
	// PoolOrders reads the records of instances and gives orders to whole
	// pools. *mover.Orders implements it.
	PoolOrders interface {
		List(ctx context.Context) ([]mover.Instance, error)
		DrainPool(ctx context.Context, pool, operatorID string) (mover.PoolResult, error)
		ResumePool(ctx context.Context, pool, operatorID string) (mover.PoolResult, error)
	}

	// Absences reads the record of all absent instances. *budgeter.Budgeter
	// implements it.
	Absences interface {
		Absences(ctx context.Context) (budgeter.Absences, error)
	}

	// PoolReply describes one pool and the instances that are in it now.
	PoolReply struct {
		Name      string `json:"name"`
		Spare     bool   `json:"spare,omitempty"`
		Instances int    `json:"instances"`
		Serving   int    `json:"serving"` // instances that accept work
		Slots     int    `json:"slots"`   // slots of the instances that accept work
		Orders    int    `json:"orders"`  // instances whose order has not ended
		Borrowed  int    `json:"borrowed"`
		Lent      int    `json:"lent"`
		Absent    int    `json:"absent"`               // planned and unplanned absences
		MaxAbsent *int   `json:"max-absent,omitempty"` // nil when no budget applies to the pool
		Comment   string `json:"comment"`
	}

	poolsResource struct {
		rules    RulesSource
		orders   PoolOrders
		absences Absences
	}
)

// PoolsResource returns the resource for the pools.
func PoolsResource(rules RulesSource, orders PoolOrders, absences Absences) Resource {
	return poolsResource{rules, orders, absences}
}

// Routes implements Resource.
func (res poolsResource) Routes() []Route {
	return []Route{
		{"GET /pools", res.list},
		{"POST /pools/{id}/drain", res.orderHandler(res.orders.DrainPool)},
		{"POST /pools/{id}/resume", res.orderHandler(res.orders.ResumePool)},
	}
}

func (res poolsResource) list(ctx context.Context, _ *Request) (any, error) {
	replies := []PoolReply{}
	rules := res.rules.Rules()
	if rules == nil {
		return replies, nil
	}
	instances, err := res.orders.List(ctx)
	if err != nil {
		return nil, classifyReadError(err)
	}
	absences, err := res.absences.Absences(ctx)
	if err != nil {
		return nil, classifyReadError(err)
	}
	for _, p := range rules.Pools {
		reply := PoolReply{Name: p.Name, Spare: p.Spare, Comment: p.Comment}
		reply.countInstances(instances, absences)
		reply.setAbsences(rules.Budgets, absences)
		replies = append(replies, reply)
	}
	return replies, nil
}

// countInstances counts the instances in the pool, and the instances of the
// pool that other pools have borrowed.
func (p *PoolReply) countInstances(instances []mover.Instance, absences budgeter.Absences) {
	for _, i := range instances {
		if i.Home == p.Name && i.Pool != p.Name {
			p.Lent++
		}
		if i.Pool != p.Name {
			continue
		}
		p.Instances++
		if i.Home != p.Name {
			p.Borrowed++
		}
		if i.Order != nil {
			p.Orders++
		}
		x, absent := absences.Find(i.ID)
		evacuated := absent && x.Kind == budgeter.Evacuated
		if i.Phase == mover.Serving && i.Unhealthy == "" && !evacuated {
			p.Serving++
			p.Slots += i.Slots
		}
	}
}

func (p *PoolReply) setAbsences(budgets []parser.Budget, absences budgeter.Absences) {
	p.Absent = len(absences.CountedAgainst(parser.PoolScope, p.Name))
	if limit, ok := budgeter.NewCounter(budgets, absences).MaxAbsent(parser.PoolScope, p.Name); ok {
		p.MaxAbsent = &limit
	}
}

// orderHandler returns a handler that gives an order to the pool named in the
// path. The order continues if the operator disconnects.
func (res poolsResource) orderHandler(giveOrder func(ctx context.Context, pool, operatorID string) (mover.PoolResult, error)) func(context.Context, *Request) (any, error) {
	return func(ctx context.Context, r *Request) (any, error) {
		pool := r.Value("id")
		if !res.isPoolInRules(pool) {
			return nil, classifier.Refuse(classifier.NotFound, "no rule names pool %q: pool list shows all", pool)
		}
		if _, err := res.orders.List(ctx); err != nil {
			return nil, classifyReadError(err)
		}
		ctx, cancel := detachedContext(ctx)
		defer cancel()
		result, err := giveOrder(ctx, pool, r.Operator.ID)
		if err != nil {
			return nil, classifyWriteError(errors.Annotatef(err, "after %d instances", len(result.Done)), instancesCommand)
		}
		return result, nil
	}
}

func (res poolsResource) isPoolInRules(pool string) bool {
	rules := res.rules.Rules()
	if rules == nil {
		return false
	}
	for _, p := range rules.Pools {
		if p.Name == pool {
			return true
		}
	}
	return false
}

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
	// PoolOrders gives orders on pools. *mover.Orders is one.
	PoolOrders interface {
		List(ctx context.Context) ([]mover.Instance, error)
		DrainPool(ctx context.Context, pool, who string) (mover.PoolResult, error)
		ResumePool(ctx context.Context, pool, who string) (mover.PoolResult, error)
	}

	// Absences gives the record of all absences. *budgeter.Budgeter is one.
	Absences interface {
		Absences(ctx context.Context) (budgeter.Absences, error)
	}

	// PoolReply is one pool with the instances that are in it now.
	PoolReply struct {
		Name      string `json:"name"`
		Spare     bool   `json:"spare,omitempty"`
		Instances int    `json:"instances"`
		Serving   int    `json:"serving"` // instances that take work
		Slots     int    `json:"slots"`   // slots of the instances that take work
		Orders    int    `json:"orders"`  // instances with an order under way
		Borrowed  int    `json:"borrowed"`
		Lent      int    `json:"lent"`
		Absent    int    `json:"absent"`               // planned and unplanned absences
		MaxAbsent *int   `json:"max-absent,omitempty"` // nil when no budget bounds the pool
		Comment   string `json:"comment"`
	}

	poolsNoun struct {
		rules    Rules
		orders   PoolOrders
		absences Absences
	}
)

// PoolsNoun serves the pools.
func PoolsNoun(rules Rules, orders PoolOrders, absences Absences) Noun {
	return poolsNoun{rules, orders, absences}
}

// Routes implements Noun.
func (n poolsNoun) Routes() []Route {
	return []Route{
		{"GET /pools", n.list},
		{"POST /pools/{id}/drain", n.serve(n.orders.DrainPool)},
		{"POST /pools/{id}/resume", n.serve(n.orders.ResumePool)},
	}
}

func (n poolsNoun) list(ctx context.Context, _ *Request) (any, error) {
	replies := []PoolReply{}
	rules := n.rules.Rules()
	if rules == nil {
		return replies, nil
	}
	instances, err := n.orders.List(ctx)
	if err != nil {
		return nil, readFailed(err)
	}
	absences, err := n.absences.Absences(ctx)
	if err != nil {
		return nil, readFailed(err)
	}
	for _, p := range rules.Pools {
		reply := PoolReply{Name: p.Name, Spare: p.Spare, Comment: p.Comment}
		reply.count(instances)
		reply.bound(rules.Budgets, absences)
		replies = append(replies, reply)
	}
	return replies, nil
}

// count counts the instances in the pool and those of it in others.
func (p *PoolReply) count(instances []mover.Instance) {
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
		if i.Phase == mover.Serving && i.Unhealthy == "" {
			p.Serving++
			p.Slots += i.Slots
		}
	}
}

func (p *PoolReply) bound(budgets []parser.Budget, absences budgeter.Absences) {
	p.Absent = len(absences.CountedAgainst(parser.PoolScope, p.Name))
	if limit, ok := budgeter.NewCounter(budgets, absences).MaxAbsent(parser.PoolScope, p.Name); ok {
		p.MaxAbsent = &limit
	}
}

// serve carries an order on a pool of the rules on when the operator goes away.
func (n poolsNoun) serve(do func(ctx context.Context, pool, who string) (mover.PoolResult, error)) func(context.Context, *Request) (any, error) {
	return func(ctx context.Context, r *Request) (any, error) {
		pool := r.Value("id")
		if !n.known(pool) {
			return nil, classifier.Refuse(classifier.NotFound, "no rule names pool %q: pool list shows all", pool)
		}
		if _, err := n.orders.List(ctx); err != nil {
			return nil, readFailed(err)
		}
		ctx, cancel := lasting(ctx)
		defer cancel()
		result, err := do(ctx, pool, r.Operator.ID)
		if err != nil {
			return nil, writeFailed(errors.Annotatef(err, "after %d instances", len(result.Done)), lookAtInstances)
		}
		return result, nil
	}
}

func (n poolsNoun) known(pool string) bool {
	rules := n.rules.Rules()
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

package operator

import (
	"context"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/mover"
)

const lookAtInstances = "'instance list'"

type (
	// InstanceOrders gives orders on instances. *mover.Orders is one.
	InstanceOrders interface {
		List(ctx context.Context) ([]mover.Instance, error)
		Get(ctx context.Context, id string) (mover.Instance, error)
		Drain(ctx context.Context, id, who string) (mover.Instance, error)
		Resume(ctx context.Context, id, who string) (mover.Instance, error)
		Move(ctx context.Context, id, pool, who string) (mover.Instance, error)
		Evict(ctx context.Context, id, who string) (mover.Instance, error)
	}

	// MoveRequest asks for an instance to be moved.
	MoveRequest struct {
		Pool string `json:"pool"` // where to
	}

	instancesNoun struct {
		orders InstanceOrders
	}

	// order is one order on one instance.
	order func(ctx context.Context, id string, r *Request) (mover.Instance, error)
)

// InstancesNoun serves the instances.
func InstancesNoun(orders InstanceOrders) Noun {
	return instancesNoun{orders}
}

// Routes implements Noun.
func (n instancesNoun) Routes() []Route {
	return []Route{
		{"GET /instances", n.list},
		{"POST /instances/{id}/drain", n.serve(n.drain)},
		{"POST /instances/{id}/resume", n.serve(n.resume)},
		{"POST /instances/{id}/move", n.serve(n.move)},
		{"POST /instances/{id}/evict", n.serve(n.evict)},
	}
}

// list returns the records of the instances, those in one pool when the
// parameter pool is given.
func (n instancesNoun) list(ctx context.Context, r *Request) (any, error) {
	all, err := n.orders.List(ctx)
	if err != nil {
		return nil, readFailed(err)
	}
	list := []mover.Instance{}
	for _, i := range all {
		if pool := r.Query("pool"); pool == "" || i.Pool == pool {
			list = append(list, i)
		}
	}
	return list, nil
}

// serve reads the record first, so that a refusal is known to have changed
// nothing, and carries the order on when the operator goes away.
func (n instancesNoun) serve(do order) func(context.Context, *Request) (any, error) {
	return func(ctx context.Context, r *Request) (any, error) {
		id := r.Value("id")
		if _, err := n.orders.Get(ctx, id); err != nil {
			return nil, readFailed(advise(err, "instance list shows all"))
		}
		ctx, cancel := lasting(ctx)
		defer cancel()
		i, err := do(ctx, id, r)
		if err != nil {
			return nil, writeFailed(advise(err, adviceOn(err)), lookAtInstances)
		}
		return i, nil
	}
}

// adviceOn says what to do next when an order on an instance is refused.
func adviceOn(err error) string {
	switch classifier.As(err).Code {
	case classifier.BudgetSpent:
		return "wait for one of them, or resume it"
	case classifier.Conflict:
		return "instance list shows its state; instance resume ends an order"
	case classifier.NotFound:
		return "pool list shows all"
	default:
		return ""
	}
}

func (n instancesNoun) drain(ctx context.Context, id string, r *Request) (mover.Instance, error) {
	return n.orders.Drain(ctx, id, r.Operator.ID)
}

func (n instancesNoun) resume(ctx context.Context, id string, r *Request) (mover.Instance, error) {
	return n.orders.Resume(ctx, id, r.Operator.ID)
}

func (n instancesNoun) evict(ctx context.Context, id string, r *Request) (mover.Instance, error) {
	return n.orders.Evict(ctx, id, r.Operator.ID)
}

func (n instancesNoun) move(ctx context.Context, id string, r *Request) (mover.Instance, error) {
	var req MoveRequest
	if err := r.Decode(&req); err != nil {
		return mover.Instance{}, errors.Trace(err)
	}
	if req.Pool == "" {
		return mover.Instance{}, classifier.Refuse(classifier.BadRequest, "pool: name the pool to move to; pool list shows all")
	}
	return n.orders.Move(ctx, id, req.Pool, r.Operator.ID)
}

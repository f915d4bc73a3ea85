package operator

import (
	"context"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/mover"
)

const instancesCommand = "'instance list'"

type (
	// InstanceOrders reads the records of instances and gives orders to them.
	// *mover.Orders implements it.
	InstanceOrders interface {
		List(ctx context.Context) ([]mover.Instance, error)
		Get(ctx context.Context, id string) (mover.Instance, error)
		Drain(ctx context.Context, id, operatorID string) (mover.Instance, error)
		Resume(ctx context.Context, id, operatorID string) (mover.Instance, error)
		Move(ctx context.Context, id, pool, operatorID string) (mover.Instance, error)
		Evict(ctx context.Context, id, operatorID string) (mover.Instance, error)
	}

	// MoveRequest is the body of a call that moves an instance.
	MoveRequest struct {
		Pool string `json:"pool"` // pool to move the instance to
	}

	instancesResource struct {
		orders InstanceOrders
	}

	// orderFunc gives one order to one instance.
	orderFunc func(ctx context.Context, id string, r *Request) (mover.Instance, error)
)

// InstancesResource returns the resource for the instances.
func InstancesResource(orders InstanceOrders) Resource {
	return instancesResource{orders}
}

// Routes implements Resource.
func (res instancesResource) Routes() []Route {
	return []Route{
		{"GET /instances", res.list},
		{"POST /instances/{id}/drain", res.orderHandler(res.drain)},
		{"POST /instances/{id}/resume", res.orderHandler(res.resume)},
		{"POST /instances/{id}/move", res.orderHandler(res.move)},
		{"POST /instances/{id}/evict", res.orderHandler(res.evict)},
	}
}

// list returns the records of all instances, or of those in the pool that the
// parameter "pool" names.
func (res instancesResource) list(ctx context.Context, r *Request) (any, error) {
	all, err := res.orders.List(ctx)
	if err != nil {
		return nil, classifyReadError(err)
	}
	list := []mover.Instance{}
	for _, i := range all {
		if pool := r.Query("pool"); pool == "" || i.Pool == pool {
			list = append(list, i)
		}
	}
	return list, nil
}

// orderHandler returns a handler that gives an order to the instance named in the
// path. The handler reads the instance record first, so that a failed read is
// known to have changed nothing. The order continues if the operator disconnects.
func (res instancesResource) orderHandler(giveOrder orderFunc) func(context.Context, *Request) (any, error) {
	return func(ctx context.Context, r *Request) (any, error) {
		id := r.Value("id")
		if _, err := res.orders.Get(ctx, id); err != nil {
			return nil, classifyReadError(appendAdvice(err, "instance list shows all"))
		}
		ctx, cancel := detachedContext(ctx)
		defer cancel()
		i, err := giveOrder(ctx, id, r)
		if err != nil {
			return nil, classifyWriteError(appendAdvice(err, adviceForInstance(err)), instancesCommand)
		}
		return i, nil
	}
}

// adviceForInstance returns what the operator can do when an order to an
// instance is refused.
func adviceForInstance(err error) string {
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

func (res instancesResource) drain(ctx context.Context, id string, r *Request) (mover.Instance, error) {
	return res.orders.Drain(ctx, id, r.Operator.ID)
}

func (res instancesResource) resume(ctx context.Context, id string, r *Request) (mover.Instance, error) {
	return res.orders.Resume(ctx, id, r.Operator.ID)
}

func (res instancesResource) evict(ctx context.Context, id string, r *Request) (mover.Instance, error) {
	return res.orders.Evict(ctx, id, r.Operator.ID)
}

func (res instancesResource) move(ctx context.Context, id string, r *Request) (mover.Instance, error) {
	var req MoveRequest
	if err := r.Decode(&req); err != nil {
		return mover.Instance{}, errors.Trace(err)
	}
	if req.Pool == "" {
		return mover.Instance{}, classifier.Refuse(classifier.BadRequest, "pool: name the pool to move to; pool list shows all")
	}
	return res.orders.Move(ctx, id, req.Pool, r.Operator.ID)
}

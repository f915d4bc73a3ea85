package operator

import (
	"context"
	"net/http"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/mover"
)

const (
	maintenanceCommand = "'maintenance status'"
	maintenancePath    = "/maintenance"
)

type (
	// Rollouts controls the roll-outs that maintain the fleet. *mover.Orders
	// implements it.
	Rollouts interface {
		Rollout(ctx context.Context) (mover.Rollout, error)
		StartRollout(ctx context.Context, q mover.RolloutRequest) (mover.Rollout, error)
		PauseRollout(ctx context.Context, operatorID string) (mover.Rollout, error)
		ResumeRollout(ctx context.Context, operatorID string) (mover.Rollout, error)
	}

	maintenanceResource struct {
		rollouts Rollouts
	}
)

// MaintenanceResource returns the resource for the maintenance of the fleet.
func MaintenanceResource(rollouts Rollouts) Resource {
	return maintenanceResource{rollouts}
}

// Routes implements Resource.
func (res maintenanceResource) Routes() []Route {
	return []Route{
		{"GET " + maintenancePath, res.status},
		{"POST " + maintenancePath + "/start", res.changeHandler(res.start)},
		{"POST " + maintenancePath + "/pause", res.changeHandler(res.pause)},
		{"POST " + maintenancePath + "/resume", res.changeHandler(res.resume)},
	}
}

func (res maintenanceResource) status(ctx context.Context, _ *Request) (any, error) {
	r, err := res.rollouts.Rollout(ctx)
	if err != nil {
		return nil, classifyReadError(err)
	}
	return r, nil
}

// changeHandler returns a handler that changes the roll-out. The handler reads the
// roll-out record first, so that a failed read is known to have changed nothing.
// The change continues if the operator disconnects.
func (res maintenanceResource) changeHandler(change func(ctx context.Context, r *Request) (mover.Rollout, error)) func(context.Context, *Request) (any, error) {
	return func(ctx context.Context, r *Request) (any, error) {
		if _, err := res.rollouts.Rollout(ctx); err != nil {
			return nil, classifyReadError(err)
		}
		ctx, cancel := detachedContext(ctx)
		defer cancel()
		rollout, err := change(ctx, r)
		if err != nil {
			return nil, classifyWriteError(appendAdvice(err, adviceForRollout(err)), maintenanceCommand)
		}
		return rollout, nil
	}
}

func adviceForRollout(err error) string {
	switch classifier.As(err).Code {
	case classifier.Conflict:
		return "maintenance status shows it"
	case classifier.NotFound:
		return "pool list shows all"
	default:
		return ""
	}
}

func (res maintenanceResource) start(ctx context.Context, r *Request) (mover.Rollout, error) {
	var q mover.RolloutRequest
	if err := r.Decode(&q); err != nil {
		return mover.Rollout{}, errors.Trace(err)
	}
	if q.Window < 0 || q.DrainLimit < 0 || q.MaxFailed < 0 {
		return mover.Rollout{}, classifier.Refuse(classifier.BadRequest, "window, drain limit and failures must not be negative")
	}
	q.RequestedBy = r.Operator.ID
	return res.rollouts.StartRollout(ctx, q)
}

func (res maintenanceResource) pause(ctx context.Context, r *Request) (mover.Rollout, error) {
	return res.rollouts.PauseRollout(ctx, r.Operator.ID)
}

func (res maintenanceResource) resume(ctx context.Context, r *Request) (mover.Rollout, error) {
	return res.rollouts.ResumeRollout(ctx, r.Operator.ID)
}

// Rollout returns the record of the last roll-out. Its ID is empty when there
// has been none.
func (c *Client) Rollout(ctx context.Context) (mover.Rollout, error) {
	var r mover.Rollout
	err := c.Call(ctx, http.MethodGet, maintenancePath, nil, &r)
	return r, err
}

// StartRollout starts a roll-out.
func (c *Client) StartRollout(ctx context.Context, q mover.RolloutRequest) (mover.Rollout, error) {
	return c.changeRollout(ctx, "start", q)
}

// PauseRollout stops the roll-out from ordering further instances.
func (c *Client) PauseRollout(ctx context.Context) (mover.Rollout, error) {
	return c.changeRollout(ctx, "pause", nil)
}

// ResumeRollout continues a roll-out that was paused or stopped.
func (c *Client) ResumeRollout(ctx context.Context) (mover.Rollout, error) {
	return c.changeRollout(ctx, "resume", nil)
}

func (c *Client) changeRollout(ctx context.Context, verb string, in any) (mover.Rollout, error) {
	var r mover.Rollout
	err := c.Call(ctx, http.MethodPost, maintenancePath+"/"+verb, in, &r)
	return r, err
}

package operator

import (
	"context"
	"net/http"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/mover"
)

const (
	lookAtMaintenance = "'maintenance status'"
	maintenancePath   = "/maintenance"
)

type (
	// Rollouts controls the maintenance of the fleet. *mover.Orders is one.
	Rollouts interface {
		Rollout(ctx context.Context) (mover.Rollout, error)
		StartRollout(ctx context.Context, q mover.RolloutRequest) (mover.Rollout, error)
		PauseRollout(ctx context.Context, who string) (mover.Rollout, error)
		ResumeRollout(ctx context.Context, who string) (mover.Rollout, error)
	}

	maintenanceNoun struct {
		rollouts Rollouts
	}
)

// MaintenanceNoun serves the maintenance of the fleet.
func MaintenanceNoun(rollouts Rollouts) Noun {
	return maintenanceNoun{rollouts}
}

// Routes implements Noun.
func (n maintenanceNoun) Routes() []Route {
	return []Route{
		{"GET " + maintenancePath, n.status},
		{"POST " + maintenancePath + "/start", n.serve(n.start)},
		{"POST " + maintenancePath + "/pause", n.serve(n.pause)},
		{"POST " + maintenancePath + "/resume", n.serve(n.resume)},
	}
}

func (n maintenanceNoun) status(ctx context.Context, _ *Request) (any, error) {
	r, err := n.rollouts.Rollout(ctx)
	if err != nil {
		return nil, readFailed(err)
	}
	return r, nil
}

// serve reads the record first, so that a refusal is known to have changed
// nothing, and carries the call on when the operator goes away.
func (n maintenanceNoun) serve(do func(ctx context.Context, r *Request) (mover.Rollout, error)) func(context.Context, *Request) (any, error) {
	return func(ctx context.Context, r *Request) (any, error) {
		if _, err := n.rollouts.Rollout(ctx); err != nil {
			return nil, readFailed(err)
		}
		ctx, cancel := lasting(ctx)
		defer cancel()
		rollout, err := do(ctx, r)
		if err != nil {
			return nil, writeFailed(advise(err, adviceOnRollout(err)), lookAtMaintenance)
		}
		return rollout, nil
	}
}

func adviceOnRollout(err error) string {
	switch classifier.As(err).Code {
	case classifier.Conflict:
		return "maintenance status shows it"
	case classifier.NotFound:
		return "pool list shows all"
	default:
		return ""
	}
}

func (n maintenanceNoun) start(ctx context.Context, r *Request) (mover.Rollout, error) {
	var q mover.RolloutRequest
	if err := r.Decode(&q); err != nil {
		return mover.Rollout{}, errors.Trace(err)
	}
	if q.Window < 0 || q.DrainLimit < 0 || q.MaxFailed < 0 {
		return mover.Rollout{}, classifier.Refuse(classifier.BadRequest, "window, drain limit and failures must not be negative")
	}
	q.RequestedBy = r.Operator.ID
	return n.rollouts.StartRollout(ctx, q)
}

func (n maintenanceNoun) pause(ctx context.Context, r *Request) (mover.Rollout, error) {
	return n.rollouts.PauseRollout(ctx, r.Operator.ID)
}

func (n maintenanceNoun) resume(ctx context.Context, r *Request) (mover.Rollout, error) {
	return n.rollouts.ResumeRollout(ctx, r.Operator.ID)
}

// Rollout returns the record of the last roll-out; its ID is empty when there
// was none.
func (c *Client) Rollout(ctx context.Context) (mover.Rollout, error) {
	var r mover.Rollout
	err := c.Call(ctx, http.MethodGet, maintenancePath, nil, &r)
	return r, err
}

// StartRollout starts a roll-out.
func (c *Client) StartRollout(ctx context.Context, q mover.RolloutRequest) (mover.Rollout, error) {
	return c.changeRollout(ctx, "start", q)
}

// PauseRollout has the roll-out order nothing more.
func (c *Client) PauseRollout(ctx context.Context) (mover.Rollout, error) {
	return c.changeRollout(ctx, "pause", nil)
}

// ResumeRollout has the roll-out go on.
func (c *Client) ResumeRollout(ctx context.Context) (mover.Rollout, error) {
	return c.changeRollout(ctx, "resume", nil)
}

func (c *Client) changeRollout(ctx context.Context, verb string, in any) (mover.Rollout, error) {
	var r mover.Rollout
	err := c.Call(ctx, http.MethodPost, maintenancePath+"/"+verb, in, &r)
	return r, err
}

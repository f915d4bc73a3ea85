package server

import (
	"context"
	"time"

	"github.com/juju/errors"
)

const (
	// handOverTime bounds the wait for other members to take over workers.
	handOverTimeout      = 30 * time.Second
	handOverPollInterval = 50 * time.Millisecond
)

// Stop ends the entry's service without cutting a request: it fails the
// readiness check, waits for the balancer, refuses new work, waits for work
// under way, hands over names and gives up grants and workers. ctx bounds the
// whole; when it ends before the work does, the entry stays registered, and
// others take over on the evidence that its process is gone. Run must still be
// running.
func (e *Entry) Stop(ctx context.Context) error {
	e.leaving.Store(true)
	sleep(ctx, e.cfg.BalancerDelay)
	e.admitter.Close()
	e.router.Close()
	if err := e.router.Wait(ctx); err != nil {
		return errors.Annotate(err, "waiting for work under way")
	}
	if err := e.waitForTasks(ctx); err != nil {
		return errors.Annotate(err, "waiting for tasks on workers")
	}
	if err := e.members.Leave(ctx); err != nil {
		return errors.Annotate(err, "leaving the membership")
	}
	return errors.Annotate(e.grants.Release(ctx), "releasing grants")
}

// waitForWorkers waits until no worker runs a task of this entry, answered or
// not: a member that has left may not go on renewing leases.
func (e *Entry) waitForTasks(ctx context.Context) error {
	for len(e.fleet.Busy()) > 0 {
		sleep(ctx, handOverPollInterval)
		if ctx.Err() != nil {
			return errors.Trace(ctx.Err())
		}
	}
	return nil
}

// handOver waits until the other members have this member's names and workers.
// Workers that nobody takes over in time move later, on the evidence that this
// member has left.
func (e *Entry) handOver(ctx context.Context, view uint64) error {
	if err := e.claims.WaitForHandOver(ctx, view); err != nil {
		return errors.Trace(err)
	}
	deadline := time.Now().Add(handOverTimeout)
	for e.ownsWorkers() && time.Now().Before(deadline) && e.members.View().Number == view {
		sleep(ctx, handOverPollInterval)
		if ctx.Err() != nil {
			return errors.Trace(ctx.Err())
		}
	}
	return nil
}

// ownsWorkers says whether a record names this member as owner.
func (e *Entry) ownsWorkers() bool {
	for _, i := range e.mover.Table().All() {
		if i.Owner == e.self().ID {
			return true
		}
	}
	return false
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

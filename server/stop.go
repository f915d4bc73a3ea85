package server

import (
	"context"
	"time"

	"github.com/juju/errors"
)

const (
	// handOverTimeout limits the wait for other entries to take over this
	// entry's workers.
	handOverTimeout      = 30 * time.Second
	handOverPollInterval = 50 * time.Millisecond
)

// Stop shuts the entry down without breaking off a request. It fails the readiness
// check, waits until the load balancer has noticed, refuses new requests, waits
// for requests in progress, hands over request names, and gives up its grants and
// workers. If ctx ends before that, the entry stays registered, and other entries
// take over once they have evidence that its process is gone. Run must still be
// running while Stop is called.
func (e *Entry) Stop(ctx context.Context) error {
	e.leaving.Store(true)
	sleep(ctx, e.cfg.BalancerDelay)
	e.admitter.Close()
	e.router.Close()
	if err := e.router.Wait(ctx); err != nil {
		return errors.Annotate(err, "waiting for requests in progress")
	}
	if err := e.waitForTasks(ctx); err != nil {
		return errors.Annotate(err, "waiting for tasks on workers")
	}
	if err := e.members.Leave(ctx); err != nil {
		return errors.Annotate(err, "leaving the membership")
	}
	return errors.Annotate(e.grants.Release(ctx), "releasing grants")
}

// waitForTasks waits until no worker runs a task of this entry, even a task whose
// request has been answered: an entry that has left the membership must not renew
// task leases any more.
func (e *Entry) waitForTasks(ctx context.Context) error {
	for len(e.fleet.BusyWorkers()) > 0 {
		sleep(ctx, handOverPollInterval)
		if ctx.Err() != nil {
			return errors.Trace(ctx.Err())
		}
	}
	return nil
}

// handOver waits until the other entries have taken over the request names and the
// workers of this entry. Workers that are not taken over within handOverTimeout
// are reassigned later, when there is evidence that this entry has left.
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

// ownsWorkers reports whether any instance record names this entry as its owner.
func (e *Entry) ownsWorkers() bool {
	for _, i := range e.mover.Table().All() {
		if i.Owner == e.self().ID {
			return true
		}
	}
	return false
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

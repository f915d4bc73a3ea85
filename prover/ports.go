package prover

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/dispatcher"
	"github.com/coltsfootlever/coltsfootlever/emulator"
	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/lister"
)

type (
	// storeClient is a node's client for the key-value service. It reports every
	// store change to the checker before the node can see it.
	storeClient struct {
		gate   *gate
		client *emulator.StoreClient
		audit  *auditor
	}

	// listClient is a node's client for the instance list.
	listClient struct {
		gate *gate
		node *Node
		list *emulator.Platform
	}

	// workerClient is a node's client for the workers.
	workerClient struct {
		gate            *gate
		fleet           *emulator.Fleet
		audit           *auditor
		workerByAddress map[string]string // worker ID by address
	}

	listResult struct {
		records  []keeper.Record
		revision int64
	}
)

// callStore calls the key-value service and reports its changes to the checker.
// If the process was killed meanwhile, the result is unknown to it.
func callStore[T any](c storeClient, fn func() (T, error)) (T, error) {
	var none T
	if !c.gate.waitUntilRunning() {
		return none, errors.Trace(keeper.ErrUnavailable)
	}
	v, err := fn()
	c.audit.reportStoreChanges()
	if !c.gate.waitUntilRunning() {
		return none, errors.Trace(keeper.ErrUnknown)
	}
	return v, err
}

// callStoreWithoutResult is callStore for calls that return only an error.
func callStoreWithoutResult(c storeClient, fn func() error) error {
	_, err := callStore(c, func() (struct{}, error) { return struct{}{}, fn() })
	return err
}

// Get implements server.Store.
func (c storeClient) Get(ctx context.Context, key string) (keeper.Record, error) {
	return callStore(c, func() (keeper.Record, error) { return c.client.Get(ctx, key) })
}

// List implements server.Store.
func (c storeClient) List(ctx context.Context, prefix string) ([]keeper.Record, int64, error) {
	found, err := callStore(c, func() (listResult, error) {
		records, revision, err := c.client.List(ctx, prefix)
		return listResult{records, revision}, err
	})
	return found.records, found.revision, err
}

// Swap implements server.Store.
func (c storeClient) Swap(ctx context.Context, key string, value []byte, revision int64, lease keeper.LeaseID) (keeper.Record, error) {
	return callStore(c, func() (keeper.Record, error) { return c.client.Swap(ctx, key, value, revision, lease) })
}

// Delete implements server.Store.
func (c storeClient) Delete(ctx context.Context, key string, revision int64) error {
	return callStoreWithoutResult(c, func() error { return c.client.Delete(ctx, key, revision) })
}

// Watch implements server.Store.
func (c storeClient) Watch(ctx context.Context, prefix string, after int64, fn func(keeper.Event)) error {
	if !c.gate.waitUntilRunning() {
		return errors.Trace(keeper.ErrUnavailable)
	}
	return c.client.Watch(ctx, prefix, after, func(ev keeper.Event) {
		c.audit.reportStoreChanges()
		if c.gate.waitUntilRunning() {
			fn(ev)
		}
	})
}

// Grant implements server.Store.
func (c storeClient) Grant(ctx context.Context, ttl time.Duration) (keeper.LeaseID, error) {
	return callStore(c, func() (keeper.LeaseID, error) { return c.client.Grant(ctx, ttl) })
}

// KeepAlive implements server.Store.
func (c storeClient) KeepAlive(ctx context.Context, id keeper.LeaseID) error {
	return callStoreWithoutResult(c, func() error { return c.client.KeepAlive(ctx, id) })
}

// Revoke implements server.Store.
func (c storeClient) Revoke(ctx context.Context, id keeper.LeaseID) error {
	return callStoreWithoutResult(c, func() error { return c.client.Revoke(ctx, id) })
}

// List implements server.Instances.
func (c listClient) List(ctx context.Context) ([]lister.Listing, error) {
	if !c.gate.waitUntilRunning() || c.node.listUnreachable.Load() {
		return nil, errors.Trace(lister.ErrUnavailable)
	}
	list, err := c.list.List(ctx)
	if !c.gate.waitUntilRunning() {
		return nil, errors.Trace(lister.ErrUnavailable)
	}
	return list, err
}

// Reboot implements server.Instances.
func (c listClient) Reboot(ctx context.Context, id string) error {
	if !c.gate.waitUntilRunning() || c.node.listUnreachable.Load() {
		return errors.Trace(lister.ErrUnavailable)
	}
	err := c.list.Reboot(ctx, id)
	if !c.gate.waitUntilRunning() {
		return errors.Trace(lister.ErrUnknown)
	}
	return err
}

// Start implements server.Workers.
func (c workerClient) Start(ctx context.Context, address string, s dispatcher.Start) (dispatcher.Finish, error) {
	if !c.gate.waitUntilRunning() {
		return dispatcher.Finish{}, classifier.Refuse(classifier.WorkerLost, "the process is dead")
	}
	c.audit.recordJobOfTask(s)
	finish, err := c.fleet.Start(ctx, address, s)
	if !c.gate.waitUntilRunning() {
		return dispatcher.Finish{}, classifier.Uncertain(classifier.WorkerLost, "the process is dead")
	}
	return finish, err
}

// Renew implements server.Workers.
func (c workerClient) Renew(ctx context.Context, address string, r dispatcher.Renewal) ([]string, error) {
	if !c.gate.waitUntilRunning() {
		return nil, classifier.Refuse(classifier.WorkerLost, "the process is dead")
	}
	unknown, err := c.fleet.Renew(ctx, address, r)
	c.gate.waitUntilRunning()
	return unknown, err
}

// Stop implements server.Workers.
func (c workerClient) Stop(ctx context.Context, address, task string) error {
	return c.sendOrder(ctx, address, task, c.fleet.Stop)
}

// Checkpoint implements server.Workers.
func (c workerClient) Checkpoint(ctx context.Context, address, task string) error {
	return c.sendOrder(ctx, address, task, c.fleet.Checkpoint)
}

// Throttle implements server.Workers.
func (c workerClient) Throttle(ctx context.Context, address, task string) error {
	return c.sendOrder(ctx, address, task, func(ctx context.Context, address, task string) error {
		err := c.fleet.Throttle(ctx, address, task)
		if err == nil {
			c.audit.RecordThrottledTask(c.workerByAddress[address], task)
		}
		return err
	})
}

func (c workerClient) sendOrder(ctx context.Context, address, task string, send func(context.Context, string, string) error) error {
	if !c.gate.waitUntilRunning() {
		return classifier.Refuse(classifier.WorkerLost, "the process is dead")
	}
	err := send(ctx, address, task)
	c.gate.waitUntilRunning()
	return err
}

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
		gate  *gate
		port  *emulator.StoreClient
		audit *auditor
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
func callStore[T any](p storeClient, fn func() (T, error)) (T, error) {
	var none T
	if !p.gate.waitUntilRunning() {
		return none, errors.Trace(keeper.ErrUnavailable)
	}
	v, err := fn()
	p.audit.reportStoreChanges()
	if !p.gate.waitUntilRunning() {
		return none, errors.Trace(keeper.ErrUnknown)
	}
	return v, err
}

// callStoreWithoutResult is callStore for calls that return only an error.
func callStoreWithoutResult(p storeClient, fn func() error) error {
	_, err := callStore(p, func() (struct{}, error) { return struct{}{}, fn() })
	return err
}

// Get implements server.Store.
func (p storeClient) Get(ctx context.Context, key string) (keeper.Record, error) {
	return callStore(p, func() (keeper.Record, error) { return p.port.Get(ctx, key) })
}

// List implements server.Store.
func (p storeClient) List(ctx context.Context, prefix string) ([]keeper.Record, int64, error) {
	f, err := callStore(p, func() (listResult, error) {
		records, revision, err := p.port.List(ctx, prefix)
		return listResult{records, revision}, err
	})
	return f.records, f.revision, err
}

// Swap implements server.Store.
func (p storeClient) Swap(ctx context.Context, key string, value []byte, revision int64, lease keeper.LeaseID) (keeper.Record, error) {
	return callStore(p, func() (keeper.Record, error) { return p.port.Swap(ctx, key, value, revision, lease) })
}

// Delete implements server.Store.
func (p storeClient) Delete(ctx context.Context, key string, revision int64) error {
	return callStoreWithoutResult(p, func() error { return p.port.Delete(ctx, key, revision) })
}

// Watch implements server.Store.
func (p storeClient) Watch(ctx context.Context, prefix string, after int64, fn func(keeper.Event)) error {
	if !p.gate.waitUntilRunning() {
		return errors.Trace(keeper.ErrUnavailable)
	}
	return p.port.Watch(ctx, prefix, after, func(ev keeper.Event) {
		p.audit.reportStoreChanges()
		if p.gate.waitUntilRunning() {
			fn(ev)
		}
	})
}

// Grant implements server.Store.
func (p storeClient) Grant(ctx context.Context, ttl time.Duration) (keeper.LeaseID, error) {
	return callStore(p, func() (keeper.LeaseID, error) { return p.port.Grant(ctx, ttl) })
}

// KeepAlive implements server.Store.
func (p storeClient) KeepAlive(ctx context.Context, id keeper.LeaseID) error {
	return callStoreWithoutResult(p, func() error { return p.port.KeepAlive(ctx, id) })
}

// Revoke implements server.Store.
func (p storeClient) Revoke(ctx context.Context, id keeper.LeaseID) error {
	return callStoreWithoutResult(p, func() error { return p.port.Revoke(ctx, id) })
}

// List implements server.Instances.
func (p listClient) List(ctx context.Context) ([]lister.Listing, error) {
	if !p.gate.waitUntilRunning() || p.node.cutList.Load() {
		return nil, errors.Trace(lister.ErrUnavailable)
	}
	list, err := p.list.List(ctx)
	if !p.gate.waitUntilRunning() {
		return nil, errors.Trace(lister.ErrUnavailable)
	}
	return list, err
}

// Reboot implements server.Instances.
func (p listClient) Reboot(ctx context.Context, id string) error {
	if !p.gate.waitUntilRunning() || p.node.cutList.Load() {
		return errors.Trace(lister.ErrUnavailable)
	}
	err := p.list.Reboot(ctx, id)
	if !p.gate.waitUntilRunning() {
		return errors.Trace(lister.ErrUnknown)
	}
	return err
}

// Start implements server.Workers.
func (p workerClient) Start(ctx context.Context, address string, s dispatcher.Start) (dispatcher.Finish, error) {
	if !p.gate.waitUntilRunning() {
		return dispatcher.Finish{}, classifier.Refuse(classifier.WorkerLost, "the process is dead")
	}
	p.audit.rememberJob(s)
	finish, err := p.fleet.Start(ctx, address, s)
	if !p.gate.waitUntilRunning() {
		return dispatcher.Finish{}, classifier.Uncertain(classifier.WorkerLost, "the process is dead")
	}
	return finish, err
}

// Renew implements server.Workers.
func (p workerClient) Renew(ctx context.Context, address string, r dispatcher.Renewal) ([]string, error) {
	if !p.gate.waitUntilRunning() {
		return nil, classifier.Refuse(classifier.WorkerLost, "the process is dead")
	}
	unknown, err := p.fleet.Renew(ctx, address, r)
	p.gate.waitUntilRunning()
	return unknown, err
}

// Stop implements server.Workers.
func (p workerClient) Stop(ctx context.Context, address, task string) error {
	return p.sendOrder(ctx, address, task, p.fleet.Stop)
}

// Checkpoint implements server.Workers.
func (p workerClient) Checkpoint(ctx context.Context, address, task string) error {
	return p.sendOrder(ctx, address, task, p.fleet.Checkpoint)
}

// Throttle implements server.Workers.
func (p workerClient) Throttle(ctx context.Context, address, task string) error {
	return p.sendOrder(ctx, address, task, func(ctx context.Context, address, task string) error {
		err := p.fleet.Throttle(ctx, address, task)
		if err == nil {
			p.audit.TaskThrottled(p.workerByAddress[address], task)
		}
		return err
	})
}

func (p workerClient) sendOrder(ctx context.Context, address, task string, send func(context.Context, string, string) error) error {
	if !p.gate.waitUntilRunning() {
		return classifier.Refuse(classifier.WorkerLost, "the process is dead")
	}
	err := send(ctx, address, task)
	p.gate.waitUntilRunning()
	return err
}

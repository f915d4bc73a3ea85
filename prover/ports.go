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
	// storePort is a node's way to the key-value service. What the node learns
	// of the service, the checker has learned before.
	storePort struct {
		gate  *gate
		port  *emulator.StoreClient
		audit *auditor
	}

	// listPort is a node's way to the instance list.
	listPort struct {
		gate *gate
		node *Node
		list *emulator.Platform
	}

	// workerPort is a node's way to the workers.
	workerPort struct {
		gate  *gate
		fleet *emulator.Fleet
		audit *auditor
		names map[string]string // worker by address
	}

	found struct {
		records  []keeper.Record
		revision int64
	}
)

// stored makes a call of the key-value service.
func stored[T any](p storePort, fn func() (T, error)) (T, error) {
	var none T
	if !p.gate.pass() {
		return none, errors.Trace(keeper.ErrUnavailable)
	}
	v, err := fn()
	p.audit.catchUp()
	if !p.gate.pass() {
		return none, errors.Trace(keeper.ErrUnknown)
	}
	return v, err
}

// ordered makes a call without a result.
func ordered(p storePort, fn func() error) error {
	_, err := stored(p, func() (struct{}, error) { return struct{}{}, fn() })
	return err
}

// Get implements server.Store.
func (p storePort) Get(ctx context.Context, key string) (keeper.Record, error) {
	return stored(p, func() (keeper.Record, error) { return p.port.Get(ctx, key) })
}

// List implements server.Store.
func (p storePort) List(ctx context.Context, prefix string) ([]keeper.Record, int64, error) {
	f, err := stored(p, func() (found, error) {
		records, revision, err := p.port.List(ctx, prefix)
		return found{records, revision}, err
	})
	return f.records, f.revision, err
}

// Swap implements server.Store.
func (p storePort) Swap(ctx context.Context, key string, value []byte, revision int64, lease keeper.LeaseID) (keeper.Record, error) {
	return stored(p, func() (keeper.Record, error) { return p.port.Swap(ctx, key, value, revision, lease) })
}

// Delete implements server.Store.
func (p storePort) Delete(ctx context.Context, key string, revision int64) error {
	return ordered(p, func() error { return p.port.Delete(ctx, key, revision) })
}

// Watch implements server.Store.
func (p storePort) Watch(ctx context.Context, prefix string, after int64, fn func(keeper.Event)) error {
	if !p.gate.pass() {
		return errors.Trace(keeper.ErrUnavailable)
	}
	return p.port.Watch(ctx, prefix, after, func(ev keeper.Event) {
		p.audit.catchUp()
		if p.gate.pass() {
			fn(ev)
		}
	})
}

// Grant implements server.Store.
func (p storePort) Grant(ctx context.Context, ttl time.Duration) (keeper.LeaseID, error) {
	return stored(p, func() (keeper.LeaseID, error) { return p.port.Grant(ctx, ttl) })
}

// KeepAlive implements server.Store.
func (p storePort) KeepAlive(ctx context.Context, id keeper.LeaseID) error {
	return ordered(p, func() error { return p.port.KeepAlive(ctx, id) })
}

// Revoke implements server.Store.
func (p storePort) Revoke(ctx context.Context, id keeper.LeaseID) error {
	return ordered(p, func() error { return p.port.Revoke(ctx, id) })
}

// List implements server.Instances.
func (p listPort) List(ctx context.Context) ([]lister.Listing, error) {
	if !p.gate.pass() || p.node.cutList.Load() {
		return nil, errors.Trace(lister.ErrUnavailable)
	}
	list, err := p.list.List(ctx)
	if !p.gate.pass() {
		return nil, errors.Trace(lister.ErrUnavailable)
	}
	return list, err
}

// Reboot implements server.Instances.
func (p listPort) Reboot(ctx context.Context, id string) error {
	if !p.gate.pass() || p.node.cutList.Load() {
		return errors.Trace(lister.ErrUnavailable)
	}
	err := p.list.Reboot(ctx, id)
	if !p.gate.pass() {
		return errors.Trace(lister.ErrUnknown)
	}
	return err
}

// Start implements server.Workers.
func (p workerPort) Start(ctx context.Context, address string, s dispatcher.Start) (dispatcher.Finish, error) {
	if !p.gate.pass() {
		return dispatcher.Finish{}, classifier.Refuse(classifier.WorkerLost, "the process is dead")
	}
	p.audit.expect(s)
	finish, err := p.fleet.Start(ctx, address, s)
	if !p.gate.pass() {
		return dispatcher.Finish{}, classifier.Uncertain(classifier.WorkerLost, "the process is dead")
	}
	return finish, err
}

// Renew implements server.Workers.
func (p workerPort) Renew(ctx context.Context, address string, r dispatcher.Renewal) ([]string, error) {
	if !p.gate.pass() {
		return nil, classifier.Refuse(classifier.WorkerLost, "the process is dead")
	}
	unknown, err := p.fleet.Renew(ctx, address, r)
	p.gate.pass()
	return unknown, err
}

// Stop implements server.Workers.
func (p workerPort) Stop(ctx context.Context, address, task string) error {
	return p.order(ctx, address, task, p.fleet.Stop)
}

// Checkpoint implements server.Workers.
func (p workerPort) Checkpoint(ctx context.Context, address, task string) error {
	return p.order(ctx, address, task, p.fleet.Checkpoint)
}

// Throttle implements server.Workers.
func (p workerPort) Throttle(ctx context.Context, address, task string) error {
	return p.order(ctx, address, task, func(ctx context.Context, address, task string) error {
		err := p.fleet.Throttle(ctx, address, task)
		if err == nil {
			p.audit.Throttled(p.names[address], task)
		}
		return err
	})
}

func (p workerPort) order(ctx context.Context, address, task string, send func(context.Context, string, string) error) error {
	if !p.gate.pass() {
		return classifier.Refuse(classifier.WorkerLost, "the process is dead")
	}
	err := send(ctx, address, task)
	p.gate.pass()
	return err
}

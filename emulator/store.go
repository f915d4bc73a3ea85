package emulator

import (
	"bytes"
	"context"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/keeper"
)

const callTimeout = 2 * time.Second // maximum time that a call waits for its response

type (
	// Store emulates the platform's key-value service. Calls through its embedded
	// StoreClient meet only the faults of the whole service.
	Store struct {
		*StoreClient
		clients map[string]*StoreClient
	}

	// StoreClient is one client's access to a Store, with faults of its own.
	StoreClient struct {
		engine *storeEngine
		faults []*storeFaults // faults of this client, then faults of the whole service
		calls  map[string]int
	}

	// storeFaults are the faults that calls meet. The engine's mutex guards them.
	storeFaults struct {
		down               bool
		hung               bool
		delay              time.Duration
		lostWriteResponses int
	}

	listResult struct {
		records  []keeper.Record
		revision int64
	}
)

// NewStore returns an empty store.
func NewStore() *Store {
	e := &storeEngine{
		records: make(map[string]storedItem),
		leases:  make(map[keeper.LeaseID]*lease),
		changed: newCondition(),
	}
	wholeStore := &StoreClient{engine: e, faults: []*storeFaults{{}}, calls: make(map[string]int)}
	return &Store{StoreClient: wholeStore, clients: map[string]*StoreClient{"": wholeStore}}
}

// ClientFor returns the client with a name and creates it if needed.
func (s *Store) ClientFor(name string) *StoreClient {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	if s.clients[name] == nil {
		s.clients[name] = &StoreClient{engine: s.engine, faults: []*storeFaults{{}, s.faults[0]}, calls: make(map[string]int)}
	}
	return s.clients[name]
}

// CallCounts returns the number of calls of all clients by kind of call.
func (s *Store) CallCounts() map[string]int {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	sum := make(map[string]int)
	for _, p := range s.clients {
		for kind, n := range p.calls {
			sum[kind] += n
		}
	}
	return sum
}

// ExpireLeases ends all leases at once, as if their holders had paused for longer
// than the time to live.
func (s *Store) ExpireLeases() {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	for id := range s.engine.leases {
		s.engine.revoke(id)
	}
}

// Compact drops the events up to and including revision.
func (s *Store) Compact(revision int64) {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	s.engine.compact(revision)
}

// SetDown makes calls and watches fail with ErrUnavailable.
func (p *StoreClient) SetDown(down bool) { p.changeFaults(func(g *storeFaults) { g.down = down }) }

// SetHung makes calls wait until their time-out. Watches deliver no events and
// writes have no effect.
func (p *StoreClient) SetHung(hung bool) { p.changeFaults(func(g *storeFaults) { g.hung = hung }) }

// SetDelay delays each response by d. A write takes effect after half of d, also
// when its caller has timed out by then.
func (p *StoreClient) SetDelay(d time.Duration) { p.changeFaults(func(g *storeFaults) { g.delay = d }) }

// LoseNextWriteResponses makes the next n writes take effect and return
// ErrUnknown.
func (p *StoreClient) LoseNextWriteResponses(n int) {
	p.changeFaults(func(g *storeFaults) { g.lostWriteResponses = n })
}

// changeFaults changes the faults of this client and wakes waiting calls.
func (p *StoreClient) changeFaults(change func(*storeFaults)) {
	p.engine.mu.Lock()
	defer p.engine.mu.Unlock()
	change(p.faults[0])
	p.engine.changed.broadcast()
}

// activeFaults combines the faults of this client with those of the whole service.
func (p *StoreClient) activeFaults() storeFaults {
	var sum storeFaults
	for _, g := range p.faults {
		sum.down = sum.down || g.down
		sum.hung = sum.hung || g.hung
		sum.delay += g.delay
	}
	return sum
}

// Get returns the record of a key; its revision is 0 if the key does not exist.
func (p *StoreClient) Get(ctx context.Context, key string) (keeper.Record, error) {
	return call(ctx, p, "get", false, func() (keeper.Record, error) { return p.engine.get(key), nil })
}

// List returns the records whose key has the prefix, sorted by key, and the
// current revision.
func (p *StoreClient) List(ctx context.Context, prefix string) ([]keeper.Record, int64, error) {
	l, err := call(ctx, p, "list", false, func() (listResult, error) {
		return listResult{p.engine.list(prefix), p.engine.revision}, nil
	})
	return l.records, l.revision, err
}

// Swap writes a record if its current revision is the given one and binds it to a
// lease unless lease is 0.
func (p *StoreClient) Swap(ctx context.Context, key string, value []byte, revision int64, lease keeper.LeaseID) (keeper.Record, error) {
	value = bytes.Clone(value)
	return call(ctx, p, "swap", true, func() (keeper.Record, error) {
		return p.engine.swap(key, value, revision, lease)
	})
}

// Delete deletes a record if its current revision is the given one.
func (p *StoreClient) Delete(ctx context.Context, key string, revision int64) error {
	return p.callWithoutResult(ctx, "delete", true, func() error { return p.engine.remove(key, revision) })
}

// Grant creates a lease with the given time to live.
func (p *StoreClient) Grant(ctx context.Context, ttl time.Duration) (keeper.LeaseID, error) {
	return call(ctx, p, "grant", true, func() (keeper.LeaseID, error) { return p.engine.grant(ttl), nil })
}

// KeepAlive extends a lease by its time to live.
func (p *StoreClient) KeepAlive(ctx context.Context, id keeper.LeaseID) error {
	return p.callWithoutResult(ctx, "keep-alive", false, func() error { return p.engine.keepAlive(id) })
}

// Revoke ends a lease and deletes its keys.
func (p *StoreClient) Revoke(ctx context.Context, id keeper.LeaseID) error {
	return p.callWithoutResult(ctx, "revoke", true, func() error {
		p.engine.revoke(id)
		return nil
	})
}

// Watch calls fn for each change after a revision of a key with the prefix, until
// ctx ends or the store is down.
func (p *StoreClient) Watch(ctx context.Context, prefix string, after int64, fn func(keeper.Event)) error {
	p.engine.mu.Lock()
	defer p.engine.mu.Unlock()
	p.calls["watch"]++
	for ctx.Err() == nil {
		faults := p.activeFaults()
		events, err := p.engine.eventsAfter(after)
		switch {
		case faults.down:
			return errors.Trace(keeper.ErrUnavailable)
		case err != nil:
			return err
		case len(events) == 0 || faults.hung:
			p.engine.changed.wait(ctx, &p.engine.mu)
			continue
		}
		after = events[len(events)-1].Revision
		p.engine.mu.Unlock()
		if sleep(ctx, faults.delay) {
			deliver(prefix, events, fn)
		}
		p.engine.mu.Lock()
	}
	return ctx.Err()
}

// deliver calls fn with a copy of each event whose key has the prefix.
func deliver(prefix string, events []keeper.Event, fn func(keeper.Event)) {
	for _, ev := range events {
		if strings.HasPrefix(ev.Key, prefix) {
			ev.Value = bytes.Clone(ev.Value)
			fn(ev)
		}
	}
}

// callWithoutResult is call for operations that return only an error.
func (p *StoreClient) callWithoutResult(ctx context.Context, kind string, write bool, operation func() error) error {
	_, err := call(ctx, p, kind, write, func() (struct{}, error) { return struct{}{}, operation() })
	return err
}

// call counts a call by kind and runs operation under the engine's mutex, subject
// to the active faults.
func call[T any](ctx context.Context, p *StoreClient, kind string, write bool, operation func() (T, error)) (T, error) {
	var zero T
	p.engine.mu.Lock()
	defer p.engine.mu.Unlock()
	p.calls[kind]++
	faults := p.activeFaults()
	if faults.down || ctx.Err() != nil {
		return zero, errors.Trace(keeper.ErrUnavailable)
	}
	if faults.hung || faults.delay > 0 {
		var answered bool
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		if operation, answered = runDelayed(ctx, p, faults.delay, operation); !answered {
			return zero, noResponseError(write)
		}
	}
	result, err := operation()
	if write && p.takeLostWriteResponse() {
		return zero, noResponseError(write)
	}
	return result, err
}

// runDelayed waits until the store is no longer hung, runs operation after half of
// the delay and returns its result after the whole delay. The mutex is released
// while it waits. It returns false if ctx ends first.
func runDelayed[T any](ctx context.Context, p *StoreClient, delay time.Duration, operation func() (T, error)) (func() (T, error), bool) {
	for p.activeFaults().hung {
		if !p.engine.changed.wait(ctx, &p.engine.mu) {
			return nil, false
		}
	}
	done := make(chan func() (T, error), 1)
	time.AfterFunc(delay/2, func() {
		p.engine.mu.Lock()
		defer p.engine.mu.Unlock()
		result, err := operation()
		done <- func() (T, error) { return result, err }
	})
	p.engine.mu.Unlock()
	defer p.engine.mu.Lock()
	if !sleep(ctx, delay) {
		return nil, false
	}
	return <-done, true
}

// takeLostWriteResponse reports whether the response of a write is to be lost, and
// counts it.
func (p *StoreClient) takeLostWriteResponse() bool {
	for _, g := range p.faults {
		if g.lostWriteResponses > 0 {
			g.lostWriteResponses--
			return true
		}
	}
	return false
}

// noResponseError returns ErrUnknown for a write, which may have taken effect, and
// ErrUnavailable for a read.
func noResponseError(write bool) error {
	if write {
		return errors.Trace(keeper.ErrUnknown)
	}
	return errors.Trace(keeper.ErrUnavailable)
}

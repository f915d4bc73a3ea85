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
	// Store emulates the platform's key-value service for package keeper. Faults
	// set on its embedded StoreClient affect the calls of all clients; faults set on
	// a client from ClientFor affect only the calls of that client.
	Store struct {
		*StoreClient
		clients map[string]*StoreClient
	}

	// StoreClient is one client of a Store. Its faults are set separately from
	// those of other clients.
	StoreClient struct {
		engine *storeEngine
		faults []*storeFaults // faults of this client, then faults of the whole service
		calls  map[string]int
	}

	// storeFaults are the faults that affect calls. The engine's mutex guards them.
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
	counts := make(map[string]int)
	for _, c := range s.clients {
		for kind, n := range c.calls {
			counts[kind] += n
		}
	}
	return counts
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
func (c *StoreClient) SetDown(down bool) { c.changeFaults(func(f *storeFaults) { f.down = down }) }

// SetHung makes calls wait without effect. A call that is still waiting when the
// hang ends proceeds; otherwise it times out and never takes effect. Watches
// deliver no events while the store hangs.
func (c *StoreClient) SetHung(hung bool) { c.changeFaults(func(f *storeFaults) { f.hung = hung }) }

// SetDelay delays each response by d. A write takes effect after half of d, also
// when its caller has timed out by then.
func (c *StoreClient) SetDelay(d time.Duration) { c.changeFaults(func(f *storeFaults) { f.delay = d }) }

// LoseNextWriteResponses makes the next n writes take effect and return
// ErrUnknown.
func (c *StoreClient) LoseNextWriteResponses(n int) {
	c.changeFaults(func(f *storeFaults) { f.lostWriteResponses = n })
}

// changeFaults changes the faults of this client and wakes waiting calls.
func (c *StoreClient) changeFaults(change func(*storeFaults)) {
	c.engine.mu.Lock()
	defer c.engine.mu.Unlock()
	change(c.faults[0])
	c.engine.changed.broadcast()
}

// activeFaults combines the faults of this client with those of the whole service,
// except the lost write responses, which takeLostWriteResponse handles.
func (c *StoreClient) activeFaults() storeFaults {
	var combined storeFaults
	for _, f := range c.faults {
		combined.down = combined.down || f.down
		combined.hung = combined.hung || f.hung
		combined.delay += f.delay
	}
	return combined
}

// Get returns the record of a key; its revision is 0 if the key does not exist.
func (c *StoreClient) Get(ctx context.Context, key string) (keeper.Record, error) {
	return call(ctx, c, "get", false, func() (keeper.Record, error) { return c.engine.get(key), nil })
}

// List returns the records whose key has the prefix, sorted by key, and the
// current revision.
func (c *StoreClient) List(ctx context.Context, prefix string) ([]keeper.Record, int64, error) {
	l, err := call(ctx, c, "list", false, func() (listResult, error) {
		return listResult{c.engine.list(prefix), c.engine.revision}, nil
	})
	return l.records, l.revision, err
}

// Swap writes a record if its current revision is the given one and binds it to a
// lease unless lease is 0.
func (c *StoreClient) Swap(ctx context.Context, key string, value []byte, revision int64, lease keeper.LeaseID) (keeper.Record, error) {
	value = bytes.Clone(value)
	return call(ctx, c, "swap", true, func() (keeper.Record, error) {
		return c.engine.swap(key, value, revision, lease)
	})
}

// Delete deletes a record if its current revision is the given one.
func (c *StoreClient) Delete(ctx context.Context, key string, revision int64) error {
	return c.callWithoutResult(ctx, "delete", true, func() error { return c.engine.remove(key, revision) })
}

// Grant creates a lease with the given time to live.
func (c *StoreClient) Grant(ctx context.Context, ttl time.Duration) (keeper.LeaseID, error) {
	return call(ctx, c, "grant", true, func() (keeper.LeaseID, error) { return c.engine.grant(ttl), nil })
}

// KeepAlive extends a lease by its time to live.
func (c *StoreClient) KeepAlive(ctx context.Context, id keeper.LeaseID) error {
	return c.callWithoutResult(ctx, "keep-alive", false, func() error { return c.engine.keepAlive(id) })
}

// Revoke ends a lease and deletes its keys.
func (c *StoreClient) Revoke(ctx context.Context, id keeper.LeaseID) error {
	return c.callWithoutResult(ctx, "revoke", true, func() error {
		c.engine.revoke(id)
		return nil
	})
}

// Watch calls fn for each change after a revision of a key with the prefix, until
// ctx ends or the store is down.
func (c *StoreClient) Watch(ctx context.Context, prefix string, after int64, fn func(keeper.Event)) error {
	c.engine.mu.Lock()
	defer c.engine.mu.Unlock()
	c.calls["watch"]++
	for ctx.Err() == nil {
		faults := c.activeFaults()
		events, err := c.engine.eventsAfter(after)
		switch {
		case faults.down:
			return errors.Trace(keeper.ErrUnavailable)
		case err != nil:
			return err
		case len(events) == 0 || faults.hung:
			c.engine.changed.wait(ctx, &c.engine.mu)
			continue
		}
		after = events[len(events)-1].Revision
		c.engine.mu.Unlock()
		if sleep(ctx, faults.delay) {
			deliver(prefix, events, fn)
		}
		c.engine.mu.Lock()
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
func (c *StoreClient) callWithoutResult(ctx context.Context, kind string, write bool, operation func() error) error {
	_, err := call(ctx, c, kind, write, func() (struct{}, error) { return struct{}{}, operation() })
	return err
}

// call counts a call by kind and runs operation under the engine's mutex, subject
// to the active faults.
func call[T any](ctx context.Context, c *StoreClient, kind string, write bool, operation func() (T, error)) (T, error) {
	var zero T
	c.engine.mu.Lock()
	defer c.engine.mu.Unlock()
	c.calls[kind]++
	faults := c.activeFaults()
	if faults.down || ctx.Err() != nil {
		return zero, errors.Trace(keeper.ErrUnavailable)
	}
	if faults.hung || faults.delay > 0 {
		var responded bool
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		if operation, responded = runDelayed(ctx, c, faults.delay, operation); !responded {
			return zero, noResponseError(write)
		}
	}
	result, err := operation()
	if write && c.takeLostWriteResponse() {
		return zero, noResponseError(write)
	}
	return result, err
}

// runDelayed waits until the store is no longer hung, runs operation after half of
// the delay and returns its result after the whole delay. The mutex is released
// while it waits. It returns false if ctx ends first.
func runDelayed[T any](ctx context.Context, c *StoreClient, delay time.Duration, operation func() (T, error)) (func() (T, error), bool) {
	for c.activeFaults().hung {
		if !c.engine.changed.wait(ctx, &c.engine.mu) {
			return nil, false
		}
	}
	done := make(chan func() (T, error), 1)
	time.AfterFunc(delay/2, func() {
		c.engine.mu.Lock()
		defer c.engine.mu.Unlock()
		result, err := operation()
		done <- func() (T, error) { return result, err }
	})
	c.engine.mu.Unlock()
	defer c.engine.mu.Lock()
	if !sleep(ctx, delay) {
		return nil, false
	}
	return <-done, true
}

// takeLostWriteResponse reports whether the response of a write is to be lost, and
// counts it.
func (c *StoreClient) takeLostWriteResponse() bool {
	for _, f := range c.faults {
		if f.lostWriteResponses > 0 {
			f.lostWriteResponses--
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

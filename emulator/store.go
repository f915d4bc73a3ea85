package emulator

import (
	"bytes"
	"context"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/keeper"
)

const callTimeout = 2 * time.Second // longest wait of a call for its answer

type (
	// Store is a stand-in for the platform's key-value service. Its own
	// methods make calls that only the faults of the whole service meet.
	Store struct {
		*StoreClient
		clients map[string]*StoreClient
	}

	// StoreClient is one caller's way to a Store, with faults of its own.
	StoreClient struct {
		engine *storeEngine
		faults []*storeFaults // its own and that of the whole service
		calls  map[string]int
	}

	// storeFaults holds the faults that calls meet. The engine's mutex guards it.
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

// ClientFor returns the named caller's way to the store.
func (s *Store) ClientFor(name string) *StoreClient {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	if s.clients[name] == nil {
		s.clients[name] = &StoreClient{engine: s.engine, faults: []*storeFaults{{}, s.faults[0]}, calls: make(map[string]int)}
	}
	return s.clients[name]
}

// CallCounts returns the number of calls of all callers by kind.
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

// ExpireLeases ends all leases at once, as after a long pause of their holders.
func (s *Store) ExpireLeases() {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	for id := range s.engine.leases {
		s.engine.revoke(id)
	}
}

// Compact forgets the events up to and with revision.
func (s *Store) Compact(revision int64) {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	s.engine.compact(revision)
}

// SetDown makes calls and watches fail with ErrUnavailable.
func (p *StoreClient) SetDown(down bool) { p.changeFaults(func(g *storeFaults) { g.down = down }) }

// SetHung makes calls wait, watches deliver nothing and no write take effect.
func (p *StoreClient) SetHung(hung bool) { p.changeFaults(func(g *storeFaults) { g.hung = hung }) }

// SetDelay makes each answer take d; a write takes effect after half of it,
// even when its caller has given up by then.
func (p *StoreClient) SetDelay(d time.Duration) { p.changeFaults(func(g *storeFaults) { g.delay = d }) }

// LoseNextWriteResponses makes the next n writes take effect and return ErrUnknown.
func (p *StoreClient) LoseNextWriteResponses(n int) {
	p.changeFaults(func(g *storeFaults) { g.lostWriteResponses = n })
}

func (p *StoreClient) changeFaults(change func(*storeFaults)) {
	p.engine.mu.Lock()
	defer p.engine.mu.Unlock()
	change(p.faults[0])
	p.engine.changed.broadcast()
}

// activeFaults returns the sum of the faults in force.
func (p *StoreClient) activeFaults() storeFaults {
	var sum storeFaults
	for _, g := range p.faults {
		sum.down = sum.down || g.down
		sum.hung = sum.hung || g.hung
		sum.delay += g.delay
	}
	return sum
}

// Get implements the key-value service.
func (p *StoreClient) Get(ctx context.Context, key string) (keeper.Record, error) {
	return call(ctx, p, "get", false, func() (keeper.Record, error) { return p.engine.get(key), nil })
}

// List implements the key-value service.
func (p *StoreClient) List(ctx context.Context, prefix string) ([]keeper.Record, int64, error) {
	l, err := call(ctx, p, "list", false, func() (listResult, error) {
		return listResult{p.engine.list(prefix), p.engine.revision}, nil
	})
	return l.records, l.revision, err
}

// Swap implements the key-value service.
func (p *StoreClient) Swap(ctx context.Context, key string, value []byte, revision int64, lease keeper.LeaseID) (keeper.Record, error) {
	value = bytes.Clone(value)
	return call(ctx, p, "swap", true, func() (keeper.Record, error) {
		return p.engine.swap(key, value, revision, lease)
	})
}

// Delete implements the key-value service.
func (p *StoreClient) Delete(ctx context.Context, key string, revision int64) error {
	return p.callWithoutResult(ctx, "delete", true, func() error { return p.engine.remove(key, revision) })
}

// Grant implements the key-value service.
func (p *StoreClient) Grant(ctx context.Context, ttl time.Duration) (keeper.LeaseID, error) {
	return call(ctx, p, "grant", true, func() (keeper.LeaseID, error) { return p.engine.grant(ttl), nil })
}

// KeepAlive implements the key-value service.
func (p *StoreClient) KeepAlive(ctx context.Context, id keeper.LeaseID) error {
	return p.callWithoutResult(ctx, "keep-alive", false, func() error { return p.engine.keepAlive(id) })
}

// Revoke implements the key-value service.
func (p *StoreClient) Revoke(ctx context.Context, id keeper.LeaseID) error {
	return p.callWithoutResult(ctx, "revoke", true, func() error {
		p.engine.revoke(id)
		return nil
	})
}

// Watch implements the key-value service.
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

func deliver(prefix string, events []keeper.Event, fn func(keeper.Event)) {
	for _, ev := range events {
		if strings.HasPrefix(ev.Key, prefix) {
			ev.Value = bytes.Clone(ev.Value)
			fn(ev)
		}
	}
}

// callWithoutResult is a call without a result.
func (p *StoreClient) callWithoutResult(ctx context.Context, kind string, write bool, operation func() error) error {
	_, err := call(ctx, p, kind, write, func() (struct{}, error) { return struct{}{}, operation() })
	return err
}

// call runs effect under the engine's mutex, behind the faults in force.
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

// runDelayed waits out a hang and a delay with the mutex released. It returns the
// outcome of effect, or false when ctx ended first.
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

// takeLostWriteResponse reports whether the answer of a write is to be lost.
func (p *StoreClient) takeLostWriteResponse() bool {
	for _, g := range p.faults {
		if g.lostWriteResponses > 0 {
			g.lostWriteResponses--
			return true
		}
	}
	return false
}

func noResponseError(write bool) error {
	if write {
		return errors.Trace(keeper.ErrUnknown)
	}
	return errors.Trace(keeper.ErrUnavailable)
}

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
		ports map[string]*StoreClient
	}

	// StoreClient is one caller's way to a Store, with faults of its own.
	StoreClient struct {
		engine *engine
		gates  []*gate // its own and that of the whole service
		calls  map[string]int
	}

	// gate holds the faults that calls meet. The engine's mutex guards it.
	gate struct {
		down  bool
		hung  bool
		delay time.Duration
		lose  int
	}

	listing struct {
		records  []keeper.Record
		revision int64
	}
)

// NewStore returns an empty store.
func NewStore() *Store {
	e := &engine{
		records: make(map[string]item),
		leases:  make(map[keeper.LeaseID]*lease),
		changed: newSignal(),
	}
	all := &StoreClient{engine: e, gates: []*gate{{}}, calls: make(map[string]int)}
	return &Store{StoreClient: all, ports: map[string]*StoreClient{"": all}}
}

// ClientFor returns the named caller's way to the store.
func (s *Store) ClientFor(name string) *StoreClient {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	if s.ports[name] == nil {
		s.ports[name] = &StoreClient{engine: s.engine, gates: []*gate{{}, s.gates[0]}, calls: make(map[string]int)}
	}
	return s.ports[name]
}

// CallCounts returns the number of calls of all callers by kind.
func (s *Store) CallCounts() map[string]int {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	sum := make(map[string]int)
	for _, p := range s.ports {
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
func (p *StoreClient) SetDown(down bool) { p.set(func(g *gate) { g.down = down }) }

// SetHung makes calls wait, watches deliver nothing and no write take effect.
func (p *StoreClient) SetHung(hung bool) { p.set(func(g *gate) { g.hung = hung }) }

// SetDelay makes each answer take d; a write takes effect after half of it,
// even when its caller has given up by then.
func (p *StoreClient) SetDelay(d time.Duration) { p.set(func(g *gate) { g.delay = d }) }

// LoseNextWriteResponses makes the next n writes take effect and return ErrUnknown.
func (p *StoreClient) LoseNextWriteResponses(n int) { p.set(func(g *gate) { g.lose = n }) }

func (p *StoreClient) set(change func(*gate)) {
	p.engine.mu.Lock()
	defer p.engine.mu.Unlock()
	change(p.gates[0])
	p.engine.changed.give()
}

// state returns the sum of the faults in force.
func (p *StoreClient) state() gate {
	var sum gate
	for _, g := range p.gates {
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
	l, err := call(ctx, p, "list", false, func() (listing, error) {
		return listing{p.engine.list(prefix), p.engine.revision}, nil
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
	return p.order(ctx, "delete", true, func() error { return p.engine.remove(key, revision) })
}

// Grant implements the key-value service.
func (p *StoreClient) Grant(ctx context.Context, ttl time.Duration) (keeper.LeaseID, error) {
	return call(ctx, p, "grant", true, func() (keeper.LeaseID, error) { return p.engine.grant(ttl), nil })
}

// KeepAlive implements the key-value service.
func (p *StoreClient) KeepAlive(ctx context.Context, id keeper.LeaseID) error {
	return p.order(ctx, "keep-alive", false, func() error { return p.engine.keepAlive(id) })
}

// Revoke implements the key-value service.
func (p *StoreClient) Revoke(ctx context.Context, id keeper.LeaseID) error {
	return p.order(ctx, "revoke", true, func() error {
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
		faults := p.state()
		events, err := p.engine.since(after)
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

// order is a call without a result.
func (p *StoreClient) order(ctx context.Context, kind string, write bool, effect func() error) error {
	_, err := call(ctx, p, kind, write, func() (struct{}, error) { return struct{}{}, effect() })
	return err
}

// call runs effect under the engine's mutex, behind the faults in force.
func call[T any](ctx context.Context, p *StoreClient, kind string, write bool, effect func() (T, error)) (T, error) {
	var zero T
	p.engine.mu.Lock()
	defer p.engine.mu.Unlock()
	p.calls[kind]++
	faults := p.state()
	if faults.down || ctx.Err() != nil {
		return zero, errors.Trace(keeper.ErrUnavailable)
	}
	if faults.hung || faults.delay > 0 {
		var answered bool
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		if effect, answered = delayed(ctx, p, faults.delay, effect); !answered {
			return zero, unanswered(write)
		}
	}
	result, err := effect()
	if write && p.loses() {
		return zero, unanswered(write)
	}
	return result, err
}

// delayed waits out a hang and a delay with the mutex released. It returns the
// outcome of effect, or false when ctx ended first.
func delayed[T any](ctx context.Context, p *StoreClient, delay time.Duration, effect func() (T, error)) (func() (T, error), bool) {
	for p.state().hung {
		if !p.engine.changed.wait(ctx, &p.engine.mu) {
			return nil, false
		}
	}
	done := make(chan func() (T, error), 1)
	time.AfterFunc(delay/2, func() {
		p.engine.mu.Lock()
		defer p.engine.mu.Unlock()
		result, err := effect()
		done <- func() (T, error) { return result, err }
	})
	p.engine.mu.Unlock()
	defer p.engine.mu.Lock()
	if !sleep(ctx, delay) {
		return nil, false
	}
	return <-done, true
}

// loses reports whether the answer of a write is to be lost.
func (p *StoreClient) loses() bool {
	for _, g := range p.gates {
		if g.lose > 0 {
			g.lose--
			return true
		}
	}
	return false
}

func unanswered(write bool) error {
	if write {
		return errors.Trace(keeper.ErrUnknown)
	}
	return errors.Trace(keeper.ErrUnavailable)
}

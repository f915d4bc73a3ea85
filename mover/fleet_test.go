package mover

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/budgeter"
	"github.com/coltsfootlever/coltsfootlever/emulator"
	"github.com/coltsfootlever/coltsfootlever/lister"
	"github.com/coltsfootlever/coltsfootlever/parser"
	"github.com/coltsfootlever/coltsfootlever/registrar"
	"github.com/coltsfootlever/coltsfootlever/scheduler"
)

type (
	// testCluster is a fleet in one process: a store, a platform and members.
	testCluster struct {
		evacuated atomic.Value // the evacuated zone, a string; nil for none
		t         *testing.T
		store     *emulator.Store
		platform  *fakePlatform
		rules     *parser.Rules
		mu        sync.Mutex
		view      registrar.View
		members   map[string]*member
		cleanups  []func()
	}

	member struct {
		port            *emulator.StoreClient
		fleet           *scheduler.Fleet
		mover           *Mover
		coord           *Coordinator
		orders          *Orders
		budget          *budgeter.Budgeter
		holdsLeadership atomic.Bool
		stop            context.CancelFunc
		done            chan struct{}
	}

	// fakePlatform is a platform whose instances take one minute to reboot.
	fakePlatform struct {
		mu           sync.Mutex
		list         map[string]lister.Listing
		neverReturns map[string]bool
		reboots      []string
		delay        time.Duration // how long List takes
		err          error         // returned by Reboot, which then reboots nothing
	}
)

func (p *fakePlatform) List(context.Context) ([]lister.Listing, error) {
	p.mu.Lock()
	delay := p.delay
	p.mu.Unlock()
	time.Sleep(delay)
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []lister.Listing
	for _, l := range p.list {
		list = append(list, l)
	}
	return list, nil
}

func (p *fakePlatform) Reboot(_ context.Context, id string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reboots = append(p.reboots, id)
	if p.err != nil {
		return p.err
	}
	was, ok := p.list[id]
	delete(p.list, id)
	if p.neverReturns[id] || !ok {
		return nil
	}
	time.AfterFunc(time.Minute, func() {
		was.Boots++
		p.setListing(was)
	})
	return nil
}

func (p *fakePlatform) setListDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

func (p *fakePlatform) setRebootError(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.err = err
}

func (p *fakePlatform) rebootCalls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.reboots)
}

func (p *fakePlatform) setListing(l lister.Listing) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list[l.ID] = l
}

func (p *fakePlatform) editListing(id string, fn func(*lister.Listing)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.list[id]
	fn(&l)
	p.list[id] = l
}

func (p *fakePlatform) removeListing(id string) lister.Listing {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.list[id]
	delete(p.list, id)
	return l
}

func (m *member) Held() bool { return m.holdsLeadership.Load() }

func panicOnFailure(ok bool, format string, args ...any) {
	if !ok {
		panic(fmt.Sprintf(format, args...))
	}
}

// newTestCluster returns a cluster without members. Its pools a, b and spare
// have the given number of workers each, spread over three zones, with one rack
// for each pair of zone and pool.
func newTestCluster(t *testing.T, workers int, budgets ...parser.Budget) *testCluster {
	s := &testCluster{t: t, store: emulator.NewStore(), members: map[string]*member{},
		platform: &fakePlatform{list: map[string]lister.Listing{}, neverReturns: map[string]bool{}},
		rules: &parser.Rules{Number: 1, Budgets: budgets, Pools: []parser.Pool{
			{Name: "a", OnMoveTimeout: parser.UndoMove, MoveLimit: time.Minute},
			{Name: "b", OnMoveTimeout: parser.ContinueMove, MoveLimit: time.Minute},
			{Name: "spare", Spare: true, OnMoveTimeout: parser.UndoMove, MoveLimit: time.Minute},
		}},
	}
	for _, pool := range []string{"a", "b", "spare"} {
		for n := range workers {
			zone := fmt.Sprintf("z%d", n%3+1)
			s.platform.setListing(lister.Listing{ID: fmt.Sprintf("%s%02d", pool, n), Kind: lister.WorkerKind,
				Address: fmt.Sprintf("10.0.0.%d:70", n), Zone: zone, Rack: pool + zone, Slots: 8, Pool: pool, State: lister.Live})
		}
	}
	return s
}

func (c *testCluster) currentView() registrar.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view
}

func (c *testCluster) setView(fn func(*registrar.View)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view.Number++
	fn(&c.view)
}

func (c *testCluster) currentRules() *parser.Rules { return c.rules }

// startMember starts a member. The first one is the leader.
func (c *testCluster) startMember(id, zone string, opts ...Option) *member {
	m := &member{port: c.store.ClientFor(id), fleet: scheduler.NewFleet(), done: make(chan struct{})}
	m.holdsLeadership.Store(len(c.members) == 0)
	isEvacuated := func(zone string) bool { return c.evacuated.Load() == zone }
	opts = append([]Option{WithAssert(panicOnFailure), WithLog(slog.New(slog.DiscardHandler)), WithEvacuations(isEvacuated)}, opts...)
	m.mover = New(m.port, id, m.fleet, c.platform, opts...)
	m.budget = budgeter.New(m.port, c.currentRules, budgeter.WithAssert(panicOnFailure))
	m.coord = NewCoordinator(m.mover, m, c.currentView, c.currentRules, m.budget, WithRecordRetention(10*time.Minute))
	m.orders = NewOrders(m.port, id, c.currentRules, m.budget, nil)
	c.members[id] = m
	c.setView(func(v *registrar.View) {
		v.Members = append(append([]registrar.Member{}, v.Members...), registrar.Member{ID: id, Zone: zone, State: registrar.Active})
	})
	ctx, cancel := context.WithCancel(c.t.Context())
	m.stop = cancel
	go func() {
		defer close(m.done)
		var wg sync.WaitGroup
		wg.Go(func() { _ = m.mover.Run(ctx) })
		wg.Go(func() { _ = m.coord.Run(ctx) })
		wg.Wait()
	}()
	return m
}

func (c *testCluster) stop() {
	for _, end := range c.cleanups {
		end()
	}
	for _, m := range c.members {
		m.stop()
		<-m.done
	}
}

func (c *testCluster) instanceRecord(id string) Instance {
	i, err := NewOrders(c.store, "test", c.currentRules, nil, nil).Get(c.t.Context(), id)
	require.NoError(c.t, err)
	return i
}

func (c *testCluster) absencesRecord() budgeter.Absences {
	a, err := budgeter.New(c.store, c.currentRules).Absences(c.t.Context())
	require.NoError(c.t, err)
	return a
}

// runWithCluster runs fn in virtual time on a cluster with three members.
func runWithCluster(t *testing.T, workers int, budgets []parser.Budget, fn func(s *testCluster, m map[string]*member)) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestCluster(t, workers, budgets...)
		for n := range 3 {
			s.startMember(fmt.Sprintf("e%d", n+1), fmt.Sprintf("z%d", n+1))
		}
		time.Sleep(5 * time.Second)
		fn(s, s.members)
		s.stop()
	})
}

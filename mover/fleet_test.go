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
		t        *testing.T
		store    *emulator.Store
		platform *fakePlatform
		rules    *parser.Rules
		mu       sync.Mutex
		view     registrar.View
		members  map[string]*member
		cleanups []func()
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

func (c *fakePlatform) List(context.Context) ([]lister.Listing, error) {
	c.mu.Lock()
	delay := c.delay
	c.mu.Unlock()
	time.Sleep(delay)
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []lister.Listing
	for _, l := range c.list {
		list = append(list, l)
	}
	return list, nil
}

func (c *fakePlatform) Reboot(_ context.Context, id string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reboots = append(c.reboots, id)
	if c.err != nil {
		return c.err
	}
	was, ok := c.list[id]
	delete(c.list, id)
	if c.neverReturns[id] || !ok {
		return nil
	}
	time.AfterFunc(time.Minute, func() {
		was.Boots++
		c.setListing(was)
	})
	return nil
}

func (c *fakePlatform) setListDelay(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delay = d
}

func (c *fakePlatform) setRebootError(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.err = err
}

func (c *fakePlatform) rebootCalls() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.reboots)
}

func (c *fakePlatform) setListing(l lister.Listing) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list[l.ID] = l
}

func (c *fakePlatform) editListing(id string, fn func(*lister.Listing)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.list[id]
	fn(&l)
	c.list[id] = l
}

func (c *fakePlatform) removeListing(id string) lister.Listing {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.list[id]
	delete(c.list, id)
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

func (s *testCluster) currentView() registrar.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

func (s *testCluster) setView(fn func(*registrar.View)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.Number++
	fn(&s.view)
}

func (s *testCluster) currentRules() *parser.Rules { return s.rules }

// startMember starts a member. The first one is the leader.
func (s *testCluster) startMember(id, zone string, opts ...Option) *member {
	m := &member{port: s.store.ClientFor(id), fleet: scheduler.NewFleet(), done: make(chan struct{})}
	m.holdsLeadership.Store(len(s.members) == 0)
	opts = append([]Option{WithAssert(panicOnFailure), WithLog(slog.New(slog.DiscardHandler))}, opts...)
	m.mover = New(m.port, id, m.fleet, s.platform, opts...)
	m.budget = budgeter.New(m.port, s.currentRules, budgeter.WithAssert(panicOnFailure))
	m.coord = NewCoordinator(m.mover, m, s.currentView, s.currentRules, m.budget, WithRecordRetention(10*time.Minute))
	m.orders = NewOrders(m.port, id, s.currentRules, m.budget, nil)
	s.members[id] = m
	s.setView(func(v *registrar.View) {
		v.Members = append(append([]registrar.Member{}, v.Members...), registrar.Member{ID: id, Zone: zone, State: registrar.Active})
	})
	ctx, cancel := context.WithCancel(s.t.Context())
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

func (s *testCluster) stop() {
	for _, end := range s.cleanups {
		end()
	}
	for _, m := range s.members {
		m.stop()
		<-m.done
	}
}

func (s *testCluster) instanceRecord(id string) Instance {
	i, err := NewOrders(s.store, "test", s.currentRules, nil, nil).Get(s.t.Context(), id)
	require.NoError(s.t, err)
	return i
}

func (s *testCluster) absencesRecord() budgeter.Absences {
	a, err := budgeter.New(s.store, s.currentRules).Absences(s.t.Context())
	require.NoError(s.t, err)
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

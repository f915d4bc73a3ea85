package mover

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/lister"
	"github.com/coltsfootlever/coltsfootlever/messenger"
	"github.com/coltsfootlever/coltsfootlever/parser"
	"github.com/coltsfootlever/coltsfootlever/planner"
)

var strictBudgets = []parser.Budget{
	{Scope: parser.PoolScope, Name: parser.Wildcard, MaxAbsent: 1},
	{Scope: parser.ZoneScope, Name: parser.Wildcard, MaxAbsent: 2},
	{Scope: parser.RackScope, Name: parser.Wildcard, MaxAbsent: 1},
}

// startRolloutControllers runs a RolloutController on each member. With all set,
// every member considers itself the leader.
func (c *testCluster) startRolloutControllers(all bool) {
	var wg sync.WaitGroup
	ctx, cancel := context.WithCancel(c.t.Context())
	for _, m := range c.members {
		if all {
			m.holdsLeadership.Store(true)
		}
		wg.Go(func() { _ = NewRolloutController(m.coord, m.orders).Run(ctx) })
	}
	c.cleanups = append(c.cleanups, func() { cancel(); wg.Wait() })
}

func (c *testCluster) currentRollout() Rollout {
	r, err := c.members["e1"].orders.Rollout(c.t.Context())
	require.NoError(c.t, err)
	return r
}

// requireWithinBudgets checks, by counting the instance records, that no more
// instances are out of service than strictBudgets allows.
func (c *testCluster) requireWithinBudgets() {
	list, err := c.members["e1"].orders.List(c.t.Context())
	require.NoError(c.t, err)
	pools, zones, racks := map[string]int{}, map[string]int{}, map[string]int{}
	for _, i := range list {
		if i.Phase != Serving {
			pools[i.Pool]++
			zones[i.Zone]++
			racks[i.Rack]++
		}
	}
	for _, n := range pools {
		require.LessOrEqual(c.t, n, 1)
	}
	for _, n := range zones {
		require.LessOrEqual(c.t, n, 2)
	}
	for _, n := range racks {
		require.LessOrEqual(c.t, n, 1)
	}
}

func TestRollOutRebootsEachInstanceOnce(t *testing.T) {
	for name, all := range map[string]bool{"one controller": false, "three that race": true} {
		t.Run(name, func(t *testing.T) {
			runWithCluster(t, 4, strictBudgets, func(s *testCluster, m map[string]*member) {
				s.startRolloutControllers(all)
				_, err := m["e2"].orders.StartRollout(s.t.Context(), RolloutRequest{RequestedBy: "asha"})
				require.NoError(t, err)
				time.Sleep(5 * time.Second)
				require.Equal(t, "budget of pool a allows 1 absent", s.currentRollout().WaitReasons[0])
				for range 1200 {
					time.Sleep(time.Second)
					s.requireWithinBudgets()
				}
				r := s.currentRollout()
				require.Equal(t, RolloutDone, r.State, "%+v", r)
				require.Equal(t, 12, r.Count(StepDone))
				require.Len(t, s.platform.reboots, 12)
				require.Empty(t, s.absencesRecord().List)
			})
		})
	}
}

func TestRollOutStopsAfterTooManyFailures(t *testing.T) {
	runWithCluster(t, 4, strictBudgets, func(s *testCluster, m map[string]*member) {
		s.startRolloutControllers(false)
		for _, id := range []string{"a01", "b01"} {
			s.platform.neverReturns[id] = true
		}
		_, err := m["e2"].orders.StartRollout(s.t.Context(), RolloutRequest{RequestedBy: "asha", Pools: []string{"a", "b"}})
		require.NoError(t, err)
		time.Sleep(25 * time.Minute)
		r := s.currentRollout()
		require.Equal(t, RolloutStopped, r.State)
		require.Contains(t, r.Reason, "a01: failed: did not return within 10m0s; b01: failed")
		before := len(s.platform.reboots)
		time.Sleep(10 * time.Minute)
		require.Len(t, s.platform.reboots, before)
		for _, id := range []string{"a01", "b01"} {
			s.platform.setListing(lister.Listing{ID: id, Kind: lister.WorkerKind, Address: "10.1.1.1:70", Zone: "z2", Rack: id[:1] + "z2", Slots: 8, Pool: id[:1], State: lister.Live, Boots: 1})
			s.platform.neverReturns[id] = false
		}
		time.Sleep(time.Minute)
		_, err = m["e3"].orders.ResumeRollout(s.t.Context(), "asha")
		require.NoError(t, err)
		time.Sleep(15 * time.Minute)
		require.Equal(t, RolloutDone, s.currentRollout().State, "%+v", s.currentRollout())
	})
}

func TestRollOutStopsOnUnhealthyInstances(t *testing.T) {
	runWithCluster(t, 4, strictBudgets, func(s *testCluster, m map[string]*member) {
		s.startRolloutControllers(false)
		_, err := m["e2"].orders.StartRollout(s.t.Context(), RolloutRequest{RequestedBy: "asha", Pools: []string{"a"}, MaxFailed: 1})
		require.NoError(t, err)
		for s.currentRollout().Count(StepVerifying) == 0 {
			time.Sleep(time.Second)
		}
		for _, step := range s.currentRollout().Steps {
			if step.State == StepVerifying {
				m[s.instanceRecord(step.Instance).Owner].mover.ReportHealth(step.Instance, "fails all that it starts")
			}
		}
		time.Sleep(10 * time.Second)
		require.Equal(t, RolloutStopped, s.currentRollout().State)
		require.Contains(t, s.currentRollout().Reason, "came back sick: fails all that it starts")
		require.Len(t, s.absencesRecord().List, 1, "a sick instance counts as absent")
	})
}

// A job that runs longer than the drain limit is not killed. The drain is undone
// and tried again later, when the job has ended.
func TestRollOutWaitsForLongJobs(t *testing.T) {
	asked := make(chan string, 10)
	runWithCluster(t, 3, strictBudgets, func(s *testCluster, m map[string]*member) {
		s.startRolloutControllers(false)
		for _, e := range m {
			e.mover.cfg.requestCheckpoint = func(_ context.Context, id string) { asked <- id }
		}
		free := s.runTaskOn("a01")
		_, err := m["e1"].orders.StartRollout(s.t.Context(), RolloutRequest{RequestedBy: "asha", Pools: []string{"a"}, DrainLimit: 10 * time.Minute})
		require.NoError(t, err)
		time.Sleep(20 * time.Minute)
		r := s.currentRollout()
		step, _ := r.Step("a01")
		require.Equal(t, StepWaiting, step.State)
		require.Contains(t, step.Note, "work still running")
		require.Equal(t, 2, r.Count(StepDone))
		require.Equal(t, "a01", <-asked)
		free()
		time.Sleep(35 * time.Minute)
		require.Equal(t, RolloutDone, s.currentRollout().State)
	})
}

func TestPausedRollOutOrdersNothing(t *testing.T) {
	runWithCluster(t, 3, strictBudgets, func(s *testCluster, m map[string]*member) {
		s.startRolloutControllers(false)
		_, err := m["e1"].orders.StartRollout(s.t.Context(), RolloutRequest{RequestedBy: "asha"})
		require.NoError(t, err)
		time.Sleep(10 * time.Second)
		_, err = m["e2"].orders.PauseRollout(s.t.Context(), "asha")
		require.NoError(t, err)
		_, err = m["e2"].orders.StartRollout(s.t.Context(), RolloutRequest{RequestedBy: "ben"})
		require.Equal(t, classifier.Conflict, classifier.As(err).Code)
		ordered := len(s.platform.reboots)
		require.NotZero(t, ordered)
		time.Sleep(10 * time.Minute)
		require.Len(t, s.platform.reboots, ordered)
		require.Equal(t, ordered, s.currentRollout().Count(StepDone))
		_, err = m["e3"].orders.ResumeRollout(s.t.Context(), "asha")
		require.NoError(t, err)
		time.Sleep(15 * time.Minute)
		require.Equal(t, RolloutDone, s.currentRollout().State)
	})
}

// Outages of the key-value store in the middle of a roll-out delay it, but must
// not lead to more absences than the budgets allow.
func TestRollOutCompletesDespiteStoreOutages(t *testing.T) {
	runWithCluster(t, 4, strictBudgets, func(s *testCluster, m map[string]*member) {
		s.startRolloutControllers(true)
		_, err := m["e1"].orders.StartRollout(s.t.Context(), RolloutRequest{RequestedBy: "asha"})
		require.NoError(t, err)
		for n := range 5 {
			time.Sleep(17 * time.Second)
			s.store.LoseNextWriteResponses(n)
			s.store.SetDown(true)
			time.Sleep(47 * time.Second)
			s.store.SetDown(false)
			s.store.LoseNextWriteResponses(0)
			s.requireWithinBudgets()
		}
		time.Sleep(15 * time.Minute)
		require.Equal(t, RolloutDone, s.currentRollout().State)
		require.Len(t, s.platform.reboots, 12)
	})
}

func TestSpareInstancesAreLentAndReturned(t *testing.T) {
	runWithCluster(t, 6, nil, func(s *testCluster, m map[string]*member) {
		var mu sync.Mutex
		waiting := 40
		loads := func() []messenger.PoolLoad {
			mu.Lock()
			defer mu.Unlock()
			return []messenger.PoolLoad{{Pool: "a", Slots: 48, Running: min(48, waiting+8), Waiting: waiting}}
		}
		ctx, cancel := context.WithCancel(s.t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = NewLendingController(m["e1"].coord, m["e1"].orders, loads, planner.DefaultLendOptions()).Run(ctx)
		}()
		time.Sleep(20 * time.Second)
		require.Zero(t, s.countLent(), "a short burst of load must not move instances")
		time.Sleep(time.Minute)
		require.NotZero(t, s.countLent())
		mu.Lock()
		waiting = 0
		mu.Unlock()
		time.Sleep(40 * time.Minute)
		require.Zero(t, s.countLent())
		cancel()
		<-done
	})
}

func (c *testCluster) countLent() int {
	list, err := c.members["e1"].orders.List(c.t.Context())
	require.NoError(c.t, err)
	n := 0
	for _, i := range list {
		if i.Pool == "a" && i.Home == "spare" {
			n++
		}
	}
	return n
}

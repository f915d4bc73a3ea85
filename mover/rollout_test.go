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

var tight = []parser.Budget{
	{Scope: parser.PoolScope, Name: parser.Every, MaxAbsent: 1},
	{Scope: parser.ZoneScope, Name: parser.Every, MaxAbsent: 2},
	{Scope: parser.RackScope, Name: parser.Every, MaxAbsent: 1},
}

// maintain runs a Maintainer on each member and checks the budgets all the
// time. With all set, every member believes that it holds the duty.
func (s *site) maintain(all bool) {
	var wg sync.WaitGroup
	ctx, cancel := context.WithCancel(s.t.Context())
	for _, m := range s.members {
		if all {
			m.held.Store(true)
		}
		wg.Go(func() { _ = NewMaintainer(m.coord, m.orders).Run(ctx) })
	}
	s.ends = append(s.ends, func() { cancel(); wg.Wait() })
}

func (s *site) rollout() Rollout {
	r, err := s.members["e1"].orders.Rollout(s.t.Context())
	require.NoError(s.t, err)
	return r
}

// withinBudgets checks that no more instances are out than the budgets allow,
// by the instance records themselves.
func (s *site) withinBudgets() {
	list, err := s.members["e1"].orders.List(s.t.Context())
	require.NoError(s.t, err)
	pools, zones, racks := map[string]int{}, map[string]int{}, map[string]int{}
	for _, i := range list {
		if i.Phase != Serving {
			pools[i.Pool]++
			zones[i.Zone]++
			racks[i.Rack]++
		}
	}
	for _, n := range pools {
		require.LessOrEqual(s.t, n, 1)
	}
	for _, n := range zones {
		require.LessOrEqual(s.t, n, 2)
	}
	for _, n := range racks {
		require.LessOrEqual(s.t, n, 1)
	}
}

func TestRollOutRebootsEachInstanceOnce(t *testing.T) {
	for name, all := range map[string]bool{"one controller": false, "three that race": true} {
		t.Run(name, func(t *testing.T) {
			within(t, 4, tight, func(s *site, m map[string]*member) {
				s.maintain(all)
				_, err := m["e2"].orders.StartRollout(s.t.Context(), RolloutRequest{Who: "asha"})
				require.NoError(t, err)
				time.Sleep(5 * time.Second)
				require.Equal(t, "budget of pool a allows 1 absent", s.rollout().Waits[0])
				for range 1200 {
					time.Sleep(time.Second)
					s.withinBudgets()
				}
				r := s.rollout()
				require.Equal(t, RolloutDone, r.State, "%+v", r)
				require.Equal(t, 12, r.Count(StepDone))
				require.Len(t, s.cloud.reboots, 12)
				require.Empty(t, s.absences().List)
			})
		})
	}
}

func TestRollOutStopsByItself(t *testing.T) {
	within(t, 4, tight, func(s *site, m map[string]*member) {
		s.maintain(false)
		for _, id := range []string{"a01", "b01"} {
			s.cloud.stuck[id] = true
		}
		_, err := m["e2"].orders.StartRollout(s.t.Context(), RolloutRequest{Who: "asha", Pools: []string{"a", "b"}})
		require.NoError(t, err)
		time.Sleep(25 * time.Minute)
		r := s.rollout()
		require.Equal(t, RolloutStopped, r.State)
		require.Contains(t, r.Reason, "a01: failed: did not return within 10m0s; b01: failed")
		before := len(s.cloud.reboots)
		time.Sleep(10 * time.Minute)
		require.Len(t, s.cloud.reboots, before)
		for _, id := range []string{"a01", "b01"} {
			s.cloud.set(lister.Listing{ID: id, Kind: lister.WorkerKind, Address: "10.1.1.1:70", Zone: "z2", Rack: id[:1] + "z2", Slots: 8, Pool: id[:1], State: lister.Live, Boots: 1})
			s.cloud.stuck[id] = false
		}
		time.Sleep(time.Minute)
		_, err = m["e3"].orders.ResumeRollout(s.t.Context(), "asha")
		require.NoError(t, err)
		time.Sleep(15 * time.Minute)
		require.Equal(t, RolloutDone, s.rollout().State, "%+v", s.rollout())
	})
}

func TestRollOutStopsOnSickInstances(t *testing.T) {
	within(t, 4, tight, func(s *site, m map[string]*member) {
		s.maintain(false)
		_, err := m["e2"].orders.StartRollout(s.t.Context(), RolloutRequest{Who: "asha", Pools: []string{"a"}, MaxFailed: 1})
		require.NoError(t, err)
		for s.rollout().Count(StepProof) == 0 {
			time.Sleep(time.Second)
		}
		for _, step := range s.rollout().Steps {
			if step.State == StepProof {
				m[s.instance(step.Instance).Owner].mover.ReportHealth(step.Instance, "fails all that it starts")
			}
		}
		time.Sleep(10 * time.Second)
		require.Equal(t, RolloutStopped, s.rollout().State)
		require.Contains(t, s.rollout().Reason, "came back sick: fails all that it starts")
		require.Len(t, s.absences().List, 1, "a sick instance counts as absent")
	})
}

// A job that runs longer than the drain limit is not cut: the drain is undone
// and tried again when the job has ended.
func TestRollOutWaitsForLongJobs(t *testing.T) {
	asked := make(chan string, 10)
	within(t, 3, tight, func(s *site, m map[string]*member) {
		s.maintain(false)
		for _, e := range m {
			e.mover.cfg.checkpoint = func(_ context.Context, id string) { asked <- id }
		}
		free := s.occupy("a01")
		_, err := m["e1"].orders.StartRollout(s.t.Context(), RolloutRequest{Who: "asha", Pools: []string{"a"}, DrainLimit: 10 * time.Minute})
		require.NoError(t, err)
		time.Sleep(20 * time.Minute)
		r := s.rollout()
		step, _ := r.Step("a01")
		require.Equal(t, StepWaits, step.State)
		require.Contains(t, step.Note, "work still running")
		require.Equal(t, 2, r.Count(StepDone))
		require.Equal(t, "a01", <-asked)
		free()
		time.Sleep(35 * time.Minute)
		require.Equal(t, RolloutDone, s.rollout().State)
	})
}

func TestPausedRollOutOrdersNothing(t *testing.T) {
	within(t, 3, tight, func(s *site, m map[string]*member) {
		s.maintain(false)
		_, err := m["e1"].orders.StartRollout(s.t.Context(), RolloutRequest{Who: "asha"})
		require.NoError(t, err)
		time.Sleep(10 * time.Second)
		_, err = m["e2"].orders.PauseRollout(s.t.Context(), "asha")
		require.NoError(t, err)
		_, err = m["e2"].orders.StartRollout(s.t.Context(), RolloutRequest{Who: "ben"})
		require.Equal(t, classifier.Conflict, classifier.As(err).Code)
		ordered := len(s.cloud.reboots)
		require.NotZero(t, ordered)
		time.Sleep(10 * time.Minute)
		require.Len(t, s.cloud.reboots, ordered)
		require.Equal(t, ordered, s.rollout().Count(StepDone))
		_, err = m["e3"].orders.ResumeRollout(s.t.Context(), "asha")
		require.NoError(t, err)
		time.Sleep(15 * time.Minute)
		require.Equal(t, RolloutDone, s.rollout().State)
	})
}

// An outage of the key-value service in the middle of a wave delays it and
// overdraws nothing.
func TestRollOutOutlivesStoreOutage(t *testing.T) {
	within(t, 4, tight, func(s *site, m map[string]*member) {
		s.maintain(true)
		_, err := m["e1"].orders.StartRollout(s.t.Context(), RolloutRequest{Who: "asha"})
		require.NoError(t, err)
		for n := range 5 {
			time.Sleep(17 * time.Second)
			s.store.LoseNextAnswers(n)
			s.store.SetDown(true)
			time.Sleep(47 * time.Second)
			s.store.SetDown(false)
			s.store.LoseNextAnswers(0)
			s.withinBudgets()
		}
		time.Sleep(15 * time.Minute)
		require.Equal(t, RolloutDone, s.rollout().State)
		require.Len(t, s.cloud.reboots, 12)
	})
}

func TestSparePoolLendsAndGetsBack(t *testing.T) {
	within(t, 6, nil, func(s *site, m map[string]*member) {
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
			_ = NewLending(m["e1"].coord, m["e1"].orders, loads, planner.DefaultLendOptions()).Run(ctx)
		}()
		time.Sleep(20 * time.Second)
		require.Zero(t, s.lent(), "a burst moves nothing")
		time.Sleep(time.Minute)
		require.NotZero(t, s.lent())
		mu.Lock()
		waiting = 0
		mu.Unlock()
		time.Sleep(40 * time.Minute)
		require.Zero(t, s.lent())
		cancel()
		<-done
	})
}

func (s *site) lent() int {
	list, err := s.members["e1"].orders.List(s.t.Context())
	require.NoError(s.t, err)
	n := 0
	for _, i := range list {
		if i.Pool == "a" && i.Home == "spare" {
			n++
		}
	}
	return n
}

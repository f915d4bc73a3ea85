package orchestrator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/modeler"
)

// runEvacuationScenario runs a scenario with instances a and b in zone z, c and d in
// zone y, and the bound that the platform sets for evacuations.
func runEvacuationScenario(t *testing.T, fn func(s *deployment)) {
	runScenario(t, 2, func(s *deployment) {
		s.evacuationTime = 5 * time.Second
		s.keepInstances()
		s.addInstanceInZone("c", "y")
		s.addInstanceInZone("d", "y")
		fn(s)
	})
}

// runCountIn returns the number of runs on the workers of instances.
func (d *deployment) runCountIn(instances ...string) int {
	n := 0
	for _, name := range instances {
		n += d.taskFleet.RunCountOnWorker(d.instances.WorkerOf(name))
	}
	return n
}

// submitEvery submits a job of one task of a second at intervals until the time is over.
func (d *deployment) submitEvery(interval, total time.Duration, prefix string) (ids []string) {
	for began := time.Now(); time.Since(began) < total; time.Sleep(interval) {
		id := fmt.Sprintf("%s-%d", prefix, len(ids))
		d.submit(shortJob(id, modeler.Step{Count: 1, Need: modeler.Resources{CPU: 500}, Estimate: time.Second}))
		ids = append(ids, id)
	}
	return ids
}

// Guards against starts in an evacuated zone by placement and by placements that await
// their start: none may begin there once the leader knows of the evacuation, running
// tasks end there, and all work is done elsewhere.
func TestNoTaskStartsInAnEvacuatedZone(t *testing.T) {
	runEvacuationScenario(t, func(s *deployment) {
		e := s.startEntry("one")
		time.Sleep(time.Second)
		s.taskFleet.EvacuationTime = 150 * time.Millisecond // a round of the event loop
		ids := s.submitEvery(50*time.Millisecond, time.Second, "before")
		require.NotZero(t, s.runCountIn("a", "b"))
		s.evacuate("z")
		ids = append(ids, s.submitEvery(50*time.Millisecond, 3*time.Second, "after")...)
		require.Zero(t, s.runCountIn("a", "b"))
		time.Sleep(8 * time.Second)
		s.requireState(modeler.Completed, ids...)
		e.stopGracefully()
	})
}

// Guards against starts that wait in a worker's queue while its zone is evacuated. Two
// calls are sent at once; the others wait behind them.
func TestQueuedStartsInAnEvacuatedZoneAreNotSent(t *testing.T) {
	runEvacuationScenario(t, func(s *deployment) {
		s.evacuate("y")
		e := s.startEntry("one")
		time.Sleep(time.Second)
		e.startDelay.Store(int64(400 * time.Millisecond))
		s.submit(shortJob("j1", modeler.Step{Count: 8, Need: modeler.Resources{CPU: 1000}}))
		time.Sleep(200 * time.Millisecond)
		s.evacuate("y", "z")
		e.startDelay.Store(0)
		time.Sleep(4 * time.Second)
		require.Equal(t, 4, s.startedRuns("j1", 8))
		s.evacuate()
		time.Sleep(10 * time.Second)
		s.requireState(modeler.Completed, "j1")
		s.requireDoneOnce("j1", 8)
		e.stopGracefully()
	})
}

// Guards against a start that was sent in time and arrives after the bound, over a slow
// link or from a paused process: the worker must refuse it.
func TestStartThatArrivesAfterTheBoundIsRefused(t *testing.T) {
	runEvacuationScenario(t, func(s *deployment) {
		s.evacuate("y")
		e := s.startEntry("one")
		time.Sleep(time.Second)
		e.startDelay.Store(int64(5500 * time.Millisecond))
		s.submit(shortJob("j1", modeler.Step{Count: 1, Need: modeler.Resources{CPU: 1000}}))
		time.Sleep(50 * time.Millisecond)
		s.evacuate("y", "z")
		time.Sleep(7 * time.Second)
		require.Zero(t, s.startedRuns("j1", 1))
		e.stopGracefully()
	})
}

// Guards against acting on what an entry node knew long ago: one that can't read the
// operator's records starts nothing once they could hide an evacuation.
func TestLeaderThatCannotReadTheRecordsStartsNothingAfterTheBound(t *testing.T) {
	runEvacuationScenario(t, func(s *deployment) {
		e := s.startEntry("one")
		time.Sleep(time.Second)
		e.losesOperatorRecords.Store(true)
		s.evacuate("z", "y")
		ids := s.submitEvery(100*time.Millisecond, 8*time.Second, "j")
		started := 0
		for _, id := range ids {
			started += s.startedRuns(id, 1)
		}
		require.InDelta(t, 46, started, 3, "starts continue until the records are too old")
		s.evacuate()
		e.losesOperatorRecords.Store(false)
		time.Sleep(10 * time.Second)
		s.requireState(modeler.Completed, ids...)
		e.stopGracefully()
	})
}

// Guards against a new leader that starts inherited work before it knows of evacuations,
// after a change of leader or a restart.
func TestNewLeaderStartsNothingBeforeItHasReadTheRecords(t *testing.T) {
	runEvacuationScenario(t, func(s *deployment) {
		s.taskFleet.EvacuationTime = 0
		first := s.startEntry("one")
		time.Sleep(time.Second)
		first.stopGracefully()
		s.evacuate("z")
		s.submit(shortJob("j1"))
		second := s.startEntry("two")
		second.losesOperatorRecords.Store(true)
		time.Sleep(3 * time.Second)
		require.Zero(t, s.startedRuns("j1", 4))
		second.losesOperatorRecords.Store(false)
		time.Sleep(3 * time.Second)
		require.Equal(t, modeler.Completed, s.jobState("j1"))
		require.Zero(t, s.runCountIn("a", "b"))
		second.stopGracefully()
	})
}

// Guards against a gang that is started in part. Two starts are sent at once. If the
// others can follow within a second the gang runs, else none of it does.
func TestGangInAnEvacuatedZoneStartsWholeOrNotAtAll(t *testing.T) {
	for name, c := range map[string]struct {
		startDelay, evacuatedAfter time.Duration
		members, running           int
	}{
		"the rest can be sent":        {500 * time.Millisecond, 100 * time.Millisecond, 4, 4},
		"the rest comes too late":     {1300 * time.Millisecond, 100 * time.Millisecond, 4, 0},
		"the last member is too late": {600 * time.Millisecond, 100 * time.Millisecond, 5, 0},
		"none has been sent":          {0, -100 * time.Millisecond, 4, 0},
	} {
		t.Run(name, func(t *testing.T) {
			runEvacuationScenario(t, func(s *deployment) {
				s.taskFleet.RunOutcome = neverEnds
				s.instances.Remove("b")
				s.instances.Remove("c")
				s.instances.Remove("d")
				e := s.startEntry("one")
				time.Sleep(time.Second)
				e.startDelay.Store(int64(c.startDelay))
				if c.evacuatedAfter < 0 {
					s.evacuate("z")
				}
				s.submit(shortJob("gang", modeler.Step{Count: c.members, Need: modeler.Resources{CPU: 500}, Gang: true}))
				time.Sleep(c.evacuatedAfter.Abs())
				s.evacuate("z")
				time.Sleep(4 * time.Second)
				require.Equal(t, c.running, s.taskFleet.RunCountOfJob("gang"))
				e.stopGracefully()
			})
		})
	}
}

package orchestrator_test

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/elector"
	"github.com/coltsfootlever/coltsfootlever/emulator"
	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/orchestrator"
)

// runEvacuationScenario runs a scenario with instances a and b in zone z, c and d in
// zone y, and the bound that the platform sets for evacuations.
func runEvacuationScenario(t *testing.T, fn func(s *deployment)) {
	runScenario(t, 2, func(s *deployment) {
		s.evacuationTime, s.outcomeQueryTime = 5*time.Second, time.Hour
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

// Guards against a start that is sent after the bound, by a process that was paused after
// it had checked the evacuations, to a worker that has restarted under its ID meanwhile:
// the lease in the start is by the clock of the earlier process.
func TestStartAfterAPauseIsNotSentToARestartedWorker(t *testing.T) {
	runEvacuationScenario(t, func(s *deployment) {
		s.evacuate("y")
		e := s.startEntry("one")
		time.Sleep(3 * time.Second)
		e.startDelay.Store(int64(5500 * time.Millisecond))
		s.submit(shortJob("j1", modeler.Step{Count: 1, Need: modeler.Resources{CPU: 1000}}))
		time.Sleep(50 * time.Millisecond)
		for _, name := range []string{"a", "b"} {
			s.instances.RestartWorkerWithSameID(name, "127.0.0.1:1")
		}
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
		time.Sleep(1500 * time.Millisecond)
		before := s.store.Commits()
		time.Sleep(2 * time.Second)
		require.Less(t, s.store.Commits()-before, 8, "tasks that can't be started are not placed over and over")
		require.Equal(t, modeler.Queued, s.jobState("j1"))
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
		"the rest waited too long":    {1100 * time.Millisecond, 800 * time.Millisecond, 4, 0},
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

// absent returns how many tasks of a long-running job with one step of count tasks
// don't run.
func (d *deployment) absent(job string, count int) int {
	return count - d.taskFleet.RunCountOfJob(job)
}

// Guards against long-running tasks that stay in an evacuated zone, that move in larger
// numbers than their step allows, or that move back when the zone is restored. They move
// on also if the leader changes meanwhile.
func TestLongRunningTasksLeaveAnEvacuatedZone(t *testing.T) {
	for _, leaderChanges := range []bool{false, true} {
		t.Run(fmt.Sprint(leaderChanges), func(t *testing.T) {
			runEvacuationScenario(t, func(s *deployment) {
				s.taskFleet.RunOutcome = neverEnds
				s.evacuate("y")
				first := s.startEntry("one")
				second := s.startEntry("two")
				s.submit(longRunningJob("lasts", 4))
				time.Sleep(3 * time.Second)
				require.Equal(t, 4, s.runCountIn("a", "b"))
				s.evacuate("z")
				for n := range 200 {
					time.Sleep(50 * time.Millisecond)
					require.LessOrEqual(t, s.absent("lasts", 4), 1)
					if leaderChanges && n == 30 {
						s.replaceLeader(first, second)
					}
				}
				require.Equal(t, 4, s.runCountIn("c", "d"))
				s.evacuate()
				time.Sleep(8 * time.Second)
				require.Equal(t, 4, s.runCountIn("c", "d"), "tasks stay when the zone is restored")
				first.stopGracefully()
				second.stopGracefully()
			})
		})
	}
}

// replaceLeader stops the leader, so that the other entry node leads.
func (d *deployment) replaceLeader(entries ...*entryNode) {
	r, err := d.store.ClientFor("observer").Get(d.t.Context(), elector.Key)
	require.NoError(d.t, err)
	for _, e := range entries {
		if strings.HasPrefix(string(r.Value), e.name+"/") {
			e.stopGracefully()
		}
	}
}

// Guards against a reservation that outlasts the evacuation for which a long-running task
// had to move and found no room: it would keep the room free as long as the task runs.
func TestRestoreOfAZoneCancelsReservations(t *testing.T) {
	runEvacuationScenario(t, func(s *deployment) {
		s.taskFleet.RunOutcome = func(id modeler.TaskID, _ int) (time.Duration, modeler.EndKind) {
			if id.Job == "lasts" {
				return -1, modeler.EndDone
			}
			return 8 * time.Second, modeler.EndDone
		}
		s.evacuate("y")
		e := s.startEntry("one")
		time.Sleep(time.Second)
		s.submit(longRunningJob("lasts", 1))
		time.Sleep(time.Second)
		require.Equal(t, 1, s.runCountIn("a", "b"))
		s.evacuate()
		time.Sleep(6 * time.Second)
		s.submit(shortJob("full", modeler.Step{Count: 15, Need: modeler.Resources{CPU: 1000}, Estimate: 8 * time.Second}))
		time.Sleep(500 * time.Millisecond)
		require.Equal(t, 15, s.taskFleet.RunCountOfJob("full"))
		s.evacuate("z")
		time.Sleep(2 * time.Second)
		s.evacuate()
		time.Sleep(7 * time.Second)
		require.Equal(t, 1, s.runCountIn("a", "b"), "only the long-running task is left")
		s.submit(shortJob("again", modeler.Step{Count: 15, Need: modeler.Resources{CPU: 1000}, Estimate: 8 * time.Second}))
		time.Sleep(500 * time.Millisecond)
		require.Equal(t, 15, s.taskFleet.RunCountOfJob("again"))
		e.stopGracefully()
	})
}

// Guards against a long-running task that is stopped although no start may be sent
// because the operator's records are old: it would be absent until they are read.
func TestTasksAreNotMovedWhileNoStartMayBeSent(t *testing.T) {
	runEvacuationScenario(t, func(s *deployment) {
		s.taskFleet.RunOutcome = neverEnds
		s.evacuate("y")
		e := s.startEntry("one")
		s.submit(longRunningJob("lasts", 6))
		time.Sleep(3 * time.Second)
		s.evacuate("z")
		time.Sleep(150 * time.Millisecond)
		e.losesOperatorRecords.Store(true)
		time.Sleep(8 * time.Second)
		require.Zero(t, s.absent("lasts", 6))
		e.stopGracefully()
	})
}

// Guards against a start in any zone while all are evacuated, against accepted work that
// is lost then, and against runs whose leases are no longer extended. Entry nodes learn
// that nothing can start.
func TestNothingStartsWhileAllZonesAreEvacuated(t *testing.T) {
	runEvacuationScenario(t, func(s *deployment) {
		s.taskFleet.RunOutcome = func(id modeler.TaskID, _ int) (time.Duration, modeler.EndKind) {
			return 12 * time.Second, modeler.EndDone
		}
		e := s.startEntry("one")
		time.Sleep(time.Second)
		s.submit(shortJob("j1", modeler.Step{Count: 4, Need: modeler.Resources{CPU: 1000}}))
		time.Sleep(500 * time.Millisecond)
		s.taskFleet.EvacuationTime = 150 * time.Millisecond
		s.evacuate("z")
		time.Sleep(time.Second)
		require.Empty(t, s.load().EvacuatedZones)
		s.evacuate("z", "y")
		s.submit(shortJob("j2", modeler.Step{Count: 4, Need: modeler.Resources{CPU: 1000}}))
		time.Sleep(14 * time.Second)
		s.requireDoneOnce("j1", 4)
		require.Zero(t, s.startedRuns("j2", 4))
		require.Equal(t, []string{"y", "z"}, s.load().EvacuatedZones)
		s.evacuate("y")
		time.Sleep(time.Second)
		require.Empty(t, s.load().EvacuatedZones)
		time.Sleep(20 * time.Second)
		s.requireDoneOnce("j2", 4)
		e.stopGracefully()
	})
}

// The load: work that both zones together can do and one of them can't. New jobs must be
// limited soon after the evacuation of the other one, and not before.
func TestCapacityForNewJobsIsThatOfTheZonesInUse(t *testing.T) {
	runEvacuationScenario(t, func(s *deployment) {
		e := s.startEntry("one")
		time.Sleep(6 * time.Second) // a new leader leaves limitations as they are
		play := func(prefix string, seconds int) {
			for n := range 2 * seconds {
				s.submit(shortJob(fmt.Sprint(prefix, n), modeler.Step{Count: 7, Need: modeler.Resources{CPU: 1000}, Estimate: time.Second}))
				time.Sleep(500 * time.Millisecond)
			}
		}
		play("both", 7)
		require.Empty(t, s.load().Limited)
		s.evacuate("z")
		play("one", 7)
		require.Contains(t, s.load().Limited["short"], "c")
		e.stopGracefully()
	})
}

// The load: more work waits than the zone that is in use can run. A restored zone must
// not get all of it at once.
func TestRestoredZoneGetsWaitingWorkInSteps(t *testing.T) {
	runScenario(t, 0, func(s *deployment) {
		const perZone = 20
		s.evacuationTime = 5 * time.Second
		s.keepInstances()
		for i := range perZone {
			s.addInstanceInZone(fmt.Sprintf("z%d", i), "z")
			s.addInstanceInZone(fmt.Sprintf("y%d", i), "y")
		}
		used := func() (n int) {
			for i := range perZone {
				if s.runCountIn(fmt.Sprintf("z%d", i)) > 0 {
					n++
				}
			}
			return n
		}
		s.evacuate("z")
		e := s.startEntry("one")
		time.Sleep(time.Second)
		s.submit(shortJob("backlog", modeler.Step{Count: 1500, Need: modeler.Resources{CPU: 1000}, Estimate: time.Second}))
		time.Sleep(2 * time.Second)
		require.Zero(t, used())
		s.evacuate()
		time.Sleep(500 * time.Millisecond)
		require.InDelta(t, perZone/5, used(), 4)
		time.Sleep(2 * time.Second)
		require.InDelta(t, perZone*3/5, used(), 5)
		time.Sleep(3 * time.Second)
		require.Equal(t, perZone, used())
		s.taskFleet.EvacuationTime = 150 * time.Millisecond
		for n := range 40 { // in quick succession
			if n%2 == 0 {
				s.evacuate("z")
			} else {
				s.evacuate()
			}
			time.Sleep(time.Duration(50+20*n) * time.Millisecond)
		}
		time.Sleep(15 * time.Second)
		s.requireState(modeler.Completed, "backlog")
		e.stopGracefully()
	})
}

// Guards against pools that count the instances of an evacuated zone, or get more of
// them: the spare instances of the other zone must take over.
func TestPoolGetsInstancesOfOtherZones(t *testing.T) {
	runScenario(t, 2, func(s *deployment) {
		s.evacuationTime = 5 * time.Second
		for _, name := range []string{"f", "g", "h"} {
			s.instances.Add(modeler.Instance{Name: "z" + name, Pool: "spare", Zone: "z", Capacity: modeler.Resources{CPU: 4000, Memory: 8000}}, false)
			s.instances.Add(modeler.Instance{Name: "y" + name, Pool: "spare", Zone: "y", Capacity: modeler.Resources{CPU: 4000, Memory: 8000}}, false)
		}
		e := s.startEntry("one")
		time.Sleep(time.Second)
		s.evacuate("z")
		moved := func() (n int) {
			for _, name := range []string{"f", "g", "h"} {
				require.Equal(t, "spare", s.instances.PoolOf("z"+name))
				if s.instances.PoolOf("y"+name) == "p" {
					n++
				}
			}
			return n
		}
		time.Sleep(2 * time.Second)
		require.Equal(t, 1, moved(), "without load, for the first jobs")
		ids := s.submitEvery(100*time.Millisecond, 8*time.Second, "j")
		require.GreaterOrEqual(t, moved(), 2)
		time.Sleep(5 * time.Second)
		s.requireState(modeler.Completed, ids...)
		e.stopGracefully()
	})
}

// Guards against a wave that stops at an evacuated zone, exceeds its maximum, or makes
// more long-running tasks absent than their step allows together with the evacuation.
func TestWaveInAnEvacuatedZoneCompletes(t *testing.T) {
	runEvacuationScenario(t, func(s *deployment) {
		s.taskFleet.RunOutcome = func(id modeler.TaskID, _ int) (time.Duration, modeler.EndKind) {
			if id.Job == "lasts" {
				return -1, modeler.EndDone
			}
			return time.Second, modeler.EndDone
		}
		e := s.startEntry("one")
		s.submit(longRunningJob("lasts", 4))
		time.Sleep(2 * time.Second)
		s.requestWaves(modeler.Wave{Number: 1, Instances: []string{"a", "b", "c"}, Duration: 30 * time.Second, MaxConcurrent: 1})
		time.Sleep(500 * time.Millisecond)
		s.evacuate("z")
		for range 600 {
			time.Sleep(50 * time.Millisecond)
			require.LessOrEqual(t, s.absent("lasts", 4), 1)
			require.LessOrEqual(t, s.instances.InMaintenanceCount(), 1)
		}
		for _, name := range []string{"a", "b", "c"} {
			require.Equal(t, 1, s.instances.MaintenanceCount(name), name)
		}
		e.stopGracefully()
	})
}

// Guards against effects of an evacuation together with other events: draining workers,
// a rack that can't be reached, workers that restart under their ID, a change of the
// manifest, an unresponsive store, a change of leader, a second zone. No task starts late
// in an evacuated zone or runs twice, and all jobs end once the zones are restored.
func TestEvacuationTogetherWithOtherEvents(t *testing.T) {
	events := map[string]func(s *deployment, leader *entryNode){
		"draining worker":   func(s *deployment, _ *entryNode) { s.taskFleet.SetDraining(s.instances.WorkerOf("c")) },
		"restarted workers": func(s *deployment, _ *entryNode) { s.instances.RestartWorkerWithSameID("a", "127.0.0.1:2") },
		"second zone":       func(s *deployment, _ *entryNode) { s.evacuate("z", "y") },
		"change of leader":  func(_ *deployment, leader *entryNode) { leader.stopGracefully() },
		"leader is killed":  func(_ *deployment, leader *entryNode) { leader.crash() },
		"unreachable rack": func(s *deployment, _ *entryNode) {
			workers := []string{s.instances.WorkerOf("a"), s.instances.WorkerOf("c")}
			for _, w := range workers {
				s.taskFleet.SetUnresponsive(w, true)
				time.AfterFunc(8*time.Second, func() { s.taskFleet.SetUnresponsive(w, false) })
			}
		},
		"change of the manifest": func(s *deployment, leader *entryNode) {
			m := *s.manifest
			m.Version++
			m.Customers = []modeler.Customer{{Name: "c", Weight: 1, Limit: modeler.Resources{CPU: 12_000}}}
			m.Index()
			leader.manifest.Store(&m)
		},
		"unresponsive store": func(s *deployment, _ *entryNode) {
			s.store.InjectFaults(func(f *emulator.MetaStoreFaults) { f.Down = true })
			time.AfterFunc(5*time.Second, func() { s.store.InjectFaults(func(f *emulator.MetaStoreFaults) { f.Down = false }) })
		},
		"leader cut off from store and records": func(s *deployment, leader *entryNode) {
			s.store.InjectFaults(func(f *emulator.MetaStoreFaults) { f.DisconnectedClients[leader.name] = true })
			leader.losesOperatorRecords.Store(true)
		},
	}
	for name, event := range events {
		for _, before := range []time.Duration{300 * time.Millisecond, 0, -300 * time.Millisecond} {
			t.Run(fmt.Sprint(name, before), func(t *testing.T) {
				runEvacuationScenario(t, func(s *deployment) { s.evacuateWithEvent(before, event) })
			})
		}
	}
}

// evacuateWithEvent evacuates zone z under load for 12 s, with an event so long before
// the evacuation, and checks that all jobs are completed afterwards.
func (d *deployment) evacuateWithEvent(before time.Duration, event func(s *deployment, leader *entryNode)) {
	first := d.startEntry("one")
	time.Sleep(time.Second)
	second := d.startEntry("two")
	ids := append(d.submitEvery(50*time.Millisecond, time.Second, "j"), d.submitInBackground(12*time.Second, "k")...)
	d.submit(shortJob("backlog", modeler.Step{Count: 150, Need: modeler.Resources{CPU: 1000}, Estimate: time.Second}))
	if before >= 0 {
		event(d, first)
		time.Sleep(before)
	}
	d.evacuate(append(d.evacuatedZones(), "z")...)
	if before < 0 {
		time.Sleep(-before)
		event(d, first)
	}
	time.Sleep(12 * time.Second)
	d.evacuate()
	time.Sleep(time.Minute)
	d.requireState(modeler.Completed, append(ids, "backlog")...)
	first.stopGracefully()
	second.stopGracefully()
}

// submitInBackground submits jobs ten times a second for some time. Faults of the store
// don't affect it.
func (d *deployment) submitInBackground(total time.Duration, prefix string) (ids []string) {
	for n := range int(total / (100 * time.Millisecond)) {
		ids = append(ids, fmt.Sprintf("%s-%d", prefix, n))
	}
	go func() {
		for _, id := range ids {
			j := shortJob(id, modeler.Step{Count: 1, Need: modeler.Resources{CPU: 500}, Estimate: time.Second})
			j.Accepted, j.QueueSettings = time.Now(), d.manifest.Queue(j.Queue).Settings()
			d.steps.Store(j.ID, j.Steps)
			d.store.PutAsOperator(keeper.Put{Key: orchestrator.JobKey(j.ID), Value: orchestrator.EncodeJobRecord(&j)})
			time.Sleep(100 * time.Millisecond)
		}
	}()
	return ids
}

func (d *deployment) evacuatedZones() (zones []string) {
	if requested := d.evacuations.Load(); requested != nil {
		for _, e := range *requested {
			zones = append(zones, e.Zone)
		}
	}
	return zones
}

// lineCounter is a log handler that counts the lines of each worker with one message and
// sums up their attribute "starts".
type lineCounter struct {
	slog.Handler
	message string
	mu      sync.Mutex
	lines   map[string]int
	starts  int64
}

func (c *lineCounter) Handle(_ context.Context, r slog.Record) error {
	if r.Message != c.message {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	r.Attrs(func(a slog.Attr) bool {
		switch a.Key {
		case "worker":
			c.lines[a.Value.String()]++
		case "starts":
			c.starts += a.Value.Int64()
		}
		return true
	})
	return nil
}

func (c *lineCounter) Enabled(context.Context, slog.Level) bool { return true }
func (c *lineCounter) WithAttrs([]slog.Attr) slog.Handler       { return c }

// Guards against a line for each of many withheld starts, and against starts that no line
// tells of. The instance i of zone x returns to use at once when the zone is restored.
func TestWithheldStartsAreLoggedOnceAWorkerAndSecond(t *testing.T) {
	runEvacuationScenario(t, func(s *deployment) {
		c := &lineCounter{message: "starts withheld", lines: make(map[string]int)}
		s.log = slog.New(c)
		s.addInstanceInZone("i", "x")
		s.evacuate("z", "y")
		e := s.startEntry("one")
		time.Sleep(time.Second)
		e.startDelay.Store(int64(100 * time.Millisecond))
		s.submit(shortJob("j1", modeler.Step{Count: 100, Need: modeler.Resources{CPU: 10}}))
		for range 13 {
			time.Sleep(150 * time.Millisecond)
			s.evacuate("z", "y", "x")
			time.Sleep(150 * time.Millisecond)
			s.evacuate("z", "y")
		}
		time.Sleep(2 * time.Second)
		c.mu.Lock()
		defer c.mu.Unlock()
		require.LessOrEqual(t, c.lines[s.instances.WorkerOf("i")], 5, "in 4 s")
		require.Greater(t, c.starts, int64(500))
		e.stopGracefully()
	})
}

// Guards against a start that is counted in each round of the event loop while it is held
// back. The list of workers is too old first, so that tasks are placed and not sent.
func TestStartThatIsHeldBackCountsOnce(t *testing.T) {
	runEvacuationScenario(t, func(s *deployment) {
		c := &lineCounter{message: "starts withheld", lines: make(map[string]int)}
		s.log = slog.New(c)
		e := s.startEntry("one")
		time.Sleep(time.Second)
		e.losesWorkerLists.Store(true)
		e.losesOperatorRecords.Store(true)
		time.Sleep(3500 * time.Millisecond)
		s.submit(shortJob("j1", modeler.Step{Count: 12, Need: modeler.Resources{CPU: 1000}}))
		time.Sleep(5 * time.Second)
		c.mu.Lock()
		defer c.mu.Unlock()
		require.EqualValues(t, 12, c.starts)
		e.losesWorkerLists.Store(false)
		e.losesOperatorRecords.Store(false)
		time.Sleep(6 * time.Second)
		s.requireDoneOnce("j1", 12)
		e.stopGracefully()
	})
}

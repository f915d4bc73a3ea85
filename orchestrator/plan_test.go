package orchestrator_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/emulator"
	"github.com/coltsfootlever/coltsfootlever/modeler"
)

func (d *deployment) requestWave(atOnce int, names ...string) {
	d.requestWaves(modeler.Wave{Number: 1, Instances: names, Duration: 30 * time.Second, MaxConcurrent: atOnce})
}

func (d *deployment) waveStatus() string {
	r, err := d.store.ClientFor("operator").Get(d.t.Context(), "status")
	require.NoError(d.t, err)
	return string(r.Value)
}

func TestMaintenanceWaveKeepsLongRunningTasksAvailable(t *testing.T) {
	runScenario(t, 4, func(s *deployment) {
		s.taskFleet.RunOutcome = func(modeler.TaskID, int) (time.Duration, modeler.EndKind) { return -1, modeler.EndDone }
		e := s.startEntry("one")
		s.submit(longRunningJob("j1", 4))
		time.Sleep(2 * time.Second)
		s.requestWave(2, "a", "b", "c", "d")
		for range 280 {
			time.Sleep(100 * time.Millisecond)
			require.GreaterOrEqual(t, s.taskFleet.RunCountOfJob("j1"), 3)
		}
		for _, name := range []string{"a", "b", "c", "d"} {
			require.Equal(t, 1, s.instances.MaintenanceCount(name))
		}
		require.Equal(t, "completed", s.waveStatus())
		e.stopGracefully()
	})
}

// A task on an unresponsive worker must count as unavailable, so that no other
// task of its step is stopped. See
// docs/operating/incidents/evacuation-beside-a-crash.md.
func TestEvacuationCountsTasksOfUnresponsiveWorkersAsUnavailable(t *testing.T) {
	runScenario(t, 4, func(s *deployment) {
		s.taskFleet.RunOutcome = func(modeler.TaskID, int) (time.Duration, modeler.EndKind) { return -1, modeler.EndDone }
		e := s.startEntry("one")
		s.manifest.Pools = s.manifest.Pools[:1] // without a spare pool no instance moves
		s.manifest.Index()
		j := longRunningJob("j1", 3)
		j.Steps[0].MaxPerWorker = 1
		s.submit(j)
		time.Sleep(4 * time.Second)
		busy := s.instancesWithTasks("a", "b", "c", "d")
		require.Len(t, busy, 3)
		s.taskFleet.SetUnresponsive(s.instances.WorkerOf(busy[0]), true)
		time.Sleep(2 * time.Second)
		s.requestWave(1, busy[1])
		time.Sleep(2 * time.Second)
		require.Equal(t, 1, s.taskFleet.RunCountOnWorker(s.instances.WorkerOf(busy[1])))
		e.stopGracefully()
	})
}

// A new leader must count the instance orders of the previous leader and repeat
// them until they are completed.
func TestNewLeaderFinishesInstanceOrders(t *testing.T) {
	runScenario(t, 4, func(s *deployment) {
		late := true
		s.instances.OrderDelay = func(holder, _ string) time.Duration {
			if late && holder == "one" {
				return 4 * time.Second
			}
			return 0
		}
		first := s.startEntry("one")
		time.Sleep(2 * time.Second)
		s.requestWave(1, "a", "b")
		time.Sleep(500 * time.Millisecond)
		first.crash()
		second := s.startEntry("two")
		down := 0
		for range 200 {
			time.Sleep(100 * time.Millisecond)
			down = max(down, s.instances.InMaintenanceCount())
		}
		require.Equal(t, 1, down)
		require.Equal(t, 1, s.instances.MaintenanceCount("a"))
		require.Equal(t, 1, s.instances.MaintenanceCount("b"))
		require.Equal(t, "completed", s.waveStatus())
		second.stopGracefully()
	})
}

// A leader that doesn't know yet that another entry node leads must not move
// instances. See docs/operating/incidents/deposed-leader-moves-instances.md.
func TestDeposedLeaderSendsNoInstanceOrders(t *testing.T) {
	runScenario(t, 3, func(s *deployment) {
		first := s.startEntry("one")
		time.Sleep(2 * time.Second)
		s.store.InjectFaults(func(f *emulator.MetaStoreFaults) { f.DisconnectedClients["one"] = true })
		second := s.startEntry("two")
		time.Sleep(1800 * time.Millisecond) // the lease has expired, but no worker has yet rejected the old token
		before := s.instances.OrderCount("one")
		s.requestWave(1, "a", "b", "c")
		time.Sleep(10 * time.Second)
		require.Equal(t, before, s.instances.OrderCount("one"))
		require.Equal(t, "completed", s.waveStatus())
		first.stopGracefully()
		second.stopGracefully()
	})
}

func TestPoolSizeFollowsDemand(t *testing.T) {
	runScenario(t, 2, func(s *deployment) {
		for _, name := range []string{"x", "y", "z"} {
			s.instances.Add(modeler.Instance{Name: name, Pool: "spare", Zone: "z", Labels: []string{"k", "r2"}, Capacity: modeler.Resources{CPU: 4000, Memory: 8000}}, false)
		}
		e := s.startEntry("one")
		time.Sleep(2 * time.Second)
		for i := range 6 {
			s.submit(shortJob("j" + string(rune('a'+i))))
		}
		time.Sleep(3 * time.Second)
		inPool := 0
		for _, name := range []string{"x", "y", "z"} {
			if s.instances.PoolOf(name) == "p" {
				inPool++
			}
		}
		require.Equal(t, 3, inPool)
		time.Sleep(12 * time.Second)
		left := 0
		for _, name := range []string{"a", "b", "x", "y", "z"} {
			if s.instances.PoolOf(name) == "p" {
				left++
			}
		}
		require.Equal(t, 1, left)
		e.stopGracefully()
	})
}

// The instance list may still name an earlier worker of an instance. An order
// must not stop the tasks of the current worker because the instance looks
// empty.
func TestStaleInstanceListEndsNoTask(t *testing.T) {
	runScenario(t, 2, func(s *deployment) {
		s.taskFleet.RunOutcome = func(modeler.TaskID, int) (time.Duration, modeler.EndKind) { return -1, modeler.EndDone }
		s.manifest.Pools = s.manifest.Pools[:1]
		s.manifest.Index()
		s.instances.SetListedWorker("a", "w-earlier")
		s.instances.SetListedWorker("b", "w-older")
		e := s.startEntry("one")
		s.submit(longRunningJob("j1", 8))
		time.Sleep(3 * time.Second)
		require.Equal(t, 8, s.taskFleet.RunCountOfJob("j1"))
		s.requestWave(1, "a")
		time.Sleep(5 * time.Second)
		require.Zero(t, s.instances.MaintenanceCount("a"), "its tasks fit on no other worker")
		require.Equal(t, 8, s.taskFleet.RunCountOfJob("j1"))
		e.stopGracefully()
	})
}

// A task that the previous leader has stopped stays listed for a moment. The
// new leader must not count it as available.
func TestNewLeaderCountsStopsInProgress(t *testing.T) {
	runScenario(t, 5, func(s *deployment) {
		s.taskFleet.RunOutcome = func(modeler.TaskID, int) (time.Duration, modeler.EndKind) { return -1, modeler.EndDone }
		s.taskFleet.StopTime = 600 * time.Millisecond
		s.manifest.Pools = s.manifest.Pools[:1]
		s.manifest.Index()
		first := s.startEntry("one")
		j := longRunningJob("j1", 4)
		j.Steps[0].MaxPerWorker = 1
		s.submit(j)
		time.Sleep(4 * time.Second)
		busy := s.instancesWithTasks("a", "b", "c", "d", "e")
		s.requestWave(1, busy[0])
		for s.taskFleet.StoppingRunCount() == 0 {
			time.Sleep(5 * time.Millisecond)
		}
		first.stopGracefully()
		s.requestWaves(modeler.Wave{Number: 2, Instances: busy[1:2], Duration: 30 * time.Second, MaxConcurrent: 1})
		second := s.startEntry("two")
		for range 400 {
			time.Sleep(5 * time.Millisecond)
			require.LessOrEqual(t, s.taskFleet.StoppingRunCount(), 1)
		}
		second.stopGracefully()
	})
}

// A task that must move takes the first free room on any worker, even if
// another worker has a reservation for it. See
// docs/operating/incidents/waiting-for-one-worker.md.
func TestTaskMovesToFirstWorkerWithRoom(t *testing.T) {
	runScenario(t, 3, func(s *deployment) {
		s.taskFleet.RunOutcome = func(id modeler.TaskID, _ int) (time.Duration, modeler.EndKind) {
			if id.Job == "short" {
				return 3 * time.Second, modeler.EndDone
			}
			return -1, modeler.EndDone
		}
		e := s.startEntry("one")
		time.Sleep(time.Second)
		large := modeler.Resources{CPU: 3000, Memory: 100}
		for _, id := range []string{"moves", "stays"} {
			j := longRunningJob(id, 1)
			j.Steps[0].Need = large
			s.submit(j)
			time.Sleep(time.Second)
		}
		s.submit(shortJob("short", modeler.Step{Count: 1, Need: modeler.Resources{CPU: 3500, Memory: 100}}))
		time.Sleep(500 * time.Millisecond)
		require.Equal(t, 1, s.taskFleet.RunCountOnWorker(s.instances.WorkerOf("a")))
		require.Equal(t, 1, s.taskFleet.RunCountOnWorker(s.instances.WorkerOf("c")))
		s.requestWave(1, "a")
		time.Sleep(8 * time.Second)
		require.Equal(t, "completed", s.waveStatus())
		require.Equal(t, 1, s.taskFleet.RunCountOfJob("moves"))
		e.stopGracefully()
	})
}

func TestDelayedWriteOfWaveProgressDoesNotUndoItsCompletion(t *testing.T) {
	runScenario(t, 2, func(s *deployment) {
		s.keepInstancesInPool()
		e := s.startEntry("one")
		time.Sleep(2 * time.Second)
		s.delayNextWriteOf("fleet/wave/1", 10*time.Second)
		s.requestWave(1, "a")
		time.Sleep(8 * time.Second)
		require.Equal(t, "completed", s.waveStatus())
		time.Sleep(4 * time.Second)
		require.Equal(t, "completed", s.waveStatus())
		e.stopGracefully()
	})
}

func TestDelayedWriteOfInstanceOrdersDoesNotHideALaterOrder(t *testing.T) {
	runScenario(t, 4, func(s *deployment) {
		s.keepInstancesInPool()
		var mu sync.Mutex
		ordered := make(map[string]bool)
		s.instances.OrderDelay = func(holder, instance string) time.Duration {
			mu.Lock()
			defer mu.Unlock()
			ordered[instance] = true
			if holder == "one" && len(ordered) > 1 {
				return 6 * time.Second
			}
			return 0
		}
		first := s.startEntry("one")
		time.Sleep(2 * time.Second)
		s.delayNextWriteOf("fleet/plans", 5*time.Second)
		s.requestWave(1, "a", "b", "c", "d")
		time.Sleep(6 * time.Second)
		mu.Lock()
		n := len(ordered)
		mu.Unlock()
		require.Equal(t, 2, n)
		first.crash()
		second := s.startEntry("two")
		s.waitForLeader("two")
		for i := range 16 {
			s.submit(shortJob(fmt.Sprintf("j%d", i), modeler.Step{Count: 6, Need: modeler.Resources{CPU: 1000}, Estimate: time.Second}))
			time.Sleep(500 * time.Millisecond)
		}
		time.Sleep(20 * time.Second)
		require.Equal(t, "completed", s.waveStatus())
		for i := range 16 {
			for n := range 6 {
				require.Equal(t, 1, s.taskFleet.StartedRuns(taskID(fmt.Sprintf("j%d", i), 0, n)))
			}
		}
		second.stopGracefully()
	})
}

// The size of a pool must not depend on whether it has an instance: the last one may have
// moved to another pool or left. See docs/incidents/2026-12-05-empty-pool-stays-empty.md.
func TestPoolWithoutInstancesGetsSomeForItsTasks(t *testing.T) {
	runScenario(t, 0, func(s *deployment) {
		for _, name := range []string{"x", "y"} {
			s.instances.Add(modeler.Instance{Name: name, Pool: "spare", Zone: "z", Labels: []string{"k", "r2"}, Capacity: modeler.Resources{CPU: 4000, Memory: 8000}}, false)
		}
		e := s.startEntry("one")
		time.Sleep(5 * time.Second)
		for _, name := range []string{"x", "y"} {
			require.Equal(t, "spare", s.instances.PoolOf(name), "an empty pool without demand stays empty")
		}
		s.submit(shortJob("j1"))
		time.Sleep(8 * time.Second)
		require.Equal(t, modeler.Completed, s.jobState("j1"))
		e.stopGracefully()
	})
}

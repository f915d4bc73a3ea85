package orchestrator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/coltsfootlever/coltsfootlever/emulator"
	"github.com/coltsfootlever/coltsfootlever/modeler"
)

var (
	fullRoom = modeler.Resources{CPU: 4000, Memory: 8000}
	lessRoom = modeler.Resources{CPU: 1000, Memory: 8000}
)

// setCapacity changes the capacity of the workers on the named instances.
func (d *deployment) setCapacity(capacity modeler.Resources, instances ...string) {
	for _, name := range instances {
		d.taskFleet.SetCapacity(d.instances.WorkerOf(name), capacity)
	}
}

func TestCapacityThatShrinksAndGrowsIsUsedAsItIs(t *testing.T) {
	runScenario(t, 2, func(s *deployment) {
		s.keepInstancesInPool()
		e := s.startEntry("one")
		time.Sleep(time.Second)
		for n := range 3 {
			s.setCapacity(lessRoom, "a", "b")
			jobs := s.submitSteadily(fmt.Sprintf("small-%d", n), 8*time.Second, time.Second, 3)
			s.setCapacity(fullRoom, "a", "b")
			time.Sleep(time.Second)
			large := fmt.Sprintf("large-%d", n)
			s.submit(shortJob(large, modeler.Step{Count: 2, Need: modeler.Resources{CPU: 4000, Memory: 100}, Estimate: time.Second}))
			time.Sleep(6 * time.Second)
			s.requireState(modeler.Completed, append(jobs, large)...)
		}
		e.stopGracefully()
	})
}

// A worker process that starts again under its ID may have less room than the one
// before, and its first response to a poll comes before its registration is read.
func TestRestartedWorkerIsUsedWithItsOwnCapacity(t *testing.T) {
	runScenario(t, 1, func(s *deployment) {
		s.keepInstancesInPool()
		s.taskFleet.CapacityGrace = 0
		s.taskFleet.RunOutcome = neverEnds
		e := s.startEntry("one")
		time.Sleep(time.Second)
		for n := range 10 { // at each moment between two reads of the list of workers
			s.taskFleet.RestartWithCapacity(s.instances.WorkerOf("a"), lessRoom, 100*time.Millisecond)
			for _, id := range s.submitSteadily(fmt.Sprintf("j%d", n), 400*time.Millisecond, 50*time.Millisecond, 1) {
				s.cancel(id)
			}
			s.taskFleet.RestartWithCapacity(s.instances.WorkerOf("a"), fullRoom, 100*time.Millisecond)
			time.Sleep(2100 * time.Millisecond)
		}
		e.stopGracefully()
	})
}

// The leader must not rely on a list of workers that has become too old, because
// the store serves the workers and the operator but not the leader.
func TestNoStartRelyingOnCapacityThatIsTooOld(t *testing.T) {
	runScenario(t, 2, func(s *deployment) {
		s.keepInstancesInPool()
		s.taskFleet.CapacityGrace = 3 * time.Second
		e := s.startEntry("one")
		time.Sleep(1900 * time.Millisecond)
		s.submit(shortJob("backlog", modeler.Step{Count: 48, Need: modeler.Resources{CPU: 1000, Memory: 100}, Estimate: time.Second}))
		time.Sleep(300 * time.Millisecond)
		e.losesWorkerLists.Store(true)
		s.store.InjectFaults(func(f *emulator.MetaStoreFaults) { f.DisconnectedClients["one"] = true })
		s.setCapacity(lessRoom, "a", "b")
		time.Sleep(6 * time.Second)
		e.stopGracefully()
	})
}

// Starts that wait in the queue of a worker's calls are withdrawn when the worker's
// capacity shrinks.
func TestStartsInTheQueueAreWithdrawnWhenTheCapacityShrinks(t *testing.T) {
	runScenario(t, 1, func(s *deployment) {
		s.keepInstancesInPool()
		s.taskFleet.CapacityGrace = 700 * time.Millisecond // a read of the list and a start
		e := s.startEntry("one")
		time.Sleep(time.Second)
		e.startDelay.Store(int64(600 * time.Millisecond))
		s.submit(shortJob("j1", modeler.Step{Count: 4, Need: modeler.Resources{CPU: 1000, Memory: 100}, Estimate: time.Second}))
		time.Sleep(50 * time.Millisecond)
		s.setCapacity(lessRoom, "a")
		time.Sleep(10 * time.Second)
		s.requireState(modeler.Completed, "j1")
		e.stopGracefully()
	})
}

package orchestrator_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/emulator"
	"github.com/coltsfootlever/coltsfootlever/modeler"
)

func (s *site) wave(atOnce int, names ...string) {
	s.ask(modeler.Wave{Number: 1, Instances: names, Duration: 30 * time.Second, MaxConcurrent: atOnce})
}

func (s *site) status() string {
	r, err := s.store.For("operator").Get(s.t.Context(), "status")
	require.NoError(s.t, err)
	return string(r.Value)
}

func TestWaveKeepsLastingTasksAtWork(t *testing.T) {
	run(t, 4, func(s *site) {
		s.fleet.Work = func(modeler.TaskID, int) (time.Duration, modeler.EndKind) { return -1, modeler.EndDone }
		e := s.start("one")
		s.submit(lastingJob("j1", 4))
		time.Sleep(2 * time.Second)
		s.wave(2, "a", "b", "c", "d")
		for range 280 {
			time.Sleep(100 * time.Millisecond)
			require.GreaterOrEqual(t, s.fleet.Running("j1"), 3)
		}
		for _, name := range []string{"a", "b", "c", "d"} {
			require.Equal(t, 1, s.instances.Maintained(name))
		}
		require.Equal(t, "completed", s.status())
		e.stop()
	})
}

// A task on a worker that has stopped answering does not count as at work, so
// that no other task of its step is ended. See
// docs/operating/incidents/evacuation-beside-a-crash.md.
func TestEvacuationCountsSilentTasksAsAbsent(t *testing.T) {
	run(t, 4, func(s *site) {
		s.fleet.Work = func(modeler.TaskID, int) (time.Duration, modeler.EndKind) { return -1, modeler.EndDone }
		e := s.start("one")
		s.manifest.Pools = s.manifest.Pools[:1] // without a spare pool no instance moves
		s.manifest.Index()
		j := lastingJob("j1", 3)
		j.Steps[0].MaxPerWorker = 1
		s.submit(j)
		time.Sleep(4 * time.Second)
		busy := s.busy("a", "b", "c", "d")
		require.Len(t, busy, 3)
		s.fleet.Silence(s.instances.Worker(busy[0]), true)
		time.Sleep(2 * time.Second)
		s.wave(1, busy[1])
		time.Sleep(2 * time.Second)
		require.Equal(t, 1, s.fleet.On(s.instances.Worker(busy[1])))
		e.stop()
	})
}

// A successor takes part in the orders of its predecessor: it counts them and
// repeats them.
func TestSuccessorFinishesOrdersForInstances(t *testing.T) {
	run(t, 4, func(s *site) {
		late := true
		s.instances.Late = func(holder, _ string) time.Duration {
			if late && holder == "one" {
				return 4 * time.Second
			}
			return 0
		}
		first := s.start("one")
		time.Sleep(2 * time.Second)
		s.wave(1, "a", "b")
		time.Sleep(500 * time.Millisecond)
		first.kill()
		second := s.start("two")
		down := 0
		for range 200 {
			time.Sleep(100 * time.Millisecond)
			down = max(down, s.instances.InUpkeep())
		}
		require.Equal(t, 1, down)
		require.Equal(t, 1, s.instances.Maintained("a"))
		require.Equal(t, 1, s.instances.Maintained("b"))
		require.Equal(t, "completed", s.status())
		second.stop()
	})
}

// A leader that does not know that another entry leads must not move instances.
// See docs/operating/incidents/deposed-leader-moves-instances.md.
func TestDeposedLeaderOrdersNothing(t *testing.T) {
	run(t, 3, func(s *site) {
		first := s.start("one")
		time.Sleep(2 * time.Second)
		s.store.Do(func(f *emulator.StoreFaults) { f.Cut["one"] = true })
		second := s.start("two")
		time.Sleep(1800 * time.Millisecond) // the lease is over, the workers have not told yet
		before := s.instances.Orders("one")
		s.wave(1, "a", "b", "c")
		time.Sleep(10 * time.Second)
		require.Equal(t, before, s.instances.Orders("one"))
		require.Equal(t, "completed", s.status())
		first.stop()
		second.stop()
	})
}

func TestPoolFollowsItsDemand(t *testing.T) {
	run(t, 2, func(s *site) {
		for _, name := range []string{"x", "y", "z"} {
			s.instances.Add(modeler.Instance{Name: name, Pool: "spare", Zone: "z", Labels: []string{"k", "r2"}, Capacity: modeler.Resources{CPU: 4000, Memory: 8000}}, false)
		}
		e := s.start("one")
		time.Sleep(2 * time.Second)
		for i := range 6 {
			s.submit(shortJob("j" + string(rune('a'+i))))
		}
		time.Sleep(3 * time.Second)
		inPool := 0
		for _, name := range []string{"x", "y", "z"} {
			if s.instances.Pool(name) == "p" {
				inPool++
			}
		}
		require.Equal(t, 3, inPool)
		time.Sleep(12 * time.Second)
		left := 0
		for _, name := range []string{"a", "b", "x", "y", "z"} {
			if s.instances.Pool(name) == "p" {
				left++
			}
		}
		require.Equal(t, 1, left)
		e.stop()
	})
}

// The list of instances may still name an earlier worker. Tasks of the present
// one must not be ended by an order that takes the instance for empty.
func TestStaleListOfInstancesEndsNoTask(t *testing.T) {
	run(t, 2, func(s *site) {
		s.fleet.Work = func(modeler.TaskID, int) (time.Duration, modeler.EndKind) { return -1, modeler.EndDone }
		s.manifest.Pools = s.manifest.Pools[:1]
		s.manifest.Index()
		s.instances.Stale("a", "w-earlier")
		s.instances.Stale("b", "w-older")
		e := s.start("one")
		s.submit(lastingJob("j1", 8))
		time.Sleep(3 * time.Second)
		require.Equal(t, 8, s.fleet.Running("j1"))
		s.wave(1, "a")
		time.Sleep(5 * time.Second)
		require.Zero(t, s.instances.Maintained("a"), "its tasks have no other place")
		require.Equal(t, 8, s.fleet.Running("j1"))
		e.stop()
	})
}

// A task that the predecessor has told to stop is still listed for a moment. The
// successor must not take it for one at work.
func TestSuccessorKnowsOfStopsUnderWay(t *testing.T) {
	run(t, 5, func(s *site) {
		s.fleet.Work = func(modeler.TaskID, int) (time.Duration, modeler.EndKind) { return -1, modeler.EndDone }
		s.fleet.StopTime = 600 * time.Millisecond
		s.manifest.Pools = s.manifest.Pools[:1]
		s.manifest.Index()
		first := s.start("one")
		j := lastingJob("j1", 4)
		j.Steps[0].MaxPerWorker = 1
		s.submit(j)
		time.Sleep(4 * time.Second)
		busy := s.busy("a", "b", "c", "d", "e")
		s.wave(1, busy[0])
		for s.fleet.Stopping() == 0 {
			time.Sleep(5 * time.Millisecond)
		}
		first.stop()
		s.ask(modeler.Wave{Number: 2, Instances: busy[1:2], Duration: 30 * time.Second, MaxConcurrent: 1})
		second := s.start("two")
		for range 400 {
			time.Sleep(5 * time.Millisecond)
			require.LessOrEqual(t, s.fleet.Stopping(), 1)
		}
		second.stop()
	})
}

// A task that has to move takes the first room that there is, and not only that
// of the worker that was to have some soonest. See
// docs/operating/incidents/waiting-for-one-worker.md.
func TestTaskMovesToWhereverRoomComes(t *testing.T) {
	run(t, 3, func(s *site) {
		s.fleet.Work = func(id modeler.TaskID, _ int) (time.Duration, modeler.EndKind) {
			if id.Job == "short" {
				return 3 * time.Second, modeler.EndDone
			}
			return -1, modeler.EndDone
		}
		e := s.start("one")
		time.Sleep(time.Second)
		large := modeler.Resources{CPU: 3000, Memory: 100}
		for _, id := range []string{"moves", "stays"} {
			j := lastingJob(id, 1)
			j.Steps[0].Need = large
			s.submit(j)
			time.Sleep(time.Second)
		}
		s.submit(shortJob("short", modeler.Step{Count: 1, Need: modeler.Resources{CPU: 3500, Memory: 100}}))
		time.Sleep(500 * time.Millisecond)
		require.Equal(t, 1, s.fleet.On(s.instances.Worker("a")))
		require.Equal(t, 1, s.fleet.On(s.instances.Worker("c")))
		s.wave(1, "a")
		time.Sleep(8 * time.Second)
		require.Equal(t, "completed", s.status())
		require.Equal(t, 1, s.fleet.Running("moves"))
		e.stop()
	})
}

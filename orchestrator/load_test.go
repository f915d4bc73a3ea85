package orchestrator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/emulator"
	"github.com/coltsfootlever/coltsfootlever/modeler"
)

// At the peak load of the smaller sites, the write rate must stay under half of
// the 400 writes a second that the platform permits there.
func TestStoreWriteRateStaysUnderHalfTheLimit(t *testing.T) {
	const granted, jobsPerSecond, seconds = 400, 20, 20
	runScenario(t, 26, func(s *deployment) {
		s.manifest.Pools = s.manifest.Pools[:1]
		s.manifest.Index()
		s.taskFleet.RunOutcome = func(id modeler.TaskID, _ int) (time.Duration, modeler.EndKind) {
			return time.Duration(500+100*id.Index) * time.Millisecond, modeler.EndDone
		}
		e := s.startEntry("one")
		time.Sleep(2 * time.Second)
		before := s.store.Commits()
		for i := range jobsPerSecond * seconds {
			need := modeler.Resources{CPU: 300}
			s.submit(shortJob(fmt.Sprint("j", i), modeler.Step{Count: 6, Need: need}, modeler.Step{Count: 4, Need: need, After: []int{0}}))
			time.Sleep(time.Second / jobsPerSecond)
		}
		writes := s.store.Commits() - before
		t.Logf("%d jobs of 10 tasks a second: %.1f writes a second, %.2f a job", jobsPerSecond, float64(writes)/seconds, float64(writes)/jobsPerSecond/seconds)
		require.Less(t, writes/seconds, granted/2)
		time.Sleep(10 * time.Second)
		require.Equal(t, modeler.Completed, s.jobState("j0"))
		e.stopGracefully()
	})
}

// After a store outage, the outcomes of ended jobs must be stored before the
// progress of all other jobs, at the write rate that the store permits.
func TestEndedJobsAreStoredFirstAfterAnOutage(t *testing.T) {
	const ended, others = 300, 300
	runScenario(t, 26, func(s *deployment) {
		s.storeWritesPerSecond = 1200
		s.manifest.Pools = s.manifest.Pools[:1]
		s.manifest.Index()
		s.taskFleet.RunOutcome = func(id modeler.TaskID, _ int) (time.Duration, modeler.EndKind) {
			if id.Job[0] == 'e' {
				return 1500 * time.Millisecond, modeler.EndDone
			}
			return time.Duration(1000+200*id.Index) * time.Millisecond, modeler.EndDone
		}
		e := s.startEntry("one")
		time.Sleep(time.Second)
		need := modeler.Resources{CPU: 10}
		for i := range ended {
			s.submit(shortJob(fmt.Sprint("e", i), modeler.Step{Count: 1, Need: need}))
		}
		for i := range others {
			s.submit(shortJob(fmt.Sprint("o", i), modeler.Step{Count: 20, Need: need}))
		}
		time.Sleep(time.Second)
		s.store.InjectFaults(func(f *emulator.MetaStoreFaults) { f.Down = true })
		time.Sleep(time.Second) // less than the leader's lease time
		s.store.InjectFaults(func(f *emulator.MetaStoreFaults) { f.Down, f.Delay = false, 50*time.Millisecond })
		time.Sleep(600 * time.Millisecond)
		s.store.InjectFaults(func(f *emulator.MetaStoreFaults) { f.Delay = 0 })
		late := 0
		for i := range ended {
			if s.jobState(fmt.Sprint("e", i)) != modeler.Completed {
				late++
			}
		}
		require.Zero(t, late, "ended jobs whose outcome is not stored")
		e.stopGracefully()
	})
}

// A job that changes while it is being stored must be stored again later. The
// leader must not busy-loop until then. See
// docs/operating/incidents/spinning-leader.md.
func TestLeaderDoesNotBusyLoopOnASlowStore(t *testing.T) {
	runScenario(t, 2, func(s *deployment) {
		s.taskFleet.RunOutcome = func(id modeler.TaskID, _ int) (time.Duration, modeler.EndKind) {
			return time.Duration(1000+50*id.Index) * time.Millisecond, modeler.EndDone
		}
		e := s.startEntry("one")
		time.Sleep(time.Second)
		s.store.InjectFaults(func(f *emulator.MetaStoreFaults) { f.Delay = 200 * time.Millisecond })
		s.submit(shortJob("j1", modeler.Step{Count: 6, Need: modeler.Resources{CPU: 1000}}))
		time.Sleep(3 * time.Second)
		require.Equal(t, modeler.Completed, s.jobState("j1"))
		e.stopGracefully()
	})
}

package orchestrator_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/orchestrator"
)

// Jobs whose starts are refused must stay pending, also for the next leader. See
// docs/incidents/2026-12-05-refused-starts-not-pending.md.
func TestJobsWhoseStartsAreRefusedArePending(t *testing.T) {
	jobs := []string{"j1", "j2", "j3"}
	for name, changeLeader := range map[string]bool{"same leader": false, "new leader": true} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, 2, func(s *deployment) {
				s.keepInstancesInPool()
				e := s.startEntry("one")
				time.Sleep(time.Second)
				e.refusesStarts.Store(true)
				for _, id := range jobs {
					s.submit(shortJob(id))
				}
				time.Sleep(time.Second)
				if changeLeader {
					e.crash()
					e = s.startEntry("two")
					e.refusesStarts.Store(true)
					s.waitForLeader("two")
					time.Sleep(time.Second)
				}
				const samples = 60
				queued := 0
				for range samples {
					time.Sleep(100 * time.Millisecond)
					require.Equal(t, len(jobs), s.load().Pending["short"])
					if s.jobState("j1") == modeler.Queued {
						queued++
					}
				}
				require.Greater(t, queued, samples/2, "a job is shown as running only while the response to a start is awaited")
				e.refusesStarts.Store(false)
				time.Sleep(10 * time.Second)
				require.Zero(t, s.load().Pending["short"])
				for _, id := range jobs {
					require.Equal(t, modeler.Completed, s.jobState(id))
				}
				e.stopGracefully()
			})
		})
	}
}

func TestJobThatHasRunIsNotPendingWhileItWaitsAgain(t *testing.T) {
	runScenario(t, 2, func(s *deployment) {
		s.keepInstancesInPool()
		s.taskFleet.RunOutcome = func(modeler.TaskID, int) (time.Duration, modeler.EndKind) {
			return 500 * time.Millisecond, modeler.EndFailed
		}
		s.manifest.Queues[0].MaxFailedRuns = 100
		e := s.startEntry("one")
		time.Sleep(time.Second)
		s.submit(shortJob("j1"))
		time.Sleep(1500 * time.Millisecond)
		e.refusesStarts.Store(true)
		time.Sleep(3 * time.Second)
		require.Zero(t, s.load().Pending["short"])
		require.Equal(t, modeler.Running, s.jobState("j1"))
		e.crash()
		e = s.startEntry("two")
		e.refusesStarts.Store(true)
		s.waitForLeader("two")
		time.Sleep(2 * time.Second)
		require.Zero(t, s.load().Pending["short"])
		e.stopGracefully()
	})
}

// A new leader must not count a job as pending whose runs go on, nor one as begun of
// which an earlier version has stored no more than a placement.
func TestNewLeaderCountsPendingJobsByTheirRuns(t *testing.T) {
	runScenario(t, 2, func(s *deployment) {
		s.keepInstancesInPool()
		s.taskFleet.RunOutcome = neverEnds
		first := s.startEntry("one")
		time.Sleep(time.Second)
		s.submit(longRunningJob("runs", 2))
		time.Sleep(2 * time.Second)
		first.crash()
		j := longRunningJob("refused", 1)
		j.Steps[0].Label = "no such label"
		s.submit(j)
		s.storeProgress("refused", orchestrator.Progress{State: modeler.Running, Begun: true, Steps: []orchestrator.StepProgress{{Tasks: []orchestrator.TaskProgress{{Run: 2}}}}})
		second := s.startEntry("two")
		s.waitForLeader("two")
		time.Sleep(3 * time.Second)
		require.Equal(t, 1, s.load().Pending["lasting"])
		require.Equal(t, modeler.Running, s.jobState("runs"))
		second.stopGracefully()
	})
}

// The records of withdrawn jobs must not pile up.
func TestWithdrawnJobIsForgottenLikeAnEndedOne(t *testing.T) {
	runScenario(t, 1, func(s *deployment) {
		s.keepInstancesInPool()
		e := s.startEntry("one")
		time.Sleep(time.Second)
		key := orchestrator.JobKey("j1")
		_, _, err := s.store.ClientFor("caller").Commit(t.Context(), keeper.Txn{Put: []keeper.Put{{Key: key, Value: orchestrator.EncodeWithdrawal("c")}}})
		require.NoError(t, err)
		for _, after := range []struct {
			wait  time.Duration
			known bool
		}{{30 * time.Second, true}, {15 * time.Second, false}} {
			time.Sleep(after.wait)
			r, err := s.store.ClientFor("caller").Get(t.Context(), key)
			require.NoError(t, err)
			require.Equal(t, after.known, r.Revision != 0)
		}
		e.stopGracefully()
	})
}

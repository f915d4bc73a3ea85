package orchestrator_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/orchestrator"
)

// cancel requests the cancellation of a job as an entry node does for a caller.
func (d *deployment) cancel(id string) {
	_, _, err := d.store.ClientFor("caller").Commit(d.t.Context(), keeper.Txn{Put: []keeper.Put{{Key: orchestrator.CancelKey(id), Value: []byte("{}")}}})
	require.NoError(d.t, err)
}

func TestStopThatCouldNotBeSentIsRepeated(t *testing.T) {
	runScenario(t, 1, func(s *deployment) {
		s.taskFleet.RunOutcome = func(modeler.TaskID, int) (time.Duration, modeler.EndKind) { return -1, modeler.EndDone }
		e := s.startEntry("one")
		s.submit(longRunningJob("j1", 3))
		time.Sleep(2 * time.Second)
		e.unsentStops.Store(3)
		s.cancel("j1")
		time.Sleep(3 * time.Second)
		require.Zero(t, s.taskFleet.RunCountOfJob("j1"))
		e.stopGracefully()
	})
}

func TestStopsThatAWorkerRefusesDelayNoStart(t *testing.T) {
	runScenario(t, 1, func(s *deployment) {
		s.taskFleet.RunOutcome = func(modeler.TaskID, int) (time.Duration, modeler.EndKind) { return -1, modeler.EndDone }
		e := s.startEntry("one")
		s.submit(longRunningJob("j1", 2))
		time.Sleep(2 * time.Second)
		e.refusesStops.Store(true)
		s.cancel("j1")
		time.Sleep(time.Second)
		s.submit(longRunningJob("j2", 2))
		time.Sleep(3 * time.Second)
		require.Equal(t, 2, s.taskFleet.RunCountOfJob("j2"))
		e.refusesStops.Store(false)
		time.Sleep(2 * time.Second)
		require.Zero(t, s.taskFleet.RunCountOfJob("j1"))
		e.stopGracefully()
	})
}

func TestTasksWhoseStartsExceedTheCallQueueRun(t *testing.T) {
	runScenario(t, 1, func(s *deployment) {
		s.taskFleet.RunOutcome = func(modeler.TaskID, int) (time.Duration, modeler.EndKind) { return -1, modeler.EndDone }
		e := s.startEntry("one")
		time.Sleep(time.Second)
		j := longRunningJob("j1", 1000)
		j.Steps[0].Need = modeler.Resources{CPU: 1}
		s.submit(j)
		time.Sleep(9 * time.Second)
		require.Equal(t, 1000, s.taskFleet.RunCountOfJob("j1"))
		e.stopGracefully()
	})
}

func TestUnknownStartIsResolvedAfterTheWorkerReturnsAtAnotherAddress(t *testing.T) {
	runScenario(t, 1, func(s *deployment) {
		s.taskFleet.RunOutcome = func(modeler.TaskID, int) (time.Duration, modeler.EndKind) { return -1, modeler.EndDone }
		e := s.startEntry("one")
		time.Sleep(time.Second)
		id := s.instances.WorkerOf("a")
		s.taskFleet.SetUnresponsive(id, true)
		s.submit(longRunningJob("j1", 1))
		time.Sleep(50 * time.Millisecond) // the start is sent before a poll shows that the worker does not respond
		s.taskFleet.Remove(id)
		s.taskFleet.Add(modeler.Worker{ID: id, Pool: "p", Address: "127.0.0.1:2", Instance: "a", Labels: []string{"k", "r1"}, Capacity: modeler.Resources{CPU: 4000, Memory: 8000}})
		time.Sleep(5 * time.Second)
		require.Equal(t, 1, s.taskFleet.RunCountOfJob("j1"))
		e.stopGracefully()
	})
}

// Guards against a poll for each start without a response while its worker is silent: a slow
// worker would be kept busy with them.
func TestSilentWorkerIsPolledOnceForAllItsStarts(t *testing.T) {
	runScenario(t, 1, func(s *deployment) {
		s.taskFleet.RunOutcome = func(modeler.TaskID, int) (time.Duration, modeler.EndKind) { return longTask, modeler.EndDone }
		e := s.startEntry("one")
		time.Sleep(2 * time.Second)
		s.taskFleet.SetUnresponsive(s.instances.WorkerOf("a"), true)
		s.submit(shortJob("j1", modeler.Step{Count: 20, Need: modeler.Resources{CPU: 100}}))
		time.Sleep(time.Second)
		before := e.polls.Load()
		time.Sleep(4 * time.Second)
		require.LessOrEqual(t, e.polls.Load()-before, int64(6), "a poll takes 300 ms, the pause after it up to a second")
		s.taskFleet.SetUnresponsive(s.instances.WorkerOf("a"), false)
		time.Sleep(9 * time.Second) // until no start can be carried out late any more
		require.Equal(t, 20, s.taskFleet.RunCountOfJob("j1"))
		e.stopGracefully()
	})
}

// advisor permits each worker of which it is asked to run any step.
type advisor struct{}

// Advise implements orchestrator.Advisor.
func (advisor) Advise(_ context.Context, _ string, workers []string) (map[string]string, time.Duration, error) {
	tickets := make(map[string]string)
	for _, id := range workers {
		tickets[id] = "ticket"
	}
	return tickets, time.Minute, nil
}

func TestStepAsksForTicketsAgainAfterOneWasRefused(t *testing.T) {
	runScenario(t, 1, func(s *deployment) {
		s.taskFleet.RunOutcome = func(modeler.TaskID, int) (time.Duration, modeler.EndKind) { return -1, modeler.EndDone }
		s.manifest.Queues[1].Advice = &modeler.Advice{TicketValidity: time.Minute}
		e := s.startEntry("one")
		time.Sleep(time.Second)
		e.refusedTickets.Store(1)
		s.submit(longRunningJob("j1", 1))
		time.Sleep(3 * time.Second)
		require.Equal(t, 1, s.taskFleet.RunCountOfJob("j1"))
		e.stopGracefully()
	})
}

func TestStepAsksForTicketsOfWorkersThatJoinLater(t *testing.T) {
	runScenario(t, 1, func(s *deployment) {
		s.taskFleet.RunOutcome = func(modeler.TaskID, int) (time.Duration, modeler.EndKind) { return -1, modeler.EndDone }
		s.manifest.Queues[1].Advice = &modeler.Advice{TicketValidity: time.Minute}
		e := s.startEntry("one")
		time.Sleep(time.Second)
		s.submit(longRunningJob("j1", 6))
		time.Sleep(time.Second)
		s.instances.Add(modeler.Instance{Name: "late", Pool: "p", Zone: "z", Labels: []string{"k", "r1"}, Capacity: modeler.Resources{CPU: 4000, Memory: 8000}}, true)
		time.Sleep(3 * time.Second)
		require.Equal(t, 6, s.taskFleet.RunCountOfJob("j1"))
		e.stopGracefully()
	})
}

func TestAcceptedJobRunsAfterItsQueueIsRemoved(t *testing.T) {
	runScenario(t, 2, func(s *deployment) {
		s.taskFleet.RunOutcome = func(modeler.TaskID, int) (time.Duration, modeler.EndKind) { return -1, modeler.EndDone }
		s.submit(longRunningJob("j1", 2))
		s.manifest.Queues = s.manifest.Queues[:1]
		s.manifest.Index()
		e := s.startEntry("one")
		time.Sleep(3 * time.Second)
		require.Equal(t, 2, s.taskFleet.RunCountOfJob("j1"))
		e.stopGracefully()
	})
}

func TestTaskReturnsIfItsWorkerRestartsAfterAnEndSeenOnlyByTheResolutionOfItsStart(t *testing.T) {
	runScenario(t, 1, func(s *deployment) {
		s.taskFleet.RunOutcome = func(_ modeler.TaskID, number int) (time.Duration, modeler.EndKind) {
			if number == 1 {
				return 10 * time.Millisecond, modeler.EndFailed
			}
			return -1, modeler.EndDone
		}
		s.taskFleet.StartDelay = func(_ modeler.TaskID, number int) time.Duration {
			if number == 1 {
				return 10 * time.Millisecond
			}
			return 0
		}
		e := s.startEntry("one")
		time.Sleep(3 * time.Second)
		e.losesRenewals.Store(true)
		e.pollDelay.Store(int64(30 * time.Millisecond))
		s.submit(longRunningJob("j1", 1))
		time.Sleep(80 * time.Millisecond)
		s.taskFleet.RestartUnderSameID(s.instances.WorkerOf("a"))
		e.losesRenewals.Store(false)
		time.Sleep(15 * time.Second)
		require.Equal(t, 1, s.taskFleet.RunCountOfJob("j1"))
		e.stopGracefully()
	})
}

func TestUnknownStartIsNotStoppedWhileItsWorkerCannotBePolled(t *testing.T) {
	runScenario(t, 1, func(s *deployment) {
		s.taskFleet.RunOutcome = func(modeler.TaskID, int) (time.Duration, modeler.EndKind) { return -1, modeler.EndDone }
		s.taskFleet.StartDelay = func(_ modeler.TaskID, number int) time.Duration {
			if number == 1 {
				return 50 * time.Millisecond
			}
			return 0
		}
		e := s.startEntry("one")
		time.Sleep(3 * time.Second)
		worker := s.instances.WorkerOf("a")
		s.submit(longRunningJob("j1", 1))
		e.unreachableWorkers.Store(worker, true)
		time.Sleep(time.Second)
		e.unreachableWorkers.Delete(worker)
		time.Sleep(3 * time.Second)
		require.Equal(t, 1, s.taskFleet.RunCountOfJob("j1"))
		require.Equal(t, 1, s.taskFleet.StartedRuns(taskID("j1", 0, 0)))
		e.stopGracefully()
	})
}

func TestStartThatArrivesAfterARestartOfTheStoppedWorkerDoesNotRunTheTaskTwice(t *testing.T) {
	runScenario(t, 1, func(s *deployment) {
		s.taskFleet.RunOutcome = func(modeler.TaskID, int) (time.Duration, modeler.EndKind) { return -1, modeler.EndDone }
		s.taskFleet.LateStarts = true
		s.taskFleet.StartDelay = func(_ modeler.TaskID, number int) time.Duration {
			if number == 1 {
				return 3 * time.Second
			}
			return 0
		}
		e := s.startEntry("one")
		time.Sleep(3 * time.Second)
		worker := s.instances.WorkerOf("a")
		e.pollDelay.Store(int64(600 * time.Millisecond))
		s.submit(longRunningJob("j1", 1))
		time.Sleep(100 * time.Millisecond)
		s.taskFleet.SetDraining(worker)
		s.instances.Add(modeler.Instance{Name: "late", Pool: "p", Zone: "z", Labels: []string{"k", "r1"}, Capacity: modeler.Resources{CPU: 4000, Memory: 8000}}, true)
		time.Sleep(800 * time.Millisecond) // the first poll and the stop have been answered, the second poll has not
		s.taskFleet.RestartUnderSameID(worker)
		time.Sleep(4 * time.Second)
		require.Equal(t, 1, s.taskFleet.RunCountOfJob("j1"))
		require.Equal(t, 1, s.taskFleet.RunCountOnWorker(s.instances.WorkerOf("late")))
		e.stopGracefully()
	})
}

// The load: steady short jobs on two workers, and a job whose starts every worker
// rejects as malformed.
func TestTaskThatAllWorkersRejectTakesNoWorkerFromTheOthers(t *testing.T) {
	runScenario(t, 2, func(s *deployment) {
		s.keepInstancesInPool()
		s.rejectedJob = "malformed"
		e := s.startEntry("one")
		time.Sleep(time.Second)
		s.submit(shortJob("malformed", modeler.Step{Count: 2, Need: modeler.Resources{CPU: 100}}))
		jobs := s.submitSteadily("j", 10*time.Second, 500*time.Millisecond, 4)
		time.Sleep(1500 * time.Millisecond)
		s.requireState(modeler.Completed, jobs...)
		require.LessOrEqual(s.t, e.rejectedStarts.Load(), int64(12))
		e.stopGracefully()
	})
}

// A worker whose response was lost must get new tasks as soon as it responds
// again. In a network that loses many responses, a worker that is excluded for
// a second after each loss would hardly get any tasks.
func TestWorkerGetsTasksAgainAfterALostResponse(t *testing.T) {
	runScenario(t, 1, func(s *deployment) {
		s.taskFleet.StartDelay = func(id modeler.TaskID, _ int) time.Duration {
			if id.Job == "j1" {
				return 3 * time.Second
			}
			return 0
		}
		e := s.startEntry("one")
		time.Sleep(3 * time.Second)
		s.submit(shortJob("j1", modeler.Step{Count: 1, Need: modeler.Resources{CPU: 1000}}))
		time.Sleep(100 * time.Millisecond)
		s.submit(shortJob("j2", modeler.Step{Count: 1, Need: modeler.Resources{CPU: 1000}}))
		time.Sleep(400 * time.Millisecond)
		require.Zero(t, s.taskFleet.RunCountOfJob("j1"))
		require.Equal(t, 1, s.taskFleet.RunCountOfJob("j2"))
		e.stopGracefully()
	})
}

package orchestrator_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/orchestrator"
)

func TestRunsThatWereNotStoredCountTowardTheirCustomersLimit(t *testing.T) {
	const limit = 5000
	none := func(*deployment) {}
	for name, tt := range map[string]struct {
		beforeRun, duringRun func(s *deployment)
		usesIdleCPU          bool
	}{
		"on a listed worker":    {none, none, false},
		"on otherwise idle CPU": {none, none, true},
		"on an unlisted worker": {none, func(s *deployment) {
			s.taskFleet.SetRegistered(s.instances.WorkerOf("x"), false)
		}, false},
		"in the room of another customer's task whose end was not stored": {func(s *deployment) {
			j := shortJob("other", modeler.Step{Count: 1, Need: modeler.Resources{CPU: 3000}, Label: "x"})
			j.Customer = "d"
			s.submit(j)
			time.Sleep(500 * time.Millisecond)
		}, none, false},
	} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, 2, func(s *deployment) {
				s.keepInstances()
				s.manifest.Customers[0].Limit = modeler.Resources{CPU: limit}
				s.instances.Add(modeler.Instance{Name: "x", Pool: "p", Zone: "z", Labels: []string{"x"}, Capacity: modeler.Resources{CPU: 4000, Memory: 8000}}, true)
				s.taskFleet.RunOutcome = func(id modeler.TaskID, _ int) (time.Duration, modeler.EndKind) {
					if id.Job == "other" {
						return time.Second, modeler.EndDone
					}
					return time.Minute, modeler.EndDone
				}
				first := s.startEntry("one")
				time.Sleep(time.Second)
				tt.beforeRun(s)
				s.loseWritesOf(orchestrator.ProgressKey("j1"), orchestrator.ProgressKey("other"), orchestrator.JobKey("other"))
				s.submit(shortJob("j1", modeler.Step{Count: 1, Need: modeler.Resources{CPU: 3000}, Label: "x", UsesIdleCPU: tt.usesIdleCPU}))
				time.Sleep(time.Second)
				require.Equal(t, 1, s.taskFleet.RunCountOfJob("j1"))
				tt.duringRun(s)
				s.taskFleet.SetUnresponsive(s.instances.WorkerOf("x"), true)
				first.crash()
				s.loseNoWrites()
				second := s.startEntry("two")
				s.waitForLeader("two")
				time.Sleep(300 * time.Millisecond)
				s.submit(shortJob("j2"))
				time.Sleep(300 * time.Millisecond)
				require.Equal(t, 2, s.taskFleet.RunCountOfJob("j2"))
				for range 1500 {
					time.Sleep(10 * time.Millisecond)
					require.LessOrEqual(t, 3000*s.taskFleet.RunCountOfJob("j1")+1000*s.taskFleet.RunCountOfJob("j2"), limit)
				}
				require.Equal(t, 4, s.taskFleet.RunCountOfJob("j2"), "the worker can't run anything unknown any more")
				second.stopGracefully()
			})
		})
	}
}

func TestUnstoredRunOfACancelledJobCountsTowardTheLimit(t *testing.T) {
	const limit = 5000
	for name, reports := range map[string]bool{"worker stays unresponsive": false, "worker reports the run": true} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, 2, func(s *deployment) {
				s.keepInstances()
				s.manifest.Customers[0].Limit = modeler.Resources{CPU: limit}
				s.instances.Add(modeler.Instance{Name: "x", Pool: "p", Zone: "z", Labels: []string{"x"}, Capacity: modeler.Resources{CPU: 4000, Memory: 8000}}, true)
				s.taskFleet.StopTime = 5 * time.Second
				s.taskFleet.RunOutcome = func(modeler.TaskID, int) (time.Duration, modeler.EndKind) { return time.Minute, modeler.EndDone }
				first := s.startEntry("one")
				time.Sleep(time.Second)
				s.loseWritesOf(orchestrator.ProgressKey("j1"))
				s.submit(shortJob("j1", modeler.Step{Count: 1, Need: modeler.Resources{CPU: 3000}, Label: "x"}))
				time.Sleep(time.Second)
				require.Equal(t, 1, s.taskFleet.RunCountOfJob("j1"))
				x := s.instances.WorkerOf("x")
				s.taskFleet.SetUnresponsive(x, true)
				first.crash()
				s.loseNoWrites()
				second := s.startEntry("two")
				s.waitForLeader("two")
				time.Sleep(300 * time.Millisecond)
				s.cancel("j1")
				time.Sleep(300 * time.Millisecond)
				require.Equal(t, modeler.Cancelled, s.jobState("j1"))
				s.submit(shortJob("j2"))
				time.Sleep(300 * time.Millisecond)
				s.taskFleet.SetUnresponsive(x, !reports)
				for range 1500 {
					time.Sleep(10 * time.Millisecond)
					require.LessOrEqual(t, 3000*s.taskFleet.RunCountOfJob("j1")+1000*s.taskFleet.RunCountOfJob("j2"), limit)
					require.GreaterOrEqual(t, s.taskFleet.RunCountOfJob("j2"), 2)
				}
				require.Zero(t, s.taskFleet.RunCountOfJob("j1"))
				require.Equal(t, 4, s.taskFleet.RunCountOfJob("j2"), "the cancelled run does not count any more")
				second.stopGracefully()
			})
		})
	}
}

func TestNewJobsOfOthersStartAtOnceBesideRunsThatMayNotBeStored(t *testing.T) {
	runScenario(t, 3, func(s *deployment) {
		s.keepInstances()
		s.manifest.Customers = []modeler.Customer{
			{Name: "room to spare beside all that the worker can run", Weight: 1, Limit: modeler.Resources{CPU: 8000}},
			{Name: "no limit", Weight: 1},
		}
		s.manifest.Index()
		s.taskFleet.RunOutcome = func(modeler.TaskID, int) (time.Duration, modeler.EndKind) { return time.Minute, modeler.EndDone }
		submit := func(prefix string, step modeler.Step) {
			for _, c := range s.manifest.Customers {
				j := shortJob(prefix+c.Name, step)
				j.Customer = c.Name
				s.submit(j)
			}
		}
		first := s.startEntry("one")
		time.Sleep(time.Second)
		submit("inherited: ", modeler.Step{Count: 20, Need: modeler.Resources{CPU: 1000}, Label: "on no worker"})
		time.Sleep(500 * time.Millisecond)
		first.crash()
		second := s.startEntry("two")
		second.unreachableWorkers.Store(s.instances.WorkerOf("a"), true)
		s.waitForLeader("two")
		time.Sleep(300 * time.Millisecond)
		submit("new: ", modeler.Step{Count: 4, Need: modeler.Resources{CPU: 1000}})
		time.Sleep(150 * time.Millisecond)
		for _, c := range s.manifest.Customers {
			require.Equal(t, 4, s.taskFleet.RunCountOfJob("new: "+c.Name), c.Name)
		}
		second.stopGracefully()
	})
}

func TestPlacedTaskDoesNotStartWhenAnAdoptedRunUsesUpTheLimit(t *testing.T) {
	const limit = 5000
	for name, tt := range map[string]struct{ gang, orphaned bool }{
		"single tasks":       {false, false},
		"gang":               {true, false},
		"run that must stop": {false, true},
	} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, 2, func(s *deployment) {
				s.keepInstances()
				s.manifest.Customers[0].Limit = modeler.Resources{CPU: limit}
				s.taskFleet.StopTime = time.Minute
				s.taskFleet.RunOutcome = func(modeler.TaskID, int) (time.Duration, modeler.EndKind) { return time.Minute, modeler.EndDone }
				first := s.startEntry("one")
				time.Sleep(time.Second)
				s.taskFleet.Add(modeler.Worker{ID: "w-x", Pool: "p", Address: "127.0.0.1:1", Instance: "x", Labels: []string{"x"}, Capacity: modeler.Resources{CPU: 4000, Memory: 8000}}) // the list of instances doesn't show it yet
				time.Sleep(time.Second)
				s.loseWritesOf(orchestrator.ProgressKey("j1"))
				s.submit(shortJob("j1", modeler.Step{Count: 1, Need: modeler.Resources{CPU: 3000}, Label: "x"}))
				time.Sleep(500 * time.Millisecond)
				require.Equal(t, 1, s.taskFleet.RunCountOfJob("j1"))
				s.taskFleet.SetRegistered("w-x", false)
				first.crash()
				if tt.orphaned {
					s.loseNoWrites()
					s.storeProgress("j1", orchestrator.Progress{State: modeler.Running, Begun: true, Steps: []orchestrator.StepProgress{{Tasks: []orchestrator.TaskProgress{{Run: 1}}}}})
				}
				s.loseWritesOf("fleet/term", orchestrator.ProgressKey("j2")) // so that the start waits longer than the worker list
				second := s.startEntry("two")
				s.waitForLeader("two")
				time.Sleep(300 * time.Millisecond)
				s.submit(shortJob("j2", modeler.Step{Count: 4, Need: modeler.Resources{CPU: 1000}, Gang: tt.gang}))
				time.Sleep(50 * time.Millisecond)
				s.taskFleet.SetRegistered("w-x", true)
				time.Sleep(time.Second)
				require.Zero(t, s.taskFleet.RunCountOfJob("j2"))
				s.loseNoWrites()
				for range 500 {
					time.Sleep(10 * time.Millisecond)
					require.LessOrEqual(t, 3000*s.taskFleet.RunCountOfJob("j1")+1000*s.taskFleet.RunCountOfJob("j2"), limit)
				}
				require.Equal(t, tt.gang, s.taskFleet.RunCountOfJob("j2") == 0)
				second.stopGracefully()
			})
		})
	}
}

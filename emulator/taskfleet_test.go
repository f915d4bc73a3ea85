package emulator_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/emulator"
	"github.com/coltsfootlever/coltsfootlever/modeler"
)

// startOnWorker starts a run of task "j" on a worker under a long lease.
func startOnWorker(t *testing.T, f *emulator.TaskFleet, worker string, run int) {
	_, err := f.Start(t.Context(), modeler.Worker{ID: worker}, modeler.StartOrder{
		Task: modeler.TaskID{Job: "j"}, Run: run, DeadlineMs: 1 << 40, FencingToken: 1,
	})
	require.NoError(t, err)
}

func newTestFleet() *emulator.TaskFleet {
	f := emulator.NewTaskFleet(func(modeler.TaskID, int) (time.Duration, modeler.EndKind) { return time.Second, modeler.EndDone })
	f.Add(modeler.Worker{ID: "a"})
	f.Add(modeler.Worker{ID: "b"})
	return f
}

func TestTaskFleetReportsConcurrentRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet()
		startOnWorker(t, f, "a", 1)
		require.Empty(t, f.Violations())
		startOnWorker(t, f, "b", 2)
		require.Len(t, f.Violations(), 1)
	})
}

func TestTaskFleetReportsRunAfterDone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet()
		startOnWorker(t, f, "a", 1)
		time.Sleep(2 * time.Second)
		startOnWorker(t, f, "b", 2)
		time.Sleep(2 * time.Second)
		require.Len(t, f.Violations(), 1)
	})
}

// The reports that were not acknowledged are lost when their worker is removed, so
// a task whose end was reported but not acknowledged may run again. A run after an acknowledged end
// is a violation.
func TestTaskFleetAllowsRerunAfterUnacknowledgedEnd(t *testing.T) {
	for name, acknowledged := range map[string]bool{"unacknowledged": false, "acknowledged": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet()
				startOnWorker(t, f, "a", 1)
				time.Sleep(2 * time.Second)
				if acknowledged {
					_, err := f.RenewAndPoll(t.Context(), modeler.Worker{ID: "a"}, 0, 1, 1, 0)
					require.NoError(t, err)
				}
				f.Remove("a")
				startOnWorker(t, f, "b", 2)
				time.Sleep(2 * time.Second)
				require.Equal(t, acknowledged, len(f.Violations()) > 0)
			})
		})
	}
}

func TestTaskFleetReportsStartsOfATaskThatCrashedThreeWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet()
		f.CrashAfter = func(modeler.TaskID, int) (time.Duration, bool) { return time.Millisecond, true }
		for run := 1; run <= 5; run++ {
			f.Add(modeler.Worker{ID: "a"})
			startOnWorker(t, f, "a", run)
			time.Sleep(10 * time.Millisecond)
		}
		require.Equal(t, 5, f.CrashCount(modeler.TaskID{Job: "j"}))
		require.Empty(t, f.Violations())
		startOnWorker(t, f, "b", 6)
		require.Len(t, f.Violations(), 1)
	})
}

func TestTaskFleetReportsStartsBeyondTheCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet()
		f.Need = func(modeler.TaskID) modeler.Resources { return modeler.Resources{CPU: 2} }
		f.CapacityGrace = time.Second
		f.SetCapacity("a", modeler.Resources{CPU: 2})
		f.SetCapacity("a", modeler.Resources{CPU: 1})
		startOnWorker(t, f, "a", 1)
		require.Empty(t, f.Violations())
		time.Sleep(1100 * time.Millisecond)
		startOnWorker(t, f, "a", 2)
		require.Len(t, f.Violations(), 1)
	})
}

// An end that is not acknowledged before the worker's lease has lapsed doesn't keep its
// task from running again.
func TestTaskFleetAllowsRerunAfterTheLeaseHasLapsed(t *testing.T) {
	for name, lease := range map[string]time.Duration{"lapsed": 3 * time.Second, "not lapsed": time.Minute} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet()
				f.MaxLease = lease
				startOnWorker(t, f, "a", 1)
				time.Sleep(5 * time.Second)
				f.MaxLease = time.Minute
				startOnWorker(t, f, "b", 2)
				time.Sleep(2 * time.Second)
				if lapsed := name == "lapsed"; lapsed {
					require.Empty(t, f.Violations())
				} else {
					require.Len(t, f.Violations(), 1)
				}
			})
		})
	}
}

// A deadline on the clock of a former process is far ahead of that of the present one.
func TestTaskFleetShortensLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet()
		f.RunOutcome = func(modeler.TaskID, int) (time.Duration, modeler.EndKind) { return time.Hour, modeler.EndDone }
		f.MaxLease = 10 * time.Second
		startOnWorker(t, f, "a", 1)
		time.Sleep(9 * time.Second)
		require.Equal(t, 1, f.RunCountOnWorker("a"))
		time.Sleep(2 * time.Second)
		require.Zero(t, f.RunCountOnWorker("a"))
	})
}

// An end that lapsed before it was acknowledged doesn't count for a start that was sent
// before, even if it is carried out afterwards.
func TestTaskFleetReportsOnlyStartsSentAfterALapsedEndWasAcknowledged(t *testing.T) {
	for name, c := range map[string]struct {
		lease       time.Duration
		startBefore bool
		violations  int
	}{
		"lapsed, sent before":     {3 * time.Second, true, 0},
		"lapsed, sent after":      {3 * time.Second, false, 1},
		"not lapsed, sent before": {time.Minute, true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet()
				f.MaxLease = c.lease
				f.RunOutcome = func(_ modeler.TaskID, run int) (time.Duration, modeler.EndKind) {
					return time.Duration(run) * time.Second, modeler.EndDone
				}
				startOnWorker(t, f, "a", 1)
				time.Sleep(5 * time.Second)
				f.MaxLease = time.Minute
				sendLate := func() {
					f.SetStartDelay(func(modeler.TaskID, int) time.Duration { return time.Second })
					_, err := f.Start(t.Context(), modeler.Worker{ID: "b"}, modeler.StartOrder{Task: modeler.TaskID{Job: "j"}, Run: 90, DeadlineMs: 1 << 40, FencingToken: 1})
					require.Error(t, err)
				}
				if c.startBefore {
					sendLate()
				}
				_, err := f.RenewAndPoll(t.Context(), modeler.Worker{ID: "a"}, 0, 1, 1, 0)
				require.NoError(t, err)
				if !c.startBefore {
					sendLate()
				}
				time.Sleep(2 * time.Second)
				require.Len(t, f.Violations(), c.violations)
			})
		})
	}
}

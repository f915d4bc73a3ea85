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

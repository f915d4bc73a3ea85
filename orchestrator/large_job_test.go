package orchestrator

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/modeler"
)

// Guards against a pass that places all tasks of a large job, while those of others wait.
func TestPassLeavesTurnsToOtherJobs(t *testing.T) {
	for _, kind := range []string{"long-running", "ordinary", "repeating"} {
		t.Run(kind, func(t *testing.T) {
			f := newSinglePoolFleet(12)
			large := f.submitJob(largeJobs(5000)[kind])
			other := f.submitJob(modeler.Job{Queue: "qp0", Steps: []modeler.Step{{Count: 2, Need: modeler.Resources{CPU: 1000, Memory: 1}, Estimate: time.Second}}})
			require.LessOrEqual(t, f.pass(), maxTasksPerTurn+2)
			require.Equal(t, 2, other.activeTasks)
			f.passesUntilPlaced(5000)
			require.Equal(t, 5000, large.activeTasks)
		})
	}
}

// Guards against a pass whose cost grows with the tasks of one job, or with these and the workers.
func TestCostOfAPassDoesNotGrowWithAJob(t *testing.T) {
	for _, kind := range []string{"long-running", "ordinary", "repeating"} {
		for _, workers := range []int{12, 40} {
			t.Run(fmt.Sprintf("%s, %d workers", kind, workers), func(t *testing.T) {
				mean := func(tasks int) time.Duration {
					f := newSinglePoolFleet(workers)
					f.submitJob(largeJobs(tasks)[kind])
					_, _, total := f.passesUntilPlaced(tasks)
					return total / time.Duration(tasks/maxTasksToStart)
				}
				require.Eventually(t, func() bool { return mean(5000) <= 6*mean(500) }, 20*time.Second, time.Millisecond, "in a pass of a job of 5,000 tasks, by one of 500")
			})
		}
	}
}

// Guards against a gang without room that each pass places and takes back.
func TestLargeGangWithoutRoomIsNotTried(t *testing.T) {
	f := newSinglePoolFleet(12)
	gang := largeJobs(5000)["gang"]
	gang.Steps[0].Need.CPU = 200 // 1,000 cores, of which there are 576
	j := f.submitJob(gang)
	f.pass()
	require.Zero(t, j.activeTasks)
	require.Empty(t, j.occurrences[0].steps[0].tasksOn)
	require.False(t, f.poolState("p0").view.mayHaveRoomForGang(j.occurrences[0].steps[0]))
}

// Guards against waiting tasks that no pass looks at, since those before them can't be placed.
func TestPassGoesOnWhereTheLastOneStopped(t *testing.T) {
	f := newSinglePoolFleet(12)
	j := f.submitJob(largeJobs(1000)["long-running"])
	for i := range 900 {
		j.occurrences[0].steps[0].taskAt(i).retryAt = f.now.Add(time.Hour)
	}
	for range 20 {
		f.now = f.now.Add(placementInterval)
		f.pass()
	}
	require.Equal(t, 100, j.activeTasks)
}

// Guards against steps that never become candidates, since many before them can't be placed.
func TestEachStepOfALargeJobGetsATurn(t *testing.T) {
	f := newSinglePoolFleet(12)
	def := modeler.Job{Queue: "qp0"}
	for i := range 1000 {
		s := modeler.Step{Count: 1, Need: modeler.Resources{CPU: 10, Memory: 1}, Estimate: time.Second}
		if i < 900 {
			s.Label = "none"
		}
		def.Steps = append(def.Steps, s)
	}
	j := f.submitJob(def)
	for range 20 {
		f.now = f.now.Add(placementInterval)
		f.pass()
	}
	require.Equal(t, 100, j.activeTasks)
}

// Guards against starts of one job that fill the queues of calls to the workers.
func TestStartsOfALargeJobLeaveRoomForOthers(t *testing.T) {
	f := newSinglePoolFleet(12)
	j := f.submitJob(largeJobs(5000)["long-running"])
	for range 20 {
		f.now = f.now.Add(placementInterval)
		f.runPlacement(f.now)
	}
	require.Len(t, f.awaitingStart, maxTasksToStart)
	require.Equal(t, maxTasksToStart, j.tasksToStart)
}

// Guards against a pause after an expensive pass in which no other job is placed.
func TestPauseAfterAPassIsLimited(t *testing.T) {
	p := placementPacer{cost: 500 * time.Millisecond}
	require.Equal(t, maxPlacementPause, p.next(processorShareOfEntry).Sub(time.Time{}))
}

// The state of a job is read without the rest of its record, whatever its form.
func TestStateIsReadFromAnyProgressRecord(t *testing.T) {
	f := newSinglePoolFleet(12)
	j := f.submitJob(largeJobs(500)["long-running"])
	f.passesUntilPlaced(500)
	p := j.progress()
	for name, value := range map[string][]byte{
		"plain": encodeProgress(p, false, 1<<20), "compressed": encodeProgress(p, true, 1<<20),
		"condensed":   encodeProgress(Progress{State: modeler.Running, Finished: [][2]int{{0, 1}}}, true, 1<<20),
		"other order": []byte(`{"steps":[{"done":[1,2]}],"state":"running"}`),
	} {
		state, err := decodeProgressState(value)
		require.NoError(t, err, name)
		require.Equal(t, modeler.Running, state, name)
	}
	for _, value := range []string{"", "x", "[]", `{"steps":[`, `{}`, "\x01"} {
		_, err := decodeProgressState([]byte(value))
		require.Error(t, err, "%q", value)
	}
}

// Guards against a view of a worker that misses placements after a reservation has been released in the same pass.
func TestWorkerIsNotOverfilledAfterAReservationIsReleased(t *testing.T) {
	f := newSinglePoolFleet(1)
	w := f.randomWorker()
	cpu := w.Capacity.CPU
	moved := f.submitJob(modeler.Job{Queue: "lastingp0", Steps: []modeler.Step{{Count: 1, LongRunning: true, Need: modeler.Resources{CPU: cpu / 2}}}})
	w.reserveFor(moved.occurrences[0].steps[0].taskAt(0))
	f.submitJob(modeler.Job{Queue: "lastingp0", Steps: []modeler.Step{{Count: 4, LongRunning: true, Need: modeler.Resources{CPU: cpu / 2}}}})
	f.submitJob(modeler.Job{Queue: "qp0", Steps: []modeler.Step{{Count: 4, Need: modeler.Resources{CPU: cpu / 2}, Estimate: time.Second}}})
	f.pass()
	require.Equal(t, cpu, w.used.CPU)
}

package orchestrator

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/modeler"
)

// Guards against records that outgrow a value of the store: the job has as many tasks as
// callers may ask for at once, and all have failed, crashed their workers and run again.
func TestLargestProgressFitsIntoAValue(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	p := Progress{State: modeler.Running, Begun: true, Started: true}
	for n := range maxBuiltTasks {
		p.Finished = append(p.Finished, [2]int{20 * n, 20*n + 1})
		tp := TaskProgress{
			Index: n, Run: 9, Worker: fmt.Sprintf("i-%08x", random.Uint32()), Instance: fmt.Sprintf("m-%08x", random.Uint32()), Born: 1_796_500_000_000 + random.Int64N(1e8),
			Placed: 1_796_500_000_000 + random.Int64N(1e8), Checkpoint: fmt.Sprintf("%016x", random.Uint64()),
			Crashes: random.IntN(3), Unconfirmed: random.IntN(3), SoleSuspect: random.IntN(3), Unknown: 1, LateCrashes: random.IntN(3), LateWorkMs: random.Int64N(1e6), ProbationMs: random.Int64N(1e4),
		}
		for run := range 5 {
			tp.Failed, tp.FailedOn = append(tp.Failed, run+1), append(tp.FailedOn, fmt.Sprintf("i-%08x", random.Uint32()))
		}
		p.Steps = append(p.Steps, StepProgress{Occurrence: n, Tasks: []TaskProgress{tp}})
	}
	value := encodeProgress(p, false, keeper.MaxValueBytes)
	require.LessOrEqual(t, len(value), keeper.MaxValueBytes)
	decoded, err := DecodeProgress(value)
	require.NoError(t, err)
	require.Equal(t, p, decoded)
}

func TestRecordWithoutRoomOmitsCheckpoints(t *testing.T) {
	p := Progress{State: modeler.Running, Steps: []StepProgress{{Tasks: []TaskProgress{{Run: 1, Worker: "i-1", Checkpoint: fmt.Sprintf("%0200d", 1)}}}}}
	decoded, err := DecodeProgress(encodeProgress(p, false, 200))
	require.NoError(t, err)
	require.Equal(t, p.withoutCheckpoints(), decoded)
	require.NotEmpty(t, p.Steps[0].Tasks[0].Checkpoint)
}

// A leader whose predecessor's clock was ahead finds runs of occurrences that are not due
// yet, and ends of runs of finished ones.
func TestTasksOfAnyOccurrenceAreFound(t *testing.T) {
	due := time.Now().Add(time.Hour)
	j := newJob(modeler.Job{ID: "j1", Steps: []modeler.Step{{Count: 2}}, Repeat: 1000, FirstDue: due, Interval: time.Second}, nil)
	require.Empty(t, j.occurrences)
	j.buildDueOccurrences(due.Add(1500 * time.Millisecond))
	require.Len(t, j.occurrences, 2)
	ahead := j.findTask(modeler.TaskID{Job: "j1", Occurrence: 5, Index: 1})
	require.Same(t, ahead, j.occurrences[2].steps[0].tasks[1])
	for _, number := range []int{1, 5} {
		for _, s := range j.buildOccurrence(number).steps {
			s.taskAt(0).markDone()
			s.taskAt(1).markDone()
		}
	}
	j.removeFinishedOccurrences()
	require.Len(t, j.occurrences, 1)
	require.Equal(t, numberSet{{1, 2}, {5, 6}}, j.finished)
	require.Equal(t, done, j.findTask(modeler.TaskID{Job: "j1", Occurrence: 5, Index: 1}).phase)
	for range 1000/maxTasksPerTurn + 1 {
		before := len(j.occurrences)
		j.buildDueOccurrences(due.Add(time.Hour))
		require.LessOrEqual(t, len(j.occurrences)-before, maxTasksPerTurn)
	}
	require.Len(t, j.occurrences, 1000-2)
	for _, id := range []modeler.TaskID{{Occurrence: 1000}, {Occurrence: -1}, {Step: 1}, {Index: 2}} {
		require.Nil(t, j.findTask(id), id.String())
	}
}

func TestNumberSetContainsWhatWasAdded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 40
		var s numberSet
		added := make(map[int]bool)
		for _, n := range rapid.SliceOf(rapid.IntRange(0, limit-1)).Draw(t, "numbers") {
			s.add(n)
			added[n] = true
			require.True(t, s.isValid(limit), "%v", s)
		}
		for n := range limit {
			require.Equal(t, added[n], s.contains(n), "%d in %v", n, s)
			first := n
			for added[first] {
				first++
			}
			require.Equal(t, first, s.firstMissing(n), "from %d in %v", n, s)
		}
	})
}

func TestInvalidNumberSets(t *testing.T) {
	for _, s := range []numberSet{{{-1, 2}}, {{2, 2}}, {{0, 11}}, {{0, 2}, {2, 3}}, {{4, 5}, {1, 2}}} {
		require.False(t, s.isValid(10), "%v", s)
	}
}

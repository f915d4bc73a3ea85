package scheduler_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/scheduler"
)

func TestRetriesAreAFractionOfSuccesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := scheduler.NewRetryBudgets(scheduler.DefaultRetryRatio, 10)
		take := func() int {
			n := 0
			for r.TakeRetry("cards") {
				n++
			}
			return n
		}
		require.Equal(t, 10, take())
		for range 205 {
			r.RecordSuccess("cards")
		}
		require.Equal(t, 20, take())
		require.Equal(t, 10, r.RetriesLeft("passes"), "each queue has its own budget")
		time.Sleep(time.Hour)
		require.Equal(t, 10, take(), "time refills the budget only up to the floor")
		for range 10_000 {
			r.RecordSuccess("cards")
		}
		require.Equal(t, 100, take())
	})
}

func TestFailedTaskTrackerGivesUpTaskThatFailedOnSeveralWorkers(t *testing.T) {
	p := scheduler.NewFailedTaskTracker(3, 8)
	require.False(t, p.RecordFailure("bad", "w1"))
	require.False(t, p.RecordFailure("bad", "w1"))
	require.False(t, p.RecordFailure("bad", "w2"))
	require.False(t, p.IsGivenUp("bad"))
	require.True(t, p.RecordFailure("bad", "w3"))
	require.True(t, p.IsGivenUp("bad"))
	for i := range 100 {
		p.RecordFailure(fmt.Sprint(i), "w1")
		p.Forget(fmt.Sprint(i))
	}
	require.True(t, p.IsGivenUp("bad"))
	p.Forget("bad")
	require.False(t, p.IsGivenUp("bad"))
}

func TestCheckFits(t *testing.T) {
	require.NoError(t, scheduler.CheckFits(scheduler.Task{Slots: 8}, 8))
	require.NoError(t, scheduler.CheckFits(scheduler.Task{Slots: 9}, 0))
	err := scheduler.CheckFits(scheduler.Task{Slots: 9}, 8)
	require.Equal(t, classifier.NeverFits, classifier.As(err).Code)
	require.Equal(t, classifier.NotRun, classifier.VerdictOf(err))
}

func BenchmarkCancelManyTasks(b *testing.B) {
	w := scheduler.NewWaitingTasks()
	w.SetQueueBounds(map[string]int{"cards": 1 << 30})
	ids := make([]string, b.N)
	for i := range ids {
		ids[i] = fmt.Sprint(i)
		if err := w.Add(item(ids[i], "zoo", "cards", scheduler.Background, 1)); err != nil {
			b.Fatal(err)
		}
	}
	b.ResetTimer()
	for _, id := range ids {
		w.Cancel(id)
	}
}

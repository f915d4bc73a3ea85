package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/scheduler"
)

var epoch = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

func alwaysAllowed(string, int) bool { return true }

func item(id, team, queue string, class scheduler.Class, slots int) scheduler.Item {
	t := scheduler.Task{ID: id, Team: team, Queue: queue, Pool: "cards", Class: class, Slots: slots}
	t.Deadline = epoch.Add(time.Minute)
	return scheduler.Item{Task: t, Since: epoch}
}

func TestFullQueueRefusesWithNotRun(t *testing.T) {
	w := scheduler.NewWaitingTasks()
	w.SetQueueBounds(map[string]int{"renewals": 2})
	require.NoError(t, w.Add(item("a", "zoo", "renewals", scheduler.Urgent, 1)))
	require.Equal(t, classifier.Repeated, classifier.As(w.Add(item("a", "zoo", "renewals", scheduler.Urgent, 1))).Code)
	require.NoError(t, w.Add(item("b", "zoo", "renewals", scheduler.Urgent, 1)))
	err := w.Add(item("c", "zoo", "renewals", scheduler.Urgent, 1))
	require.Equal(t, classifier.QueueFull, classifier.As(err).Code)
	require.Equal(t, classifier.NotRun, classifier.VerdictOf(err))
	_, ok := w.Cancel("a")
	require.True(t, ok)
	require.NoError(t, w.Add(item("c", "zoo", "renewals", scheduler.Urgent, 1)))
}

func TestStartsFollowWeights(t *testing.T) {
	w := scheduler.NewWaitingTasks()
	w.SetTeamShares(map[string]float64{"big": 3, "small": 1})
	for i := range 400 {
		require.NoError(t, w.Add(item(fmt.Sprint("b", i), "big", "q-big", scheduler.Background, 1)))
		require.NoError(t, w.Add(item(fmt.Sprint("s", i), "small", "q-small", scheduler.Background, 1)))
	}
	starts := map[string]int{}
	for range 400 {
		next, ok := w.Next("cards", 8, alwaysAllowed)
		require.True(t, ok)
		starts[next.Task.Team]++
		w.RecordRunTime(next.Task, time.Second)
	}
	require.InDelta(t, 300, starts["big"], 2)
}

// Two teams of equal weight get the same slot time. So a team whose tasks run
// ten times as long gets a tenth of the starts.
func TestChargesFollowRunTimes(t *testing.T) {
	w := scheduler.NewWaitingTasks()
	for i := range 2000 {
		require.NoError(t, w.Add(item(fmt.Sprint("l", i), "long", "q-long"+fmt.Sprint(i%4), scheduler.Background, 1)))
		require.NoError(t, w.Add(item(fmt.Sprint("s", i), "short", "q-short"+fmt.Sprint(i%4), scheduler.Background, 1)))
	}
	used := map[string]time.Duration{}
	for range 1500 {
		next, _ := w.Next("cards", 8, alwaysAllowed)
		ran := time.Second
		if next.Task.Team == "long" {
			ran = 10 * time.Second
		}
		used[next.Task.Team] += ran
		w.RecordRunTime(next.Task, ran)
	}
	require.InEpsilon(t, used["short"].Seconds(), used["long"].Seconds(), 0.03)
}

func TestBackgroundIsGuaranteedEveryEighthStart(t *testing.T) {
	w := scheduler.NewWaitingTasks()
	for i := range 64 {
		require.NoError(t, w.Add(item(fmt.Sprint("u", i), "zoo", "cards", scheduler.Urgent, 1)))
		require.NoError(t, w.Add(item(fmt.Sprint("b", i), "zoo", "cleanup", scheduler.Background, 1)))
	}
	background := 0
	for i := range 64 {
		next, _ := w.Next("cards", 8, alwaysAllowed)
		if next.Task.Class == scheduler.Background {
			background++
			require.Equal(t, 7, i%8)
		}
	}
	require.Equal(t, 8, background)
}

func TestLargeTaskAtHeadBlocksQueueOnlyAfterMaxBypass(t *testing.T) {
	w := scheduler.NewWaitingTasks()
	require.NoError(t, w.Add(item("large", "zoo", "cards", scheduler.Urgent, 8)))
	for i := range 200 {
		require.NoError(t, w.Add(item(fmt.Sprint("s", i), "zoo", "cards", scheduler.Urgent, 1)))
	}
	started := 0
	for {
		if _, ok := w.Next("cards", 2, alwaysAllowed); !ok {
			break
		}
		started++
	}
	require.Equal(t, 64, started)
	next, ok := w.Next("cards", 8, alwaysAllowed)
	require.True(t, ok)
	require.Equal(t, "large", next.Task.ID)
}

func TestRemoveExpiredReturnsOverdueTasks(t *testing.T) {
	w := scheduler.NewWaitingTasks()
	for i := range 10 {
		it := item(fmt.Sprint("t", i), "zoo", "cards", scheduler.Urgent, 1)
		it.Task.Deadline = epoch.Add(time.Duration(i) * time.Second)
		it.Since = epoch.Add(-time.Duration(i) * time.Second)
		require.NoError(t, w.Add(it))
	}
	oldest, ok := w.OldestWaitingSince("cards")
	require.True(t, ok)
	require.Equal(t, epoch, oldest, "only the heads of the queues count")
	require.Len(t, w.RemoveExpired(epoch.Add(4*time.Second)), 5)
	require.Empty(t, w.RemoveExpired(epoch.Add(4*time.Second)))
	require.Equal(t, 5, w.Len())
}

func countOf(tasks map[string]scheduler.Task) scheduler.Count {
	count := scheduler.Count{Tasks: len(tasks)}
	for _, task := range tasks {
		count.Slots += task.Slots
	}
	return count
}

// In any order of operations, each task leaves the set exactly once, the counts
// are correct, bounds hold, and no task starts on fewer free slots than it
// needs.
func TestEachTaskLeavesExactlyOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := scheduler.NewWaitingTasks()
		const bound = 5
		w.SetQueueBounds(map[string]int{"q0": bound, "q1": bound, "q2": bound})
		waiting := map[string]scheduler.Task{}
		now := epoch
		added := 0
		leave := func(it scheduler.Item) {
			require.Contains(t, waiting, it.Task.ID)
			delete(waiting, it.Task.ID)
		}
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				added++
				class := rapid.SampledFrom([]scheduler.Class{scheduler.Urgent, scheduler.Background}).Draw(t, "class")
				queue := rapid.IntRange(0, 2).Draw(t, "queue")
				it := item(fmt.Sprint(added), fmt.Sprint("t", queue%2), fmt.Sprint("q", queue), class, rapid.IntRange(1, 4).Draw(t, "slots"))
				it.Task.Deadline = now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "wait")) * time.Second)
				full := w.CountByQueue()[it.Task.Queue] >= bound
				require.Equal(t, full, w.Add(it) != nil)
				if !full {
					waiting[it.Task.ID] = it.Task
				}
			},
			"next": func(t *rapid.T) {
				free := rapid.IntRange(0, 4).Draw(t, "free")
				refused := rapid.SampledFrom([]string{"", "t0", "t1"}).Draw(t, "refused")
				next, ok := w.Next("cards", free, func(team string, _ int) bool { return team != refused })
				if ok {
					require.LessOrEqual(t, next.Task.Slots, free)
					require.NotEqual(t, refused, next.Task.Team)
					leave(next)
					w.RecordRunTime(next.Task, time.Duration(rapid.IntRange(0, 9).Draw(t, "ran"))*time.Second)
				}
			},
			"cancel": func(t *rapid.T) {
				id := fmt.Sprint(rapid.IntRange(0, added).Draw(t, "id"))
				_, held := waiting[id]
				_, ok := w.Cancel(id)
				require.Equal(t, held, ok)
				delete(waiting, id)
			},
			"expire": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "seconds")) * time.Second)
				for _, it := range w.RemoveExpired(now) {
					leave(it)
				}
				for _, task := range waiting {
					require.True(t, task.Deadline.After(now))
				}
			},
			"": func(t *rapid.T) {
				require.Equal(t, len(waiting), w.Len())
				require.Equal(t, countOf(waiting), w.CountByPool()["cards"])
			},
		})
	})
}

func BenchmarkNext270Teams(b *testing.B) {
	w := scheduler.NewWaitingTasks()
	shares := map[string]float64{}
	for i := range 270 {
		team := fmt.Sprintf("team-%03d", i)
		shares[team] = float64(1 + i%40)
		for j := range 16 {
			it := item(fmt.Sprint(team, j), team, "queue-"+team, scheduler.Background, 1)
			if err := w.Add(it); err != nil {
				b.Fatal(err)
			}
		}
	}
	w.SetTeamShares(shares)
	b.ReportAllocs()
	for b.Loop() {
		next, _ := w.Next("cards", 8, alwaysAllowed)
		w.RecordRunTime(next.Task, time.Second)
		if err := w.Add(next); err != nil {
			b.Fatal(err)
		}
	}
}

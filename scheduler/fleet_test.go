package scheduler_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/coltsfootlever/coltsfootlever/scheduler"
)

func workers(n int) []scheduler.Worker {
	ws := make([]scheduler.Worker, n)
	for i := range ws {
		ws[i] = scheduler.Worker{ID: fmt.Sprint("w", i), Pool: "cards", Slots: 8}
	}
	return ws
}

// releaseFaulted releases one slot of a task that failed on the worker.
func releaseFaulted(f *scheduler.Fleet, id, task string) {
	f.ReleaseSlots(id, 1, scheduler.Outcome{Task: task, Effect: scheduler.Faulted})
}

func TestDisabledWorkerGetsNoTasksAndIsRemovedWhenIdle(t *testing.T) {
	f := scheduler.NewFleet()
	f.EnableWorker(workers(1)[0])
	w, ok := f.AcquireSlots("cards", 3, nil)
	require.True(t, ok)
	require.Equal(t, 5, f.MaxFreeSlots("cards"))
	f.DisableWorker(w.ID)
	_, ok = f.AcquireSlots("cards", 1, nil)
	require.False(t, ok)
	f.RemoveWorker(w.ID)
	require.Equal(t, 3, f.SlotsInUse(w.ID))
	f.ReleaseSlots(w.ID, 3, scheduler.Outcome{Task: "a", Effect: scheduler.Succeeded})
	_, ok = f.Worker(w.ID)
	require.False(t, ok)
}

func TestFailingWorkerIsQuarantinedAndRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := scheduler.NewFleet()
		for _, w := range workers(4) {
			f.EnableWorker(w)
		}
		others := map[string]bool{"w1": true, "w2": true, "w3": true}
		for i := range scheduler.DefaultFaultLimit {
			w, ok := f.AcquireSlots("cards", 1, others)
			require.True(t, ok)
			releaseFaulted(f, w.ID, fmt.Sprint("task", i))
		}
		_, ok := f.AcquireSlots("cards", 1, others)
		require.False(t, ok)
		require.Equal(t, 1, f.Loads()[0].Quarantined)
		time.Sleep(scheduler.DefaultQuarantine)
		w, ok := f.AcquireSlots("cards", 1, others)
		require.True(t, ok)
		_, ok = f.AcquireSlots("cards", 1, others)
		require.False(t, ok, "one task at a time on probation")
		releaseFaulted(f, w.ID, "trial")
		time.Sleep(scheduler.DefaultQuarantine)
		_, ok = f.AcquireSlots("cards", 1, others)
		require.False(t, ok, "the quarantine time doubles")
		time.Sleep(scheduler.DefaultQuarantine)
		w, ok = f.AcquireSlots("cards", 1, others)
		require.True(t, ok)
		f.ReleaseSlots(w.ID, 1, scheduler.Outcome{Task: "b", Effect: scheduler.Succeeded})
		require.Zero(t, f.Loads()[0].Quarantined)
	})
}

func TestOneFailingTaskQuarantinesNoWorker(t *testing.T) {
	f := scheduler.NewFleet()
	for _, w := range workers(4) {
		f.EnableWorker(w)
	}
	for range 100 {
		w, ok := f.AcquireSlots("cards", 1, nil)
		require.True(t, ok)
		releaseFaulted(f, w.ID, "bad")
	}
	require.Zero(t, f.Loads()[0].Quarantined)
	for i := range 100 {
		w, ok := f.AcquireSlots("cards", 1, nil)
		require.True(t, ok)
		releaseFaulted(f, w.ID, fmt.Sprint("bad", i))
	}
	require.Equal(t, 1, f.Loads()[0].Quarantined, "a queue of failing tasks quarantines at most a quarter of the pool")
}

func TestNoWorkerRunsMoreThanItsSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := scheduler.NewFleet()
		running := map[string]int{}
		open := map[string]bool{}
		drawID := func(t *rapid.T) string { return fmt.Sprint("w", rapid.IntRange(0, 3).Draw(t, "worker")) }
		t.Repeat(map[string]func(*rapid.T){
			"open": func(t *rapid.T) {
				id := drawID(t)
				f.EnableWorker(scheduler.Worker{ID: id, Pool: "cards", Slots: 8})
				open[id] = true
			},
			"close": func(t *rapid.T) {
				id := drawID(t)
				f.DisableWorker(id)
				open[id] = false
			},
			"remove": func(t *rapid.T) {
				id := drawID(t)
				f.RemoveWorker(id)
				open[id] = false
			},
			"pick": func(t *rapid.T) {
				slots := rapid.IntRange(1, 8).Draw(t, "slots")
				fits := f.MaxFreeSlots("cards") >= slots
				w, ok := f.AcquireSlots("cards", slots, nil)
				require.Equal(t, fits, ok)
				if ok {
					require.True(t, open[w.ID])
					running[w.ID] += slots
				}
			},
			"free": func(t *rapid.T) {
				id := drawID(t)
				if running[id] > 0 {
					slots := rapid.IntRange(1, running[id]).Draw(t, "slots")
					f.ReleaseSlots(id, slots, scheduler.Outcome{Task: "t", Effect: scheduler.Succeeded})
					running[id] -= slots
				}
			},
			"": func(t *rapid.T) {
				for id, n := range running {
					require.Equal(t, n, f.SlotsInUse(id))
					require.LessOrEqual(t, n, 8)
				}
			},
		})
	})
}

// A task that needs all slots of a worker starts although small tasks of
// another team could use every slot that becomes free.
func TestLargeTaskIsNotStarvedBySmallOnes(t *testing.T) {
	f, w := scheduler.NewFleet(), scheduler.NewWaitingTasks()
	for _, worker := range workers(3) {
		f.EnableWorker(worker)
	}
	type running struct {
		worker string
		task   scheduler.Task
		until  int
	}
	var all []running
	started := 0
	require.NoError(t, w.Add(item("small-first", "small", "q", scheduler.Urgent, 1)))
	for now := range 1000 {
		for w.CountByTeam("cards")["small"].Tasks < 30 {
			require.NoError(t, w.Add(item(fmt.Sprint("s", now, w.Len()), "small", "q", scheduler.Urgent, 1)))
		}
		if now == 20 {
			require.NoError(t, w.Add(item("large", "big", "large", scheduler.Background, 8)))
		}
		all = slices.DeleteFunc(all, func(r running) bool {
			if r.until == now {
				f.ReleaseSlots(r.worker, r.task.Slots, scheduler.Outcome{Task: r.task.ID, Effect: scheduler.Succeeded})
			}
			return r.until == now
		})
		f.ReserveWorker("cards", w.StarvedSlots("cards"))
		for f.MaxFreeSlots("cards") > 0 {
			next, ok := w.Next("cards", f.MaxFreeSlots("cards"), alwaysAllowed)
			if !ok {
				break
			}
			if next.Task.ID == "large" {
				return
			}
			worker, ok := f.AcquireSlots("cards", next.Task.Slots, nil)
			require.True(t, ok)
			started++
			all = append(all, running{worker.ID, next.Task, now + 5 + started%11})
		}
	}
	t.Fatal("the large task never started")
}

package scheduler

import (
	"slices"
	"strings"
	"time"
)

// Len returns the number of waiting tasks.
func (w *WaitingTasks) Len() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.nodes)
}

// Pools returns the pools for which tasks are waiting, in no particular order.
func (w *WaitingTasks) Pools() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var pools []string
	for pool, pq := range w.pools {
		if len(pq.active) > 0 {
			pools = append(pools, pool)
		}
	}
	return pools
}

// CountByQueue returns the number of waiting tasks by queue, without empty
// queues.
func (w *WaitingTasks) CountByQueue() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	counts := make(map[string]int, len(w.queues))
	for queue, n := range w.queues {
		counts[queue] = n
	}
	return counts
}

// CountByPool returns the number of waiting tasks and their slots by pool.
func (w *WaitingTasks) CountByPool() map[string]Count {
	w.mu.Lock()
	defer w.mu.Unlock()
	counts := make(map[string]Count, len(w.pools))
	for pool, pq := range w.pools {
		for _, tq := range pq.active {
			counts[pool] = counts[pool].add(tq.count)
		}
	}
	return counts
}

// CountByTeam returns the number of tasks that wait for the pool and their
// slots, by team.
func (w *WaitingTasks) CountByTeam(pool string) map[string]Count {
	w.mu.Lock()
	defer w.mu.Unlock()
	counts := make(map[string]Count)
	if pq, ok := w.pools[pool]; ok {
		for _, tq := range pq.active {
			counts[tq.team] = tq.count
		}
	}
	return counts
}

// OldestWaitingSince returns the earliest time since which a task at the head
// of a queue waits for the pool. ok is false when no task waits for the pool.
func (w *WaitingTasks) OldestWaitingSince(pool string) (since time.Time, ok bool) {
	for _, item := range w.QueueHeads(pool) {
		if !ok || item.Since.Before(since) {
			since, ok = item.Since, true
		}
	}
	return since, ok
}

// QueueHeads returns the first task of each queue and class that waits for the
// pool, sorted by team, queue and task. It removes none of them.
func (w *WaitingTasks) QueueHeads(pool string) []Item {
	w.mu.Lock()
	defer w.mu.Unlock()
	pq, ok := w.pools[pool]
	if !ok {
		return nil
	}
	var heads []Item
	for _, tq := range pq.active {
		heads = tq.appendHeads(heads)
	}
	slices.SortFunc(heads, func(a, b Item) int {
		return strings.Compare(a.Task.sortKey(), b.Task.sortKey())
	})
	return heads
}

// sortKey orders tasks by team, queue and ID.
func (t *Task) sortKey() string {
	return t.Team + "\x00" + t.Queue + "\x00" + t.ID
}

func (c Count) add(d Count) Count {
	return Count{Tasks: c.Tasks + d.Tasks, Slots: c.Slots + d.Slots}
}

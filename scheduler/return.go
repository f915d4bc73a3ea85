package scheduler

// Requeue puts a task that Next returned back at the head of its queue. The
// bound of the queue does not apply, because the task was admitted earlier.
// Requeue returns false if a task with the same ID is already waiting.
func (w *WaitingTasks) Requeue(item Item) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := item.Task
	if _, ok := w.nodes[t.ID]; ok {
		return false
	}
	n := &node{item: item, atHead: true}
	n.item.Task.Slots = max(1, t.Slots)
	w.nodes[t.ID] = n
	w.queues[t.Queue]++
	w.deadlines.add(n)
	w.poolQueue(t.Pool).push(n, w.shares)
	return true
}

package router

import (
	"context"
	"sync"
	"time"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/scheduler"
)

const (
	// bodyCopies is how often a body is in memory while a worker runs its task,
	// besides the buffer in which it came: in the order to the worker, in base64.
	bodyCopies = 2
	// taskOverhead is the memory of a task without its body, in bytes: its
	// goroutines, its connection and its records.
	taskOverhead = 16 << 10
)

// inFlightTasks counts the tasks that have begun and not ended, and the memory
// that they take. After close, it refuses new tasks.
type inFlightTasks struct {
	maxBytes int64 // 0 for no limit

	mu     sync.Mutex
	count  int
	bytes  int64
	closed bool
	idle   chan struct{} // closed when the count becomes zero; nil while nothing waits for that
}

// taskBytes returns the memory that a task takes until it ends, in bytes.
func taskBytes(task scheduler.Task) int64 {
	return taskOverhead + int64(cap(task.Body)) + bodyCopies*int64(len(task.Body))
}

// beginTask counts a new task. It refuses the task after close, and with the code
// QueueFull while the tasks in flight take all memory that they may.
func (f *inFlightTasks) beginTask(task scheduler.Task) *classifier.Error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return leavingError()
	}
	n := taskBytes(task)
	if f.maxBytes > 0 && f.bytes+n > f.maxBytes {
		return classifier.Refuse(classifier.QueueFull, "the %d requests under way in this entry take the memory for them: come back later", f.count).WithRetryAfter(time.Second)
	}
	f.count++
	f.bytes += n
	return nil
}

// end removes a task from the count.
func (f *inFlightTasks) end(task scheduler.Task) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count--
	f.bytes -= taskBytes(task)
	if f.count == 0 && f.idle != nil {
		close(f.idle)
		f.idle = nil
	}
}

// close makes beginTask refuse new tasks.
func (f *inFlightTasks) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
}

// wait blocks until no task is in flight or ctx ends.
func (f *inFlightTasks) wait(ctx context.Context) error {
	f.mu.Lock()
	if f.count == 0 {
		f.mu.Unlock()
		return nil
	}
	if f.idle == nil {
		f.idle = make(chan struct{})
	}
	idle := f.idle
	f.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

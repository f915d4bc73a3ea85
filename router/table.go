package router

import (
	"container/list"
	"sync"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/messenger"
	"github.com/coltsfootlever/coltsfootlever/scheduler"
)

// Default limits of the job table.
const (
	maxJobs        = 20_000   // number of jobs kept, both running and ended
	maxAnswerBytes = 16 << 20 // total size of the answers kept for repeated requests
)

type (
	// Job is one task that this member accepted from a caller.
	Job struct {
		Task   scheduler.Task
		done   chan struct{}
		answer messenger.Answer
		err    *classifier.Error
	}

	// jobTable holds the jobs in progress and the most recently ended ones. The
	// number of jobs and the total size of answers are limited. The jobs that
	// ended first are removed first.
	jobTable struct {
		mu       sync.Mutex
		maxJobs  int
		maxBytes int
		bytes    int
		jobs     map[string]*Job
		endedIDs *list.List        // IDs of ended tasks, oldest first
		routes   map[string]string // ID of the peer that runs a forwarded task, by task ID
	}
)

func newJob(task scheduler.Task) *Job {
	return &Job{Task: task, done: make(chan struct{})}
}

// Done returns a channel that is closed when the job has ended.
func (j *Job) Done() <-chan struct{} {
	return j.done
}

// Result returns the answer or the error of an ended job. It must not be called
// before the channel returned by Done is closed.
func (j *Job) Result() (messenger.Answer, *classifier.Error) {
	return j.answer, j.err
}

func newJobTable(jobs, bytes int) *jobTable {
	return &jobTable{
		maxJobs:  jobs,
		maxBytes: bytes,
		jobs:     make(map[string]*Job),
		endedIDs: list.New(),
		routes:   make(map[string]string),
	}
}

func (t *jobTable) add(j *Job) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, taken := t.jobs[j.Task.ID]; taken {
		return classifier.Refuse(classifier.Repeated, "task %q is already here", j.Task.ID)
	}
	t.evictWhile(func() bool { return len(t.jobs) >= t.maxJobs })
	if len(t.jobs) >= t.maxJobs {
		return classifier.Refuse(classifier.QueueFull, "this entry has %d jobs under way: come back later", len(t.jobs))
	}
	t.jobs[j.Task.ID] = j
	return nil
}

// recordEnd stores the result of a job and wakes the goroutines that wait for it.
func (t *jobTable) recordEnd(j *Job, answer messenger.Answer, err *classifier.Error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	j.answer = answer
	j.err = err
	j.Task.Body = nil
	close(j.done)
	t.bytes += len(answer.Output)
	t.endedIDs.PushBack(j.Task.ID)
	t.evictWhile(func() bool { return t.bytes > t.maxBytes })
}

// evictWhile removes ended jobs, oldest first, while tooFull returns true.
func (t *jobTable) evictWhile(tooFull func() bool) {
	for tooFull() {
		if !t.evictOldest() {
			return
		}
	}
}

// evictOldest removes the job that ended first and reports whether there was one.
func (t *jobTable) evictOldest() bool {
	first := t.endedIDs.Front()
	if first == nil {
		return false
	}
	id := t.endedIDs.Remove(first).(string)
	t.bytes -= len(t.jobs[id].answer.Output)
	delete(t.jobs, id)
	return true
}

func (t *jobTable) find(task string) (*Job, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	j, ok := t.jobs[task]
	return j, ok
}

// addRoute records which peer runs a task. Calling release removes the record.
func (t *jobTable) addRoute(task, member string) (release func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.routes[task] = member
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.routes, task)
	}
}

func (t *jobTable) route(task string) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	member, ok := t.routes[task]
	return member, ok
}

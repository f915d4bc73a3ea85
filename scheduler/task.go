package scheduler

import "time"

// Classes of tasks.
const (
	Urgent     Class = "urgent"
	Background Class = "background"
)

type (
	// Task is one request, in the form in which entries forward it to each
	// other.
	Task struct {
		ID         string // unique within the cluster, assigned by the entry that accepted the request
		Team       string
		Queue      string
		Service    string
		Pool       string
		Class      Class
		Name       string // the caller's Idempotency-Key; may be empty if idempotent
		Idempotent bool
		Body       []byte
		Slots      int // slots that the task needs on one worker, at least 1
		Accepted   time.Time
		Deadline   time.Time
		Forwarded  bool // already forwarded once, which is the maximum
	}

	// Class is the priority of a task within its team.
	Class string
)

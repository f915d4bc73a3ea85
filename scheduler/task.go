package scheduler

import "time"

// Classes of work.
const (
	Urgent     Class = "urgent"
	Background Class = "background"
)

type (
	// Task is one request as the entries pass it among themselves.
	Task struct {
		ID         string // unique for the system, made by the accepting entry
		Team       string
		Queue      string
		Service    string
		Pool       string
		Class      Class
		Name       string // the caller's Idempotency-Key; may be empty if idempotent
		Idempotent bool
		Body       []byte
		Slots      int // slots the task takes on one worker, at least 1
		Accepted   time.Time
		Deadline   time.Time
		Forwarded  bool // the one hop is spent
	}

	// Class ranks tasks within a team.
	Class string
)

// Package dispatcher calls the workers' HTTP interface, which the platform
// defines. It starts tasks on workers and renews their leases.
package dispatcher

import "time"

// Outcomes of a task on a worker.
const (
	Done         Outcome = "done"         // ran to its end
	Failed       Outcome = "failed"       // the task itself reported a failure
	Stopped      Outcome = "stopped"      // stopped by an order or because its lease expired
	Checkpointed Outcome = "checkpointed" // stopped with its progress saved
)

type (
	// Start orders a worker to run a task. The worker answers when the task has
	// ended.
	Start struct {
		Task       string        `json:"task"`
		Attempt    int           `json:"attempt"`
		Owner      string        `json:"owner"`
		Team       string        `json:"team"`
		Queue      string        `json:"queue"`
		Service    string        `json:"service"`
		Class      string        `json:"class"`
		Name       string        `json:"name,omitempty"`
		Idempotent bool          `json:"idempotent"`
		Slots      int           `json:"slots"`
		StartBy    time.Time     `json:"start-by"` // time after which the worker refuses to start the task
		Lease      time.Duration `json:"lease-ns"` // time after which the worker stops the task unless the lease is renewed
		Checkpoint []byte        `json:"checkpoint,omitempty"`
		Body       []byte        `json:"body"`
	}

	// Finish is the worker's answer when a task has ended.
	Finish struct {
		Task       string  `json:"task"`
		Attempt    int     `json:"attempt"`
		Outcome    Outcome `json:"outcome"`
		Reason     string  `json:"reason,omitempty"`
		Digest     string  `json:"digest"` // hexadecimal SHA-256 of Output
		Output     []byte  `json:"output"`
		Checkpoint []byte  `json:"checkpoint,omitempty"`
	}

	// Refusal is the worker's answer when it did not start a task.
	Refusal struct {
		Task   string `json:"task"`
		Reason string `json:"reason"` // Late, Full, IsLeaving, NeverFits or Duplicate
	}

	// Renewal extends the leases of tasks on one worker.
	Renewal struct {
		Owner string        `json:"owner"`
		Lease time.Duration `json:"lease-ns"`
		Tasks []string      `json:"tasks"`
	}

	// Usage is a worker's report about itself. It may be out of date.
	Usage struct {
		Slots   int      `json:"slots"`
		Leaving bool     `json:"leaving"`
		Tasks   []string `json:"tasks"`
	}

	// Outcome is how a task ended on a worker.
	Outcome string
)

// Package dispatcher starts tasks on workers through the platform's published
// worker interface and renews their leases.
package dispatcher

import "time"

// Outcomes of a task on a worker.
const (
	Done         Outcome = "done"         // ran to its end
	Failed       Outcome = "failed"       // the task itself reported a failure
	Stopped      Outcome = "stopped"      // stopped by order or because its lease lapsed
	Checkpointed Outcome = "checkpointed" // stopped with its progress saved
)

type (
	// Start orders a worker to run a task. The answer comes when the task ends.
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
		StartBy    time.Time     `json:"start-by"` // the worker refuses a later start
		Lease      time.Duration `json:"lease-ns"` // the worker ends the task when it is not renewed
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

	// Refusal is the worker's word that it did not start a task.
	Refusal struct {
		Task   string `json:"task"`
		Reason string `json:"reason"` // "late", "full", "leaving", "never-fits" or "duplicate"
	}

	// Renewal extends the leases of tasks on one worker.
	Renewal struct {
		Owner string        `json:"owner"`
		Lease time.Duration `json:"lease-ns"`
		Tasks []string      `json:"tasks"`
	}

	// Usage is the worker's report on itself. It lags.
	Usage struct {
		Slots   int      `json:"slots"`
		Leaving bool     `json:"leaving"`
		Tasks   []string `json:"tasks"`
	}

	// Outcome is how a task ended on a worker.
	Outcome string
)

package dispatcher

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/coltsfootlever/coltsfootlever/classifier"
)

// Reasons for which a worker refuses to start a task.
const (
	Late      = "late"       // the order arrived after StartBy
	Full      = "full"       // too few slots are free
	NeverFits = "never-fits" // the task needs more slots than the worker has
	IsLeaving = "leaving"    // the worker is leaving and accepts no new tasks
	Duplicate = "duplicate"  // the worker has started the task before
)

// Digest returns the hexadecimal SHA-256 digest of an output, as used in Finish.
func Digest(output []byte) string {
	sum := sha256.Sum256(output)
	return hex.EncodeToString(sum[:])
}

// Verify checks that f is the complete answer to s. The error is a
// *classifier.Error with the code Crossed or Truncated.
func Verify(s Start, f Finish) error {
	if f.Task != s.Task || f.Attempt != s.Attempt {
		return classifier.Uncertain(classifier.Crossed, "answer of task %q attempt %d came to task %q attempt %d", f.Task, f.Attempt, s.Task, s.Attempt)
	}
	if f.Digest != Digest(f.Output) {
		return classifier.Uncertain(classifier.Truncated, "the %d bytes of output of task %q do not have the announced digest", len(f.Output), s.Task)
	}
	return nil
}

// RefusalError returns the error for a worker's refusal of s. A duplicate has been
// started before, so its verdict is MayHaveRun. For every other reason it is
// NotRun.
func RefusalError(s Start, r Refusal) error {
	if r.Task != s.Task {
		return classifier.Uncertain(classifier.Crossed, "refusal of task %q came to task %q", r.Task, s.Task)
	}
	switch r.Reason {
	case Duplicate:
		return classifier.Uncertain(classifier.WorkerRefused, "the worker has started task %q before", s.Task)
	case IsLeaving:
		return classifier.Refuse(classifier.Leaving, "the worker is leaving")
	case NeverFits:
		return classifier.Refuse(classifier.NeverFits, "task %q takes %d slots, more than the worker has", s.Task, s.Slots)
	}
	return classifier.Refuse(classifier.WorkerRefused, "the worker refused task %q: %s", s.Task, r.Reason)
}

package classifier

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// Code names the reason of a failure in a stable, machine-readable form.
type Code string

// The reasons a request can fail for.
const (
	BadRequest    Code = "bad-request"    // the request is malformed
	Unauthorized  Code = "unauthorized"   // no key, or a key that is not in force
	Forbidden     Code = "forbidden"      // the key belongs to another team
	UnknownQueue  Code = "unknown-queue"  // no rule names the queue
	QueueFull     Code = "queue-full"     // the bounded queue has no room
	NoCapacity    Code = "no-capacity"    // no entry can start the work now
	NeverFits     Code = "never-fits"     // no worker can ever run the work
	Isolated      Code = "isolated"       // the entry may have missed a rule change
	Unready       Code = "unready"        // the entry has no rules yet
	Leaving       Code = "leaving"        // the entry or worker is shutting down
	DeadlineOver  Code = "deadline-over"  // the caller's deadline has passed
	Cancelled     Code = "cancelled"      // the caller cancelled the request
	Repeated      Code = "repeated"       // the name has been used before
	NameMismatch  Code = "name-mismatch"  // the name was used with another body
	HomeAbsent    Code = "home-absent"    // the home of the name cannot be reached
	HeldBack      Code = "held-back"      // the task failed on too many workers
	UnderWay      Code = "under-way"      // the request has not ended yet
	TaskFailed    Code = "task-failed"    // the task ran and reported a failure
	WorkerLost    Code = "worker-lost"    // the worker's answer never came
	WorkerRefused Code = "worker-refused" // the worker said that it did not start
	Truncated     Code = "truncated"      // the answer was shorter than announced
	Crossed       Code = "crossed"        // the answer belongs to another request
	RetriesSpent  Code = "retries-spent"  // the retry budget of the queue is empty
	PeerLost      Code = "peer-lost"      // the peer's answer never came
	Internal      Code = "internal"       // a fault of the system itself
	StoreDown     Code = "store-down"     // the key-value service did not answer
	Conflict      Code = "conflict"       // another writer was faster
	NotFound      Code = "not-found"      // the named object does not exist
	BudgetSpent   Code = "budget-spent"   // the availability budget has no room
)

// Error is a failure with its verdict and its reason.
type Error struct {
	Verdict    Verdict       // whether the request may have run
	Code       Code          // stable reason
	Message    string        // what happened and what to do next
	RetryAfter time.Duration // when to come back; 0 when that will not help
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Code, e.Verdict, e.Message)
}

// Refuse returns an error for a request that has not run.
func Refuse(code Code, format string, args ...any) *Error {
	return &Error{Verdict: NotRun, Code: code, Message: fmt.Sprintf(format, args...)}
}

// Uncertain returns an error for a request that may have run.
func Uncertain(code Code, format string, args ...any) *Error {
	return &Error{Verdict: MayHaveRun, Code: code, Message: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns a copy of e that tells the caller to come back after d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	next := *e
	next.RetryAfter = d
	return &next
}

// VerdictOf returns the verdict of err: Ran for nil, the verdict of the innermost
// *Error, and MayHaveRun for every other error.
func VerdictOf(err error) Verdict {
	if err == nil {
		return Ran
	}
	return As(err).Verdict
}

// As returns err as an *Error. An error without a verdict becomes Internal
// with MayHaveRun. As(nil) returns nil.
func As(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return Uncertain(DeadlineOver, "%v", err)
	}
	return Uncertain(Internal, "%v", err)
}

var httpStatuses = map[Code]int{
	BadRequest:   http.StatusBadRequest,
	Unauthorized: http.StatusUnauthorized,
	Forbidden:    http.StatusForbidden,
	UnknownQueue: http.StatusNotFound,
	NotFound:     http.StatusNotFound,
	NeverFits:    http.StatusUnprocessableEntity,
	NameMismatch: http.StatusUnprocessableEntity,
	TaskFailed:   http.StatusUnprocessableEntity,
	HeldBack:     http.StatusUnprocessableEntity,
	Repeated:     http.StatusConflict,
	Conflict:     http.StatusConflict,
	BudgetSpent:  http.StatusConflict,
	QueueFull:    http.StatusTooManyRequests,
	DeadlineOver: http.StatusGatewayTimeout,
	Cancelled:    http.StatusConflict,
	WorkerLost:   http.StatusBadGateway,
	Truncated:    http.StatusBadGateway,
	Crossed:      http.StatusBadGateway,
	PeerLost:     http.StatusBadGateway,
	Internal:     http.StatusInternalServerError,
}

// HTTPStatus returns the HTTP status for the code, 503 when none is closer.
func (c Code) HTTPStatus() int {
	if status, ok := httpStatuses[c]; ok {
		return status
	}
	return http.StatusServiceUnavailable
}

// IsAccessRefusal says whether the code refuses the caller rather than the request.
func (c Code) IsAccessRefusal() bool {
	switch c {
	case Unauthorized, Forbidden, Isolated, Unready:
		return true
	}
	return false
}

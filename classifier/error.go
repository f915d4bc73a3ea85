package classifier

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// Code is the reason of a failure as a stable, machine-readable string.
type Code string

// The reasons for which a request can fail. The name of a task is the idempotency
// key that its caller chose.
const (
	BadRequest    Code = "bad-request"    // the request is malformed
	Unauthorized  Code = "unauthorized"   // no key, or a key that is not valid
	Forbidden     Code = "forbidden"      // the key belongs to another team
	UnknownQueue  Code = "unknown-queue"  // the rules define no queue of this name
	QueueFull     Code = "queue-full"     // the queue has reached its size limit
	NoCapacity    Code = "no-capacity"    // no entry can start the task now
	NeverFits     Code = "never-fits"     // no worker is large enough for the task
	Isolated      Code = "isolated"       // the entry may have missed a change of the rules
	Unready       Code = "unready"        // the entry has not received any rules yet
	Leaving       Code = "leaving"        // the entry or worker is shutting down
	DeadlineOver  Code = "deadline-over"  // the caller's deadline has passed
	Cancelled     Code = "cancelled"      // the caller cancelled the request
	Repeated      Code = "repeated"       // the task, or one with the same idempotency key, was submitted before
	NameMismatch  Code = "name-mismatch"  // the idempotency key was used before with another request body
	HomeAbsent    Code = "home-absent"    // the entry that records the use of the idempotency key cannot be reached
	HeldBack      Code = "held-back"      // the task failed on too many workers and is not started again
	UnderWay      Code = "under-way"      // the request has not ended yet
	TaskFailed    Code = "task-failed"    // the task ran and reported a failure
	WorkerLost    Code = "worker-lost"    // the worker did not answer
	WorkerRefused Code = "worker-refused" // the worker reported that it did not start the task
	Truncated     Code = "truncated"      // the answer is incomplete or does not match its digest
	Crossed       Code = "crossed"        // the answer belongs to another request
	RetriesSpent  Code = "retries-spent"  // the retry budget of the queue is used up
	PeerLost      Code = "peer-lost"      // the other entry did not answer
	Internal      Code = "internal"       // a fault in the system itself
	StoreDown     Code = "store-down"     // the key-value store did not answer
	Conflict      Code = "conflict"       // another writer changed the object first
	NotFound      Code = "not-found"      // the named object does not exist
	Overloaded    Code = "overloaded"     // no memory is left for the request
	SlowBody      Code = "slow-body"      // the request's body did not arrive in time, or was broken off for others
	BudgetSpent   Code = "budget-spent"   // the availability budget allows no further outage
)

// Error is a failure with its verdict and its reason.
type Error struct {
	Verdict    Verdict       // whether the request may have run
	Code       Code          // stable, machine-readable reason
	Message    string        // what happened and what the caller can do next
	RetryAfter time.Duration // when to retry; 0 if a retry does not help
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

// WithRetryAfter returns a copy of e that tells the caller to retry after d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	next := *e
	next.RetryAfter = d
	return &next
}

// VerdictOf returns the verdict of err: Ran for nil, the verdict of the *Error
// that err wraps, and MayHaveRun for every other error.
func VerdictOf(err error) Verdict {
	if err == nil {
		return Ran
	}
	return As(err).Verdict
}

// As returns err as an *Error. An error that wraps no *Error becomes MayHaveRun
// with the code DeadlineOver if a context deadline was exceeded, otherwise with
// the code Internal. As(nil) returns nil.
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

// HTTPStatus returns the HTTP status for the code. The default is 503.
func (c Code) HTTPStatus() int {
	if status, ok := httpStatuses[c]; ok {
		return status
	}
	return http.StatusServiceUnavailable
}

// IsAccessRefusal reports whether the code means that the caller was refused
// access, as opposed to a fault in the request.
func (c Code) IsAccessRefusal() bool {
	switch c {
	case Unauthorized, Forbidden, Isolated, Unready:
		return true
	}
	return false
}

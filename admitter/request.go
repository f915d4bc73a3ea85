package admitter

import (
	"net/http"
	"strconv"
	"time"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/scheduler"
)

// readTask reads the headers of a request. An error names the header at fault and
// its valid values.
func readTask(r *http.Request) (scheduler.Task, error) {
	now := time.Now()
	task := scheduler.Task{Accepted: now}
	var err error
	if task.Class, err = readClass(r.Header.Get(ClassHeader)); err != nil {
		return task, err
	}
	if task.Idempotent, err = readBool(IdempotentHeader, r.Header.Get(IdempotentHeader)); err != nil {
		return task, err
	}
	if task.Name, err = readIdempotencyKey(r.Header.Get(IdempotencyKeyHeader), task.Idempotent); err != nil {
		return task, err
	}
	if task.Slots, err = readSlots(r.Header.Get(SlotsHeader)); err != nil {
		return task, err
	}
	wait, err := readDeadline(r.Header.Get(DeadlineHeader))
	if err != nil {
		return task, err
	}
	task.Deadline = now.Add(wait)
	return task, nil
}

// badRequest returns a refusal with code BadRequest.
func badRequest(format string, args ...any) error {
	return classifier.Refuse(classifier.BadRequest, format, args...)
}

// readClass parses the class of a task; the default is background.
func readClass(value string) (scheduler.Class, error) {
	switch class := scheduler.Class(value); class {
	case "":
		return scheduler.Background, nil
	case scheduler.Urgent, scheduler.Background:
		return class, nil
	}
	return "", badRequest("%s is %q: use urgent or background", ClassHeader, value)
}

// readBool parses a Boolean header; the default is false.
func readBool(header, value string) (bool, error) {
	switch value {
	case "", "false":
		return false, nil
	case "true":
		return true, nil
	}
	return false, badRequest("%s is %q: use true or false", header, value)
}

// readIdempotencyKey checks the idempotency key, which may be empty only for an
// idempotent request.
func readIdempotencyKey(value string, idempotent bool) (string, error) {
	if value == "" && !idempotent {
		return "", badRequest("a request that is not idempotent needs an %s, best a UUID version 7; or send %s: true", IdempotencyKeyHeader, IdempotentHeader)
	}
	if len(value) > MaxIdempotencyKeyLength {
		return "", badRequest("%s has %d bytes: use at most %d", IdempotencyKeyHeader, len(value), MaxIdempotencyKeyLength)
	}
	return value, nil
}

// readSlots parses the number of slots; the default is 1.
func readSlots(value string) (int, error) {
	if value == "" {
		return 1, nil
	}
	n, err := strconv.Atoi(value)
	if err != nil || n < 1 || n > MaxSlots {
		return 0, badRequest("%s is %q: use a whole number from 1 to %d", SlotsHeader, value, MaxSlots)
	}
	return n, nil
}

// readDeadline parses the time until the deadline; the default is
// DefaultDeadline.
func readDeadline(value string) (time.Duration, error) {
	if value == "" {
		return DefaultDeadline, nil
	}
	d, err := time.ParseDuration(value)
	if err != nil || d <= 0 || d > MaxDeadline {
		return 0, badRequest("%s is %q: use a duration such as 30s, at most %s", DeadlineHeader, value, MaxDeadline)
	}
	return d, nil
}

package operator

import (
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/keeper"
)

// storeRetryAfter is how long an operator should wait before repeating a call
// after the key-value service did not respond.
const storeRetryAfter = 5 * time.Second

// classifyReadError turns the error of a read into a classifier.Error with the
// verdict not-run, because a read changes nothing. An error that already has a
// verdict keeps it.
func classifyReadError(err error) error {
	var classified *classifier.Error
	if err == nil || errors.As(err, &classified) {
		return errors.Trace(err)
	}
	return classifier.Refuse(classifier.StoreDown,
		"the key-value service did not answer (%v): nothing was changed; try again when status shows this entry connected", err).WithRetryAfter(storeRetryAfter)
}

// classifyWriteError turns the error of an order into a classifier.Error with the
// verdict may-have-run, because a part of the order may have been written. An
// error that already has a verdict keeps it. statusCommand is the command of the
// command line that shows which part was carried out.
func classifyWriteError(err error, statusCommand string) error {
	var classified *classifier.Error
	switch {
	case err == nil || errors.As(err, &classified):
		return errors.Trace(err)
	case errors.Is(err, keeper.ErrConflict):
		return classifier.Uncertain(classifier.Conflict, "other writers were faster each time (%v): see %s and try again", err, statusCommand)
	default:
		return classifier.Uncertain(classifier.StoreDown, "the key-value service did not answer (%v): see %s before another attempt", err, statusCommand)
	}
}

// appendAdvice returns err with advice for the operator added to its message. It
// returns err unchanged if the advice is empty or err has no classifier.Error.
func appendAdvice(err error, advice string) error {
	var classified *classifier.Error
	if advice == "" || !errors.As(err, &classified) {
		return err
	}
	advised := *classified
	advised.Message += ": " + advice
	return &advised
}

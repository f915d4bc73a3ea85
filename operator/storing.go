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

// readError classifies the error of a read as not-run, because a read changes
// nothing. An error that has a verdict keeps it.
func readError(err error) error {
	var verdict *classifier.Error
	if err == nil || errors.As(err, &verdict) {
		return errors.Trace(err)
	}
	return classifier.Refuse(classifier.StoreDown,
		"the key-value service did not answer (%v): nothing was changed; try again when status shows this entry connected", err).WithRetryAfter(storeRetryAfter)
}

// writeError classifies the error of an order as may-have-run, because a part
// of the order may have been written. An error that has a verdict keeps it. The
// parameter look names the command that shows what was done.
func writeError(err error, look string) error {
	var verdict *classifier.Error
	switch {
	case err == nil || errors.As(err, &verdict):
		return errors.Trace(err)
	case errors.Is(err, keeper.ErrConflict):
		return classifier.Uncertain(classifier.Conflict, "other writers were faster each time (%v): see %s and try again", err, look)
	default:
		return classifier.Uncertain(classifier.StoreDown, "the key-value service did not answer (%v): see %s before another attempt", err, look)
	}
}

// appendAdvice appends what the operator can do next to the message of a
// refusal.
func appendAdvice(err error, next string) error {
	var verdict *classifier.Error
	if next == "" || !errors.As(err, &verdict) {
		return err
	}
	advised := *verdict
	advised.Message += ": " + next
	return &advised
}

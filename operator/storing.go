package operator

import (
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/keeper"
)

// storeWait is when an operator's call is tried again after the key-value
// service did not answer.
const storeWait = 5 * time.Second

// readFailed gives an error of a read the verdict not-run: nothing was changed.
func readFailed(err error) error {
	var verdict *classifier.Error
	if err == nil || errors.As(err, &verdict) {
		return errors.Trace(err)
	}
	return classifier.Refuse(classifier.StoreDown,
		"the key-value service did not answer (%v): nothing was changed; try again when status shows this entry connected", err).WithRetryAfter(storeWait)
}

// writeFailed gives an error of an order that may have got part of its way the
// verdict may-have-run. look names the command that shows how far it got.
func writeFailed(err error, look string) error {
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

// advise adds what to do next to a refusal.
func advise(err error, next string) error {
	var verdict *classifier.Error
	if next == "" || !errors.As(err, &verdict) {
		return err
	}
	advised := *verdict
	advised.Message += ": " + next
	return &advised
}

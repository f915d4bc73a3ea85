package orchestrator

import (
	"context"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/supervisor"
)

// jobIDDigits are the characters of job IDs, which are hexadecimal numbers.
const jobIDDigits = "0123456789abcdefABCDEF"

// listFleet lists the records of earlier terms and returns the store revision from
// which to watch for changes. With Config.SlowLink it reads one small list
// after the other, and each counts as progress of the term. Changes between two
// lists are no trouble: only callers still write, and the watch reports that.
func (e *Engine) listFleet(ctx context.Context) ([]keeper.Record, int64, error) {
	prefixes := []string{fleetPrefix}
	if e.cfg.SlowLink {
		prefixes = fleetPieces()
	}
	var all []keeper.Record
	var first int64
	for _, prefix := range prefixes {
		records, revision, err := e.listUntilRead(ctx, prefix)
		if err != nil {
			return nil, 0, err
		}
		e.term.ReportProgress()
		if first == 0 {
			first = revision
		}
		all = append(all, records...)
	}
	return all, first, nil
}

// listUntilRead lists the records below a prefix, and tries again after failures
// until ctx ends.
func (e *Engine) listUntilRead(ctx context.Context, prefix string) ([]keeper.Record, int64, error) {
	for {
		records, revision, err := e.store.List(ctx, prefix)
		if err == nil {
			return records, revision, nil
		}
		e.log.Warn("jobs not read from the store, trying again", "prefix", prefix, "error", err)
		if err := supervisor.Pause(ctx, reloadRetryInterval); err != nil {
			return nil, 0, errors.Trace(err)
		}
	}
}

// fleetPieces returns the prefixes of the records that restoreState reads.
func fleetPieces() []string {
	pieces := []string{LoadKey, instanceOrdersKey, unresponsiveKey, answeredKey, termKey, handoverKey, wavePrefix}
	for _, prefix := range []string{JobPrefix, progressPrefix} {
		for _, digit := range jobIDDigits {
			pieces = append(pieces, prefix+string(digit))
		}
	}
	return pieces
}

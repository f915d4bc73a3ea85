package orchestrator

import (
	"context"
	"encoding/json"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/modeler"
)

type (
	// JobView is the stored state of a job as callers see it.
	JobView struct {
		Known     bool
		Withdrawn bool // not known, and can't be stored any more
		State     modeler.State
		Customer  string // whose job it is; empty if any caller may know of it
		Revision  int64  // revision of the job's record
		Cancelled bool   // cancellation has been requested
	}

	// Lister lists the records below a prefix.
	Lister interface {
		List(ctx context.Context, prefix string) ([]keeper.Record, int64, error)
	}
)

// EncodeJobRecord returns the record of a job that has not ended.
func EncodeJobRecord(j *modeler.Job) []byte {
	return encodeJSON(JobRecord{Definition: j})
}

// LoadJobView reads the state of a job from the store. The progress is read first:
// if the job ends meanwhile, its record tells the outcome.
func LoadJobView(ctx context.Context, s Lister, id string) (JobView, error) {
	progress, _, err := s.List(ctx, ProgressKey(id))
	if err != nil {
		return JobView{}, errors.Trace(err)
	}
	records, _, err := s.List(ctx, JobKey(id))
	if err != nil {
		return JobView{}, errors.Trace(err)
	}
	return readJobView(id, append(progress, records...))
}

// IsWithdrawal reports whether a job's record keeps the job from being stored, see
// EncodeWithdrawal.
func IsWithdrawal(r keeper.Record) bool {
	var rec JobRecord
	return json.Unmarshal(r.Value, &rec) == nil && rec.Withdrawn
}

// ReadJobCustomer returns the customer that a job's record names. It is empty for a job
// of which any caller may know.
func ReadJobCustomer(r keeper.Record) (string, error) {
	var rec JobRecord
	err := json.Unmarshal(r.Value, &rec)
	return rec.customer(), errors.Annotatef(err, "decoding the job record %q", r.Key)
}

// readJobView returns the state of a job from its records.
func readJobView(id string, records []keeper.Record) (JobView, error) {
	v := JobView{State: modeler.Queued}
	var outcome modeler.State
	for _, r := range records {
		switch r.Key {
		case JobKey(id):
			var rec JobRecord
			if err := json.Unmarshal(r.Value, &rec); err != nil {
				return v, errors.Annotatef(err, "decoding the job record %q", r.Key)
			}
			v.Known, v.Withdrawn, v.Revision, outcome, v.Customer = !rec.Withdrawn, rec.Withdrawn, r.Revision, rec.Outcome, rec.customer()
		case ProgressKey(id), OldProgressKey(id):
			state, err := decodeProgressState(r.Value)
			if err != nil {
				return v, errors.Annotatef(err, "decoding the job record %q", r.Key)
			}
			v.State = state
		case CancelKey(id):
			v.Cancelled = true
		}
	}
	switch {
	case outcome != "":
		v.State = outcome
	case v.Cancelled && !v.State.IsFinal():
		v.State = modeler.Cancelled
	}
	return v, nil
}

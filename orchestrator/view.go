package orchestrator

import (
	"encoding/json"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/modeler"
)

// JobView is the stored state of a job as callers see it.
type JobView struct {
	Known     bool
	State     modeler.State
	Revision  int64 // revision of the job's record
	Cancelled bool  // cancellation has been requested
}

// EncodeJobRecord returns the record of a job that has not ended.
func EncodeJobRecord(j *modeler.Job) []byte {
	return encodeJSON(JobRecord{Job: j})
}

// ReadJobView returns the state of a job from its records, which are those
// below JobKey(id).
func ReadJobView(id string, records []keeper.Record) (JobView, error) {
	v := JobView{State: modeler.Queued}
	var outcome modeler.State
	for _, r := range records {
		switch r.Key {
		case JobKey(id):
			var rec JobRecord
			if err := json.Unmarshal(r.Value, &rec); err != nil {
				return v, errors.Annotatef(err, "decoding the job record %q", r.Key)
			}
			v.Known, v.Revision, outcome = true, r.Revision, rec.Outcome
		case ProgressKey(id):
			var p Progress
			if err := json.Unmarshal(r.Value, &p); err != nil {
				return v, errors.Annotatef(err, "decoding the job record %q", r.Key)
			}
			v.State = p.State
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

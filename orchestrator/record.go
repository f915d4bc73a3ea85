package orchestrator

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/investigator"
	"github.com/coltsfootlever/coltsfootlever/modeler"
)

// Keys of job records.
const (
	// JobPrefix is followed by the job ID. The record contains the job until it
	// ends and then its outcome.
	JobPrefix = fleetPrefix + "job/"
	// LoadKey stores the Load that the leader publishes.
	LoadKey = fleetPrefix + "load"

	fleetPrefix    = "fleet/"                  // prefix of all records that a new leader reads
	progressPrefix = fleetPrefix + "progress/" // outside JobPrefix, so that the leader's watch of jobs does not return what it writes itself

	cancelSuffix      = "/cancel"   // marks a job whose caller has requested its cancellation
	oldProgressSuffix = "/progress" // stores the Progress of a job whose record is in the old form
)

type (
	// JobRecord is the record stored under a job's key. The old form has the job
	// embedded, and its progress is stored below the job's key. Versions that know
	// only that form don't read Definition, so that they leave jobs alone whose
	// progress they would not find.
	JobRecord struct {
		Outcome modeler.State `json:"outcome,omitempty"` // final state; set when the job has ended
		Owner   string        `json:"owner,omitempty"`   // customer whose job has ended
		// Withdrawn tells that the job was cancelled when it was not known. The record
		// keeps a submission whose write is carried out late from taking effect.
		Withdrawn  bool         `json:"withdrawn,omitempty"`
		Definition *modeler.Job `json:"definition,omitempty"`
		*modeler.Job
	}

	// Progress is the stored progress of a job.
	Progress struct {
		State   modeler.State `json:"state"`
		Begun   bool          `json:"begun,omitempty"`   // some task has been placed
		Started bool          `json:"started,omitempty"` // some task has started; versions that don't know it take placed ones to have started
		// Finished contains the ranges of the occurrences whose tasks are all done; the
		// second number of a range is the first one after it. Steps omits them.
		Finished [][2]int       `json:"finished,omitempty"`
		Steps    []StepProgress `json:"steps,omitempty"`
	}

	// StepProgress is the progress of a step in one occurrence. Tasks that have not
	// been placed yet are omitted.
	StepProgress struct {
		Occurrence int            `json:"occurrence,omitempty"`
		Step       int            `json:"step,omitempty"`
		Done       []int          `json:"done,omitempty"` // indexes of tasks that are done
		Tasks      []TaskProgress `json:"tasks,omitempty"`
	}

	// TaskProgress is the progress of a task that has been placed and is not done.
	TaskProgress struct {
		Index      int      `json:"index,omitempty"`
		Run        int      `json:"run,omitempty"`
		Failed     []int    `json:"failed,omitempty"`    // numbers of the failed runs
		FailedOn   []string `json:"failed-on,omitempty"` // workers of the failed runs, in the same order; versions that don't know it count the numbers
		Worker     string   `json:"worker,omitempty"`    // worker on which the run exists or may exist
		Instance   string   `json:"instance,omitempty"`  // instance of the worker
		Born       int64    `json:"born,omitempty"`      // start time of the worker, see modeler.Worker.StartTimeMs
		Placed     int64    `json:"placed,omitempty"`    // when a long-running task was placed, in ms of Unix time
		Checkpoint string   `json:"checkpoint,omitempty"`

		Began      bool        `json:"began,omitempty"` // the run has begun, so that its start is not carried out later
		LateStarts []LateStart `json:"late-starts,omitempty"`

		Crashes     int   `json:"crashes,omitempty"`             // see investigator.Suspicion
		Unconfirmed int   `json:"unconfirmed-crashes,omitempty"` // see investigator.Suspicion
		SoleSuspect int   `json:"sole-suspect,omitempty"`        // see investigator.Suspicion
		Unknown     int   `json:"unknown-crashes,omitempty"`     // see investigator.Suspicion
		LateCrashes int   `json:"late-crashes,omitempty"`        // see investigator.Suspicion
		LateWorkMs  int64 `json:"late-work-ms,omitempty"`        // see investigator.Suspicion
		ProbationMs int64 `json:"probation-ms,omitempty"`        // see investigator.Suspicion
	}

	// Load is what the leader publishes for the other entry nodes: job counts, and
	// which new jobs they accept only in part.
	Load struct {
		Pending map[string]int                   `json:"pending"`           // accepted jobs of which no task has started, by queue
		Limited map[string]map[string]Limitation `json:"limited,omitempty"` // by queue and customer
		// FreeBytes is the memory that the leader has left for new jobs; 0 if there is no
		// limit.
		FreeBytes int64 `json:"free-bytes,omitempty"`
		// EvacuatedZones are the evacuated zones if there are no others, so that nothing
		// can start.
		EvacuatedZones []string `json:"evacuated-zones,omitempty"`
	}
)

// JobKey returns the key of a job's record.
func JobKey(id string) string { return JobPrefix + id }

// CancelKey returns the key whose existence requests the cancellation of a job.
func CancelKey(id string) string { return JobPrefix + id + cancelSuffix }

// ProgressKey returns the key of a job's progress record.
func ProgressKey(id string) string { return progressPrefix + id }

// OldProgressKey returns the key of the progress record of a job whose record is
// in the old form.
func OldProgressKey(id string) string { return JobPrefix + id + oldProgressSuffix }

// definition returns the job and the key of its progress record, or nil if the
// record contains no job.
func (r *JobRecord) definition(id string) (def *modeler.Job, progressKey string) {
	if r.Definition != nil {
		return r.Definition, ProgressKey(id)
	}
	return r.Job, OldProgressKey(id)
}

// EncodeWithdrawal returns the record that keeps a job of a customer from being stored.
// The leader removes it like the record of a job that has ended.
func EncodeWithdrawal(customer string) []byte {
	return encodeJSON(JobRecord{Outcome: modeler.Cancelled, Owner: customer, Withdrawn: true})
}

// customer returns the customer whose job it is, or "" if the record names none:
// the queue is public, or an earlier version has stored the outcome.
func (r *JobRecord) customer() string {
	if def, _ := r.definition(""); def != nil {
		return def.Customer
	}
	return r.Owner
}

// splitJobKey splits a key below JobPrefix into the job ID and the suffix.
func splitJobKey(key string) (id, suffix string) {
	id = strings.TrimPrefix(key, JobPrefix)
	if i := strings.IndexByte(id, '/'); i >= 0 {
		return id[:i], id[i:]
	}
	return id, ""
}

// IsJobInput reports whether a key below JobPrefix holds what callers have stored,
// and not the progress of a job, which only the leader writes.
func IsJobInput(key string) bool {
	return !strings.HasSuffix(key, oldProgressSuffix)
}

// encodeJSON returns the JSON encoding of v. It panics if v can't be
// encoded, which doesn't occur for the types of the stored records.
func encodeJSON(v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(errors.Annotatef(err, "encoding a record of type %T", v))
	}
	return raw
}

// progress returns the progress record of the job, which shares nothing with the job: it is
// encoded outside the event loop.
func (j *job) progress() Progress {
	p := Progress{State: j.state, Begun: j.hasBeenPlaced, Started: j.hasStarted, Finished: slices.Clone(j.finished)}
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if sp := s.progress(); len(sp.Done)+len(sp.Tasks) > 0 {
				p.Steps = append(p.Steps, sp)
			}
		}
	}
	return p
}

// countTasks returns the number of tasks in the record.
func (p *Progress) countTasks() int {
	n := 0
	for i := range p.Steps {
		n += len(p.Steps[i].Done) + len(p.Steps[i].Tasks)
	}
	return n
}

// progress returns the progress record of the step.
func (s *step) progress() StepProgress {
	sp := StepProgress{Occurrence: s.occurrence.number, Step: s.number}
	if n := len(s.tasks) - s.finishedTasks; n > 0 {
		sp.Tasks = make([]TaskProgress, 0, n)
	}
	for _, t := range s.tasks {
		if t.phase == done {
			sp.Done = append(sp.Done, t.id.Index)
			continue
		}
		if t.run == 0 && len(t.failedRuns) == 0 && t.suspicion == (investigator.Suspicion{}) {
			continue
		}
		tp := TaskProgress{
			Index: t.id.Index, Run: t.run, Checkpoint: t.checkpoint(), LateStarts: t.lateStarts(),
			Crashes: t.suspicion.Crashes, Unconfirmed: t.suspicion.Unconfirmed, SoleSuspect: t.suspicion.SoleSuspect, Unknown: t.suspicion.Unknown,
			LateCrashes: t.suspicion.LateCrashes, LateWorkMs: t.suspicion.LateWork.Milliseconds(), ProbationMs: t.suspicion.Probation.Milliseconds(),
		}
		for _, f := range t.failedRuns {
			tp.Failed, tp.FailedOn = append(tp.Failed, f.number), append(tp.FailedOn, f.worker)
		}
		if t.worker != nil {
			tp.Worker, tp.Instance, tp.Born = t.worker.ID, t.worker.Instance, t.worker.StartTimeMs
			tp.Began = t.hasBegun() && s.awaitsUnansweredStarts()
			if s.LongRunning && !t.placedAt.IsZero() {
				tp.Placed = t.placedAt.UnixMilli()
			}
		}
		sp.Tasks = append(sp.Tasks, tp)
	}
	return sp
}

// failedRuns returns the failed runs in the record.
func (tp *TaskProgress) failedRuns() []failedRun {
	runs := make([]failedRun, len(tp.Failed))
	for i, n := range tp.Failed {
		runs[i].number = n
		if i < len(tp.FailedOn) {
			runs[i].worker = tp.FailedOn[i]
		}
	}
	return runs
}

// restore applies a stored progress record to a new job. workerOf returns the
// worker named in a placement.
func (j *job) restore(p Progress, workerOf func(tp TaskProgress) *worker) error {
	j.state, j.hasBeenPlaced, j.hasStarted = p.State, p.Begun, p.Started
	if finished := numberSet(p.Finished); !finished.isValid(j.Repeat) {
		return errors.NotValidf("progress record (finished occurrences %v of job %q, which repeats %d times)", p.Finished, j.ID, j.Repeat)
	} else if len(finished) > 0 {
		j.finished = finished
		j.markStarted()
	}
	for _, sp := range p.Steps {
		if min(sp.Occurrence, sp.Step) < 0 || sp.Occurrence >= j.OccurrenceCount() || sp.Step >= len(j.Steps) || j.finished.contains(sp.Occurrence) {
			return errors.NotValidf("progress record (unknown step %d in occurrence %d of job %q)", sp.Step, sp.Occurrence, j.ID)
		}
		if err := j.buildOccurrence(sp.Occurrence).steps[sp.Step].restore(sp, workerOf); err != nil {
			return err
		}
		if sp.hasStarted() {
			j.markStarted()
		}
		j.removeFinishedOccurrences() // records of earlier versions list all tasks of finished occurrences
	}
	j.nextOccurrence = j.finished.firstMissing(j.nextOccurrence)
	j.markNotStarted()
	return nil
}

// hasStarted reports whether the record shows that some task has started. Versions
// that don't store Progress.Started leave it to this.
func (sp *StepProgress) hasStarted() bool {
	return len(sp.Done) > 0 || slices.ContainsFunc(sp.Tasks, func(tp TaskProgress) bool { return len(tp.Failed) > 0 || tp.Checkpoint != "" })
}

// restore applies a stored progress record to a new step.
func (s *step) restore(sp StepProgress, workerOf func(tp TaskProgress) *worker) error {
	for _, n := range sp.Done {
		if n < 0 || n >= s.Count {
			return errors.NotValidf("progress record (unknown task %d of step %d of job %q)", n, s.number, s.occurrence.job.ID)
		}
		s.taskAt(n).markDone()
	}
	for _, tp := range sp.Tasks {
		if tp.Index < 0 || tp.Index >= s.Count {
			return errors.NotValidf("progress record (unknown task %d of step %d of job %q)", tp.Index, s.number, s.occurrence.job.ID)
		}
		t := s.taskAt(tp.Index)
		t.run, t.failedRuns = tp.Run, tp.failedRuns()
		t.suspicion = investigator.Suspicion{
			Crashes: tp.Crashes, Unconfirmed: tp.Unconfirmed, SoleSuspect: tp.SoleSuspect, Unknown: tp.Unknown,
			LateCrashes: tp.LateCrashes, LateWork: time.Duration(tp.LateWorkMs) * time.Millisecond, Probation: time.Duration(tp.ProbationMs) * time.Millisecond,
		}
		t.placementBoot = tp.Born
		for _, l := range tp.LateStarts {
			t.unanswered = append(t.unanswered, &unansweredStart{id: runID{t.id, l.Run}, worker: l.Worker, until: time.UnixMilli(l.UntilMs)}) // adoptLateStarts converts the time
		}
		if tp.Placed != 0 {
			t.placedAt = time.UnixMilli(tp.Placed)
		}
		t.setCheckpoint(tp.Checkpoint)
		if tp.Worker != "" {
			t.began = tp.Began
			t.assignTo(workerOf(tp), adopted)
		}
	}
	return nil
}

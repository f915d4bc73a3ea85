package orchestrator

import (
	"encoding/json"
	"strings"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/modeler"
)

// Keys of the records of jobs.
const (
	// JobPrefix is followed by the job's id. The record is the job until it
	// ends, and then its Outcome.
	JobPrefix = fleetPrefix + "job/"
	// LoadKey holds the Load that the leader publishes.
	LoadKey = fleetPrefix + "load"

	fleetPrefix = "fleet/" // all that a successor reads

	cancelSuffix   = "/cancel"   // a caller wants the job to end
	progressSuffix = "/progress" // Progress of the job
)

type (
	// JobRecord is what the service holds under a job's key.
	JobRecord struct {
		Outcome modeler.State `json:"outcome,omitempty"` // set when the job has ended
		*modeler.Job
	}

	// Progress is how far a job is.
	Progress struct {
		State modeler.State  `json:"state"`
		Begun bool           `json:"begun,omitempty"`
		Steps []StepProgress `json:"steps,omitempty"`
	}

	// StepProgress is how far a step of an occurrence is. Tasks that have not
	// run are left out.
	StepProgress struct {
		Occurrence int            `json:"occurrence,omitempty"`
		Step       int            `json:"step,omitempty"`
		Done       []int          `json:"done,omitempty"` // indexes of finished tasks
		Tasks      []TaskProgress `json:"tasks,omitempty"`
	}

	// TaskProgress is what is known of an unfinished task.
	TaskProgress struct {
		Index      int    `json:"index,omitempty"`
		Run        int    `json:"run,omitempty"`
		Failed     []int  `json:"failed,omitempty"`   // runs that ended by a failure
		Worker     string `json:"worker,omitempty"`   // that has or may have the run
		Instance   string `json:"instance,omitempty"` // of the worker
		Born       int64  `json:"born,omitempty"`     // life of the worker
		Checkpoint string `json:"checkpoint,omitempty"`
	}

	// Load is what the leader tells the other entries about the queues.
	Load struct {
		Pending map[string]int `json:"pending"` // accepted jobs of which no task has started, by queue
	}
)

// JobKey is the key of a job's record.
func JobKey(id string) string { return JobPrefix + id }

// CancelKey is the key that asks for the end of a job.
func CancelKey(id string) string { return JobPrefix + id + cancelSuffix }

// ProgressKey is the key of a job's progress.
func ProgressKey(id string) string { return JobPrefix + id + progressSuffix }

// splitKey returns the job of a key below JobPrefix and the rest of the key.
func splitJobKey(key string) (id, suffix string) {
	id = strings.TrimPrefix(key, JobPrefix)
	if i := strings.IndexByte(id, '/'); i >= 0 {
		return id[:i], id[i:]
	}
	return id, ""
}

// encode returns the record of a value that always has a JSON form.
func encode(v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(errors.Annotatef(err, "encoding %T", v))
	}
	return raw
}

// progress returns the record of the job's progress.
func (j *job) progress() Progress {
	p := Progress{State: j.state, Begun: j.hasStarted}
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if sp := s.progress(); len(sp.Done)+len(sp.Tasks) > 0 {
				p.Steps = append(p.Steps, sp)
			}
		}
	}
	return p
}

func (s *step) progress() StepProgress {
	sp := StepProgress{Occurrence: s.occurrence.number, Step: s.number}
	for _, t := range s.tasks {
		if t.phase == done {
			sp.Done = append(sp.Done, t.id.Index)
			continue
		}
		if t.run == 0 && len(t.failedRuns) == 0 {
			continue
		}
		tp := TaskProgress{Index: t.id.Index, Run: t.run, Failed: t.failedRuns, Checkpoint: t.checkpoint}
		if t.worker != nil {
			tp.Worker, tp.Instance, tp.Born = t.worker.ID, t.worker.Instance, t.worker.StartTimeMs
		}
		sp.Tasks = append(sp.Tasks, tp)
	}
	return sp
}

// restore applies a stored progress to a new job. workerOf returns the worker
// that a placement names.
func (j *job) restore(p Progress, workerOf func(tp TaskProgress) *worker) error {
	j.state, j.hasStarted = p.State, p.Begun
	for _, sp := range p.Steps {
		if sp.Occurrence >= len(j.occurrences) || sp.Step >= len(j.occurrences[sp.Occurrence].steps) {
			return errors.NotValidf("progress of step %d in occurrence %d of job %q", sp.Step, sp.Occurrence, j.ID)
		}
		if err := j.occurrences[sp.Occurrence].steps[sp.Step].restore(sp, workerOf); err != nil {
			return err
		}
	}
	return nil
}

func (s *step) restore(sp StepProgress, workerOf func(tp TaskProgress) *worker) error {
	for _, n := range sp.Done {
		if n >= len(s.tasks) {
			return errors.NotValidf("task %d of step %d of job %q", n, s.number, s.occurrence.job.ID)
		}
		s.tasks[n].markDone()
	}
	for _, tp := range sp.Tasks {
		if tp.Index >= len(s.tasks) {
			return errors.NotValidf("task %d of step %d of job %q", tp.Index, s.number, s.occurrence.job.ID)
		}
		t := s.tasks[tp.Index]
		t.run, t.failedRuns, t.checkpoint = tp.Run, tp.Failed, tp.Checkpoint
		if tp.Worker != "" {
			t.assignTo(workerOf(tp), adopted)
		}
	}
	return nil
}

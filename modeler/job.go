package modeler

import (
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// States of a job, as callers see them.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

type (
	// State is the state of a job, as callers see it.
	State string

	// Resources is an amount of CPU, memory and GPUs.
	Resources struct {
		CPU    int64 `json:"cpu,omitempty"`    // thousandths of a core
		Memory int64 `json:"memory,omitempty"` // MB
		GPU    int64 `json:"gpu,omitempty"`    // devices
	}

	// Step is a group of identical tasks.
	Step struct {
		Count         int           `json:"count"`
		Need          Resources     `json:"need"` // of one task
		Estimate      time.Duration `json:"estimate,omitempty"`
		After         []int         `json:"after,omitempty"` // indexes of the earlier steps that must be completed first
		Checkpointing bool          `json:"checkpointing,omitempty"`
		Gang          bool          `json:"gang,omitempty"`      // all tasks must run at the same time
		SameRack      bool          `json:"same-rack,omitempty"` // the tasks run slower on more than one rack
		Speculative   bool          `json:"speculative,omitempty"`
		LongRunning   bool          `json:"long-running,omitempty"`
		UsesIdleCPU   bool          `json:"fills,omitempty"`    // runs on CPU time that other tasks leave unused
		Label         string        `json:"label,omitempty"`    // label that the worker must have
		DataRack      string        `json:"rack,omitempty"`     // rack that holds the input data
		MaxPerWorker  int           `json:"spread,omitempty"`   // maximum number of tasks on one worker; 0 for no limit
		Image         string        `json:"image,omitempty"`    // container image of the tasks
		LatencyTarget time.Duration `json:"target,omitempty"`   // tail latency with which the tasks should serve their users
		MaxAbsent     int           `json:"may-miss,omitempty"` // number of tasks that planned maintenance may interrupt at once
	}

	// Job is a job as its caller submitted it.
	Job struct {
		ID            string         `json:"id"`
		Queue         string         `json:"queue"`
		Customer      string         `json:"customer,omitempty"` // empty in a public queue
		Spec          string         `json:"spec"`
		Steps         []Step         `json:"steps"`
		Repeat        int            `json:"repeat,omitempty"` // number of occurrences; 0 for a job that runs once, immediately
		FirstDue      time.Time      `json:"first,omitzero"`   // due time of the first occurrence
		Interval      time.Duration  `json:"interval,omitempty"`
		Accepted      time.Time      `json:"accepted"`
		QueueSettings *QueueSettings `json:"queue-settings,omitempty"` // those of its queue on acceptance; nil in records of earlier versions
	}

	// TaskID identifies a task.
	TaskID struct {
		Job        string
		Occurrence int
		Step       int
		Index      int
	}
)

// IsFinal reports whether a job in this state has ended.
func (s State) IsFinal() bool {
	return s == Completed || s == Failed || s == Cancelled
}

// Add returns r plus o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.Memory + o.Memory, r.GPU + o.GPU}
}

// Sub returns r minus o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.Memory - o.Memory, r.GPU - o.GPU}
}

// Min returns the smaller one of each component of r and o.
func (r Resources) Min(o Resources) Resources {
	return Resources{min(r.CPU, o.CPU), min(r.Memory, o.Memory), min(r.GPU, o.GPU)}
}

// Max returns the larger one of each component of r and o.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.CPU, o.CPU), max(r.Memory, o.Memory), max(r.GPU, o.GPU)}
}

// Times returns n times r.
func (r Resources) Times(n int) Resources {
	return Resources{r.CPU * int64(n), r.Memory * int64(n), r.GPU * int64(n)}
}

// Fits reports whether no component of r exceeds that of o.
func (r Resources) Fits(o Resources) bool {
	return r.CPU <= o.CPU && r.Memory <= o.Memory && r.GPU <= o.GPU
}

// ReservedResources returns what one task of the step reserves on its worker.
// Tasks that run on unused CPU time reserve no CPU.
func (s *Step) ReservedResources() Resources {
	if s.UsesIdleCPU {
		return Resources{Memory: s.Need.Memory, GPU: s.Need.GPU}
	}
	return s.Need
}

// OccurrenceCount returns how often the steps run.
func (j *Job) OccurrenceCount() int {
	return max(1, j.Repeat)
}

// TasksPerOccurrence returns the number of tasks in all steps of one occurrence.
func (j *Job) TasksPerOccurrence() int {
	n := 0
	for i := range j.Steps {
		n += j.Steps[i].Count
	}
	return n
}

// DueTime returns the time from which the occurrence may start.
func (j *Job) DueTime(occurrence int) time.Time {
	if j.Repeat == 0 {
		return j.Accepted
	}
	return j.FirstDue.Add(time.Duration(occurrence) * j.Interval)
}

// IsLongRunning reports whether the job runs until it is cancelled.
func (j *Job) IsLongRunning() bool {
	for i := range j.Steps {
		if j.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// String returns the ID in the form JOB.OCCURRENCE.STEP.INDEX.
func (t TaskID) String() string {
	return t.Job + "." + t.IDWithinJob()
}

// IDWithinJob returns the ID without the job in the form
// OCCURRENCE.STEP.INDEX.
func (t TaskID) IDWithinJob() string {
	return strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// StepID returns the ID of the task's step in the form JOB.OCCURRENCE.STEP.
func (t TaskID) StepID() string {
	return t.Job + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step)
}

// ParseTaskID parses the form that String returns.
func ParseTaskID(s string) (TaskID, error) {
	job, rest, _ := strings.Cut(s, ".")
	numbers := strings.Split(rest, ".")
	if job == "" || len(numbers) != 3 {
		return TaskID{}, errors.NotValidf("task %q, want JOB.OCCURRENCE.STEP.INDEX:", s)
	}
	var n [3]int
	for i, text := range numbers {
		v, err := strconv.Atoi(text)
		if err != nil || v < 0 {
			return TaskID{}, errors.NotValidf("number %q in task %q", text, s)
		}
		n[i] = v
	}
	return TaskID{Job: job, Occurrence: n[0], Step: n[1], Index: n[2]}, nil
}

package modeler

import (
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// The states a job is shown in.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

type (
	// State is the state of a job as callers see it.
	State string

	// Resources is an amount of processor, memory and accelerators.
	Resources struct {
		CPU    int64 `json:"cpu,omitempty"`    // thousandths of a core
		Memory int64 `json:"memory,omitempty"` // MB
		GPU    int64 `json:"gpu,omitempty"`    // devices
	}

	// Step is a group of equal tasks.
	Step struct {
		Count         int           `json:"count"`
		Need          Resources     `json:"need"` // of one task
		Estimate      time.Duration `json:"estimate,omitempty"`
		After         []int         `json:"after,omitempty"` // earlier steps that must be done first
		Checkpointing bool          `json:"checkpointing,omitempty"`
		Gang          bool          `json:"gang,omitempty"`      // the tasks run only together
		SameRack      bool          `json:"same-rack,omitempty"` // slower on more than one rack
		Speculative   bool          `json:"speculative,omitempty"`
		LongRunning   bool          `json:"long-running,omitempty"`
		Fills         bool          `json:"fills,omitempty"`    // uses processor time that others leave
		Label         string        `json:"label,omitempty"`    // label the worker must have
		Rack          string        `json:"rack,omitempty"`     // rack that holds the data
		Spread        int           `json:"spread,omitempty"`   // most tasks on one worker, 0 for no limit
		Image         string        `json:"image,omitempty"`    // what the tasks run
		Target        time.Duration `json:"target,omitempty"`   // tail latency the tasks serve their users with
		MayMiss       int           `json:"may-miss,omitempty"` // tasks that planned work may make absent at once
	}

	// Job is what a caller handed in.
	Job struct {
		ID       string        `json:"id"`
		Queue    string        `json:"queue"`
		Customer string        `json:"customer,omitempty"` // empty on a public queue
		Spec     string        `json:"spec"`
		Steps    []Step        `json:"steps"`
		Repeat   int           `json:"repeat,omitempty"` // occurrences; 0 for a job that runs once, at once
		First    time.Time     `json:"first,omitzero"`   // due time of the first occurrence
		Interval time.Duration `json:"interval,omitempty"`
		Accepted time.Time     `json:"accepted"`
	}

	// TaskID names a task within its job.
	TaskID struct {
		Job        string
		Occurrence int
		Step       int
		Index      int
	}
)

// IsFinal says whether a job in the state has ended.
func (s State) IsFinal() bool {
	return s == Completed || s == Failed || s == Cancelled
}

// Add returns the sum of both amounts.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.Memory + o.Memory, r.GPU + o.GPU}
}

// Sub returns the amount left when o is taken away.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.Memory - o.Memory, r.GPU - o.GPU}
}

// Times returns n times the amount.
func (r Resources) Times(n int) Resources {
	return Resources{r.CPU * int64(n), r.Memory * int64(n), r.GPU * int64(n)}
}

// Fits says whether the amount is within o.
func (r Resources) Fits(o Resources) bool {
	return r.CPU <= o.CPU && r.Memory <= o.Memory && r.GPU <= o.GPU
}

// Room is what a task of the step takes from its worker.
func (s *Step) Room() Resources {
	if s.Fills {
		return Resources{Memory: s.Need.Memory, GPU: s.Need.GPU}
	}
	return s.Need
}

// Occurrences is how often the steps run.
func (j *Job) Occurrences() int {
	return max(1, j.Repeat)
}

// Due is the time from which an occurrence may start.
func (j *Job) Due(occurrence int) time.Time {
	if j.Repeat == 0 {
		return j.Accepted
	}
	return j.First.Add(time.Duration(occurrence) * j.Interval)
}

// LongRunning says whether the job runs until it is cancelled.
func (j *Job) LongRunning() bool {
	for i := range j.Steps {
		if j.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// String returns the name in the form JOB.OCCURRENCE.STEP.INDEX.
func (t TaskID) String() string {
	return t.Job + "." + t.Within()
}

// Within returns the name without the job.
func (t TaskID) Within() string {
	return strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// StepName returns the name of the task's step in the form JOB.OCCURRENCE.STEP.
func (t TaskID) StepName() string {
	return t.Job + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step)
}

// ParseTaskID reads the form that String writes.
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

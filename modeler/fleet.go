package modeler

import "time"

// States of an instance.
const (
	InstanceUp            InstanceState = "up"
	InstanceMoving        InstanceState = "moving"
	InstanceInMaintenance InstanceState = "upkeep"
	InstanceDown          InstanceState = "down"
)

// Ways in which a run of a task ends.
const (
	EndDone    EndKind = "done"
	EndFailed  EndKind = "failed"  // the task or its worker failed
	EndStopped EndKind = "stopped" // by a stop order
	EndLapsed  EndKind = "lapsed"  // its lease expired
	EndBroken  EndKind = "broken"  // another task of its gang ended
	EndAlone   EndKind = "alone"   // the other tasks of its gang did not start in time
)

type (
	// InstanceState tells whether an instance is in service and, if not, why.
	InstanceState string

	// EndKind is the way in which a run ended.
	EndKind string

	// Worker is a worker's own registration in the platform's store.
	Worker struct {
		ID          string
		StartTimeMs int64 // Unix time of its start in ms; another value means that the worker has restarted
		Pool        string
		Address     string
		Zone        string
		Instance    string // instance that it runs on
		Draining    bool
		TimeLeft    time.Duration // minimum time until it stops, set while it drains
		Capacity    Resources
		Labels      []string // hardware kind, then rack
	}

	// Instance is one of the platform's machines. A new worker starts on it
	// each time that it comes up.
	Instance struct {
		Name     string
		Pool     string
		State    InstanceState
		Zone     string
		Labels   []string
		Capacity Resources
		Worker   string // ID of its worker; empty while it has none
	}

	// Wave is a group of instances that are due for maintenance.
	Wave struct {
		Number        int64
		Instances     []string
		Duration      time.Duration
		MaxConcurrent int
	}

	// Evacuation is an operator's request to take an availability zone out of use. Its
	// times are on the boot-time clock of the process that has read it.
	Evacuation struct {
		Zone       string
		Revision   int64         // of the operator's record
		Since      time.Duration // when the process learned of the request
		InUseAsOf  time.Duration // when the zone was last known not to be evacuated; negative if it never was
		Restored   bool          // the operator has restored the zone
		RestoredAt time.Duration // when the process learned that, if Restored
	}

	// RunningTask is an entry in a worker's list of current runs.
	RunningTask struct {
		Task       TaskID
		Run        int
		Checkpoint string
		Percent    int // start-up progress; from 100 on the task does its work
		Metric     int // for a task with a latency target its tail latency in ms, for any other its CPU use in thousandths of a core
	}

	// EndedTask is an entry in a worker's list of ended runs.
	EndedTask struct {
		Number     int64 // counts from 1 after each start of the worker
		Task       TaskID
		Run        int
		EndKind    EndKind
		Checkpoint string
	}

	// Report is a worker's answer to a query for its runs.
	Report struct {
		StartTimeMs int64 // see Worker.StartTimeMs
		ClockMs     int64 // the worker's monotonic clock
		Running     []RunningTask
		Ended       []EndedTask
	}

	// StartOrder orders a worker to run a task.
	StartOrder struct {
		Task         TaskID
		Run          int
		Spec         string
		Checkpoint   string
		Ticket       string
		DeadlineMs   int64 // on the worker's clock; the lease of all its runs ends then
		FencingToken int64 // of the sender
	}
)

// RackLabel returns the label that names the rack, which is the last label.
func RackLabel(labels []string) string {
	if len(labels) == 0 {
		return ""
	}
	return labels[len(labels)-1]
}

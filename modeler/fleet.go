package modeler

import "time"

// The states of an instance.
const (
	InstanceUp       InstanceState = "up"
	InstanceMoving   InstanceState = "moving"
	InstanceInUpkeep InstanceState = "upkeep"
	InstanceDown     InstanceState = "down"
)

// The ways a run ends.
const (
	EndDone    EndKind = "done"
	EndFailed  EndKind = "failed"  // through its own fault or its worker's
	EndStopped EndKind = "stopped" // by an order
	EndLapsed  EndKind = "lapsed"  // its lease ran out
	EndBroken  EndKind = "broken"  // another member of its gang ended
	EndAlone   EndKind = "alone"   // the rest of its gang did not come in time
)

type (
	// InstanceState is what an instance does.
	InstanceState string

	// EndKind is the way a run ended.
	EndKind string

	// Worker is what a worker says of itself in the platform's store.
	Worker struct {
		ID       string
		Born     int64 // Unix time of its start in milliseconds; another value is another life
		Pool     string
		Address  string
		Zone     string
		Instance string // the machine it is a life of
		Draining bool
		Leaves   time.Duration // least time left while it drains
		Capacity Resources
		Labels   []string // kind and rack
	}

	// Instance is one of the platform's machines; a worker is one life of it.
	Instance struct {
		Name     string
		Pool     string
		State    InstanceState
		Zone     string
		Labels   []string
		Capacity Resources
		Worker   string // id of its worker, empty while it has none
	}

	// Wave is a group of instances whose upkeep is due.
	Wave struct {
		Number    int64
		Instances []string
		Within    time.Duration
		AtOnce    int
	}

	// RunningTask is a row of a worker's list of runs.
	RunningTask struct {
		Task       TaskID
		Run        int
		Checkpoint string
		Percent    int // at work when it is 100
		Load       int // tail latency in ms of a serving task, thousandths of a core of any other
	}

	// EndedTask is a row of a worker's list of ends.
	EndedTask struct {
		Number     int64 // counts from 1 in each life of the worker
		Task       TaskID
		Run        int
		How        EndKind
		Checkpoint string
	}

	// Report is a worker's answer to a look at its runs.
	Report struct {
		Born    int64 // life of the worker, see Worker.Born
		Clock   int64 // its steady clock in ms
		Running []RunningTask
		Ended   []EndedTask
	}

	// StartOrder tells a worker to run a task.
	StartOrder struct {
		Task       TaskID
		Run        int
		Spec       string
		Checkpoint string
		Ticket     string
		Deadline   int64 // ms on the worker's clock until which all its runs are leased
		Token      int64 // fencing token of the sender
	}
)

// Rack returns the label that names the worker's rack: the last one.
func Rack(labels []string) string {
	if len(labels) == 0 {
		return ""
	}
	return labels[len(labels)-1]
}

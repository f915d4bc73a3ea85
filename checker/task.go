package checker

import (
	"fmt"
	"time"

	"github.com/coltsfootlever/coltsfootlever/mover"
	"github.com/coltsfootlever/coltsfootlever/parser"
)

// Outcomes of an execution that the checker distinguishes.
const (
	Done   = "done"   // completed
	Failed = "failed" // the task itself reported a failure
)

type (
	// Execution is one execution of a task on a worker. End is zero while it
	// runs.
	Execution struct {
		Job        string // ID of the job whose body it carries
		Task       string
		Attempt    int
		Instance   string // ID of the worker's instance
		Owner      string // member that started it
		Team       string
		Queue      string
		Name       string // Idempotency-Key
		Idempotent bool
		Slots      int
		Start      time.Time
		End        time.Time
		Outcome    string // Done, Failed or any other outcome; empty when the worker crashed
	}

	// executionID identifies a running execution.
	executionID struct {
		instance string
		task     string
		number   int
	}

	// requestName is the name (Idempotency-Key) of a request within its team.
	requestName struct{ team, name string }

	// nameHistory counts and describes the executions under one request name.
	nameHistory struct {
		starts int
		task   string // ID of the task started last
		done   bool
		failed bool
	}
)

// ExecutionObserved records and checks the start of an execution or, with End
// set, its end.
func (c *Checker) ExecutionObserved(x Execution) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := executionID{x.Instance, x.Task, x.Attempt}
	if !x.End.IsZero() {
		c.executionEnded(key, x)
		return
	}
	c.running[key] = x
	c.runningSlots[x.Team] += x.Slots
	c.checkLimit(x.Team, "task "+x.Task+" started by "+x.Owner)
	c.checkPoolAndOwner(x)
	c.checkNotLeaving(x)
	c.checkAtMostOnce(x)
	c.checkRequest(x)
}

// TaskThrottled records that a worker continues a task on half of its slots,
// rounded up.
func (c *Checker) TaskThrottled(instance, task string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, x := range c.running {
		if key.instance == instance && key.task == task {
			left := (x.Slots + 1) / 2
			c.runningSlots[x.Team] -= x.Slots - left
			x.Slots = left
			c.running[key] = x
		}
	}
}

func (c *Checker) executionEnded(key executionID, x Execution) {
	began, running := c.running[key]
	if !running {
		return
	}
	delete(c.running, key)
	c.runningSlots[x.Team] -= began.Slots
	if x.Outcome == "" {
		c.lastFault = x.End
	}
	w := c.historyOfExecution(x)
	w.done = w.done || x.Outcome == Done
	w.failed = w.failed || x.Outcome == Failed
	if j := c.jobs[x.Job]; j != nil {
		j.done = j.done || x.Outcome == Done
		j.failed = j.failed || x.Outcome == Failed
	}
}

// historyOfExecution returns the history of the request name of x. An execution
// without a request name is filed under its task ID.
func (c *Checker) historyOfExecution(x Execution) *nameHistory {
	key := requestName{x.Team, x.Name}
	if x.Name == "" {
		key = requestName{x.Team, "task " + x.Task}
	}
	w := c.workByName[key]
	if w == nil {
		w = &nameHistory{}
		c.workByName[key] = w
	}
	return w
}

func (c *Checker) checkLimit(team, what string) {
	running, limit := c.runningSlots[team], c.accounts[team].InForce
	c.require(running <= limit, Limit, "team %s runs %d slots, more than its limit in force of %d: %s", team, running, limit, what)
}

// checkPoolAndOwner checks that x runs in the pool of its queue and was started
// by the member that owns the instance.
func (c *Checker) checkPoolAndOwner(x Execution) {
	i := c.instances[x.Instance]
	c.require(i.Owner == x.Owner, OnePool, "task %s was started on %s by %s, but its owner is %q", x.Task, x.Instance, x.Owner, i.Owner)
	for _, set := range c.rules {
		if q, ok := findQueue(set.Rules, x.Queue); ok && q.Pool == i.Pool {
			return
		}
	}
	c.require(false, OnePool, "task %s of queue %s was started on %s of pool %q, which is not the queue's pool", x.Task, x.Queue, x.Instance, i.Pool)
}

// checkNotLeaving checks that no task starts on an instance that has been
// leaving for longer than LeavingTimeLimit. The time starts again when a fault of
// the entry that started the task ends.
func (c *Checker) checkNotLeaving(x Execution) {
	e := c.entryState(entryOfMember(x.Owner))
	if e.activeFaults > 0 {
		return
	}
	for what, since := range map[string]time.Time{"list": c.unlistedSince[x.Instance], "record": c.drainedSince[x.Instance]} {
		known := laterTime(since, e.lastFaultEnd)
		late := !since.IsZero() && x.Start.Sub(known) > LeavingTimeLimit
		c.require(!late, Leaving, "task %s was started by %s on %s, which by its %s had been leaving for %s", x.Task, x.Owner, x.Instance, what, x.Start.Sub(since))
	}
}

func (c *Checker) checkAtMostOnce(x Execution) {
	w := c.historyOfExecution(x)
	w.starts++
	again := w.starts > 1 && !x.Idempotent
	c.require(!again, AtMostOnce, "the request named %q of team %s was started %d times: as task %s, then as %s by %s", x.Name, x.Team, w.starts, w.task, x.Task, x.Owner)
	w.task = x.Task
}

// describeTaskOn describes a task that runs on the instance. It returns "" if
// there is none.
func (c *Checker) describeTaskOn(instance string) string {
	for key, x := range c.running {
		if key.instance == instance {
			return fmt.Sprintf("%s (started by %s at %s)", x.Task, x.Owner, x.Start.Format(time.TimeOnly))
		}
	}
	return ""
}

// InstancesListed records the IDs of the live instances in the instance list, as
// entries can read it from now on.
func (c *Checker) InstancesListed(live []string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	listed := make(map[string]bool, len(live))
	for _, id := range live {
		listed[id] = true
		delete(c.unlistedSince, id)
	}
	for id := range c.instances {
		if _, known := c.unlistedSince[id]; !known && !listed[id] {
			c.unlistedSince[id] = now
		}
	}
}

// instanceStored records and checks a change in an instance's record.
func (c *Checker) instanceStored(id string, next mover.Instance, deleted bool, now time.Time) {
	old, known := c.instances[id]
	task := c.describeTaskOn(id)
	if deleted {
		c.require(task == "", OnePool, "the record of %s was deleted while task %s runs on it", id, task)
		delete(c.instances, id)
		delete(c.drainedSince, id)
		return
	}
	c.instances[id] = next
	c.require(next.ID == id && next.Pool != "", OnePool, "the record of instance %s names instance %q and pool %q", id, next.ID, next.Pool)
	if known {
		c.require(old.Pool == next.Pool || task == "", OnePool, "%s was moved from pool %s to %s while task %s runs on it", id, old.Pool, next.Pool, task)
		c.require(old.Owner == next.Owner || task == "", OnePool, "the owner of %s changed from %q to %q while task %s runs on it", id, old.Owner, next.Owner, task)
		c.require(old.Epoch < next.Epoch, OnePool, "the epoch of %s did not grow: it went from %d to %d", id, old.Epoch, next.Epoch)
	}
	reboots := next.Phase == mover.Rebooting && old.Phase != mover.Rebooting
	c.require(!reboots || task == "", PlannedStop, "%s was released for a reboot while task %s runs on it", id, task)
	c.updateDrainedSince(id, next.Phase, now)
	c.checkAbsenceCounted(next)
}

func (c *Checker) updateDrainedSince(id string, phase mover.Phase, now time.Time) {
	if phase == mover.Serving {
		delete(c.drainedSince, id)
		return
	}
	if c.drainedSince[id].IsZero() {
		c.drainedSince[id] = now
	}
}

func findQueue(rules *parser.Rules, queue string) (parser.Queue, bool) {
	for _, q := range rules.Queues {
		if q.Name == queue {
			return q, true
		}
	}
	return parser.Queue{}, false
}

func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

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
		attempt  int
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

// CheckExecution records and checks the start of an execution or, with End
// set, its end.
func (c *Checker) CheckExecution(x Execution) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := executionID{x.Instance, x.Task, x.Attempt}
	if !x.End.IsZero() {
		c.recordExecutionEnd(key, x)
		return
	}
	c.running[key] = x
	c.runningSlots[x.Team] += x.Slots
	c.checkLimitInForce(x.Team, "task "+x.Task+" started by "+x.Owner)
	c.checkPoolAndOwner(x)
	c.checkInstanceNotLeaving(x)
	c.checkAtMostOnce(x)
	c.checkRequestOfExecution(x)
}

// RecordThrottledTask records that a worker continues a task on half of its
// slots, rounded up.
func (c *Checker) RecordThrottledTask(instanceID, taskID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, x := range c.running {
		if key.instance == instanceID && key.task == taskID {
			remaining := (x.Slots + 1) / 2
			c.runningSlots[x.Team] -= x.Slots - remaining
			x.Slots = remaining
			c.running[key] = x
		}
	}
}

// recordExecutionEnd records the outcome of an execution and frees its slots.
func (c *Checker) recordExecutionEnd(key executionID, x Execution) {
	start, running := c.running[key]
	if !running {
		return
	}
	delete(c.running, key)
	c.runningSlots[x.Team] -= start.Slots
	if x.Outcome == "" {
		c.lastFault = x.End
	}
	history := c.nameHistoryOfExecution(x)
	history.done = history.done || x.Outcome == Done
	history.failed = history.failed || x.Outcome == Failed
	if j := c.jobs[x.Job]; j != nil {
		j.done = j.done || x.Outcome == Done
		j.failed = j.failed || x.Outcome == Failed
	}
}

// nameHistoryOfExecution returns the history of the request name of x. An
// execution without a request name is filed under its task ID.
func (c *Checker) nameHistoryOfExecution(x Execution) *nameHistory {
	key := requestName{x.Team, x.Name}
	if x.Name == "" {
		key = requestName{x.Team, "task " + x.Task}
	}
	history := c.historyByName[key]
	if history == nil {
		history = &nameHistory{}
		c.historyByName[key] = history
	}
	return history
}

// checkLimitInForce checks that a team runs no more slots than its limit in
// force. The cause is the event after which it is checked.
func (c *Checker) checkLimitInForce(team, cause string) {
	running, limit := c.runningSlots[team], c.accounts[team].InForce
	c.require(running <= limit, Limit, "team %s runs %d slots, more than its limit in force of %d: %s", team, running, limit, cause)
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

// checkInstanceNotLeaving checks that no task starts on an instance that has been
// leaving for longer than LeavingTimeLimit. The time starts again when a fault of
// the entry that started the task ends.
func (c *Checker) checkInstanceNotLeaving(x Execution) {
	e := c.entryState(entryOfMember(x.Owner))
	if e.activeFaults > 0 {
		return
	}
	for source, since := range map[string]time.Time{"list": c.unlistedSince[x.Instance], "record": c.notServingSince[x.Instance]} {
		known := laterTime(since, e.lastFaultEnd)
		late := !since.IsZero() && x.Start.Sub(known) > LeavingTimeLimit
		c.require(!late, Leaving, "task %s was started by %s on %s, which according to its %s had been leaving for %s", x.Task, x.Owner, x.Instance, source, x.Start.Sub(since))
	}
}

// checkAtMostOnce counts the start of x and checks that it is the first one under
// its request name, unless x is idempotent.
func (c *Checker) checkAtMostOnce(x Execution) {
	history := c.nameHistoryOfExecution(x)
	history.starts++
	again := history.starts > 1 && !x.Idempotent
	c.require(!again, AtMostOnce, "the request named %q of team %s was started %d times: as task %s, then as %s by %s", x.Name, x.Team, history.starts, history.task, x.Task, x.Owner)
	history.task = x.Task
}

// describeRunningTask describes a task that runs on the instance with the given
// ID. It returns "" if none runs there.
func (c *Checker) describeRunningTask(instanceID string) string {
	for key, x := range c.running {
		if key.instance == instanceID {
			return fmt.Sprintf("%s (started by %s at %s)", x.Task, x.Owner, x.Start.Format(time.TimeOnly))
		}
	}
	return ""
}

// RecordListedInstances records the IDs of the live instances in the instance
// list, as entries can read it from now on.
func (c *Checker) RecordListedInstances(live []string, now time.Time) {
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

// checkStoredInstance records and checks a change in an instance's record.
func (c *Checker) checkStoredInstance(id string, next mover.Instance, deleted bool, now time.Time) {
	old, known := c.instances[id]
	task := c.describeRunningTask(id)
	if deleted {
		c.require(task == "", OnePool, "the record of %s was deleted while task %s runs on it", id, task)
		delete(c.instances, id)
		delete(c.notServingSince, id)
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
	c.updateNotServingSince(id, next.Phase, now)
	c.checkAbsenceRecorded(next)
}

// updateNotServingSince records since when an instance has not been in the serving
// phase.
func (c *Checker) updateNotServingSince(id string, phase mover.Phase, now time.Time) {
	if phase == mover.Serving {
		delete(c.notServingSince, id)
		return
	}
	if c.notServingSince[id].IsZero() {
		c.notServingSince[id] = now
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

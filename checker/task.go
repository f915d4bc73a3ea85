package checker

import (
	"fmt"
	"time"

	"github.com/coltsfootlever/coltsfootlever/mover"
	"github.com/coltsfootlever/coltsfootlever/parser"
)

// Outcomes of an execution that the checker tells apart.
const (
	Done   = "done"   // ran to its end
	Failed = "failed" // the task itself reported a failure
)

type (
	// Execution is one run of a task on a worker. End is zero at its start.
	Execution struct {
		Job        string // of the requests whose body it carries
		Task       string
		Attempt    int
		Instance   string // of the worker
		Owner      string // member that started it
		Team       string
		Queue      string
		Name       string // Idempotency-Key
		Idempotent bool
		Slots      int
		Start      time.Time
		End        time.Time
		Outcome    string // Done, Failed or another way to end; empty when the worker crashed
	}

	// attempt identifies a running execution.
	attempt struct {
		instance string
		task     string
		number   int
	}

	// name is a request name within its team.
	name struct{ team, name string }

	// work is what ran under one name.
	work struct {
		starts int
		task   string // last started
		done   bool
		failed bool
	}
)

// Execution takes the start or, with End set, the end of an execution.
func (c *Checker) Execution(x Execution) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := attempt{x.Instance, x.Task, x.Attempt}
	if !x.End.IsZero() {
		c.taskEnded(key, x)
		return
	}
	c.tasks[key] = x
	c.teams[x.Team] += x.Slots
	c.checkLimit(x.Team, "task "+x.Task+" started by "+x.Owner)
	c.checkPlace(x)
	c.checkLeaving(x)
	c.checkOnce(x)
	c.checkRequest(x)
}

// Throttled tells that a worker goes on with a task on half of its slots,
// rounded up.
func (c *Checker) Throttled(instance, task string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, x := range c.tasks {
		if key.instance == instance && key.task == task {
			left := (x.Slots + 1) / 2
			c.teams[x.Team] -= x.Slots - left
			x.Slots = left
			c.tasks[key] = x
		}
	}
}

func (c *Checker) taskEnded(key attempt, x Execution) {
	began, running := c.tasks[key]
	if !running {
		return
	}
	delete(c.tasks, key)
	c.teams[x.Team] -= began.Slots
	if x.Outcome == "" {
		c.fault = x.End
	}
	w := c.work(x)
	w.done = w.done || x.Outcome == Done
	w.failed = w.failed || x.Outcome == Failed
	if j := c.jobs[x.Job]; j != nil {
		j.done = j.done || x.Outcome == Done
		j.failed = j.failed || x.Outcome == Failed
	}
}

// work returns what ran under the name of x. Work without a name is known by
// its task.
func (c *Checker) work(x Execution) *work {
	key := name{x.Team, x.Name}
	if x.Name == "" {
		key = name{x.Team, "task " + x.Task}
	}
	w := c.names[key]
	if w == nil {
		w = &work{}
		c.names[key] = w
	}
	return w
}

func (c *Checker) checkLimit(team, what string) {
	running, limit := c.teams[team], c.accounts[team].InForce
	c.require(running <= limit, Limit, "team %s runs %d slots above its limit in force of %d: %s", team, running, limit, what)
}

// checkPlace requires that x runs in its queue's pool and was started by the
// one member that owns the instance.
func (c *Checker) checkPlace(x Execution) {
	i := c.instances[x.Instance]
	c.require(i.Owner == x.Owner, OnePool, "task %s was started on %s by %s, but its owner is %q", x.Task, x.Instance, x.Owner, i.Owner)
	for _, set := range c.rules {
		if q, ok := findQueue(set.Rules, x.Queue); ok && q.Pool == i.Pool {
			return
		}
	}
	c.require(false, OnePool, "task %s of queue %s was started on %s of pool %q", x.Task, x.Queue, x.Instance, i.Pool)
}

// checkLeaving requires that no work starts on an instance that has been
// leaving for long enough to be known.
func (c *Checker) checkLeaving(x Execution) {
	e := c.entry(entryOf(x.Owner))
	if e.faults > 0 {
		return
	}
	for what, since := range map[string]time.Time{"list": c.left[x.Instance], "record": c.drained[x.Instance]} {
		known := later(since, e.recovered)
		late := !since.IsZero() && x.Start.Sub(known) > LeavingBound
		c.require(!late, Leaving, "task %s was started by %s on %s, leaving by its %s since %s", x.Task, x.Owner, x.Instance, what, x.Start.Sub(since))
	}
}

func (c *Checker) checkOnce(x Execution) {
	w := c.work(x)
	w.starts++
	again := w.starts > 1 && !x.Idempotent
	c.require(!again, AtMostOnce, "%q of team %s was started %d times: task %s, then %s by %s", x.Name, x.Team, w.starts, w.task, x.Task, x.Owner)
	w.task = x.Task
}

// runningOn describes a task that runs on the instance, or returns "".
func (c *Checker) runningOn(instance string) string {
	for key, x := range c.tasks {
		if key.instance == instance {
			return fmt.Sprintf("%s (started by %s at %s)", x.Task, x.Owner, x.Start.Format(time.TimeOnly))
		}
	}
	return ""
}

// Listed takes the instance list as entries can read it from now on.
func (c *Checker) Listed(live []string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	listed := make(map[string]bool, len(live))
	for _, id := range live {
		listed[id] = true
		delete(c.left, id)
	}
	for id := range c.instances {
		if _, known := c.left[id]; !known && !listed[id] {
			c.left[id] = now
		}
	}
}

// instance takes a new state of an instance's record.
func (c *Checker) instance(id string, next mover.Instance, deleted bool, now time.Time) {
	old, known := c.instances[id]
	task := c.runningOn(id)
	if deleted {
		c.require(task == "", OnePool, "the record of %s was deleted while task %s runs on it", id, task)
		delete(c.instances, id)
		delete(c.drained, id)
		return
	}
	c.instances[id] = next
	c.require(next.ID == id && next.Pool != "", OnePool, "record %s names instance %q and pool %q", id, next.ID, next.Pool)
	if known {
		c.require(old.Pool == next.Pool || task == "", OnePool, "%s went from pool %s to %s while task %s runs on it", id, old.Pool, next.Pool, task)
		c.require(old.Owner == next.Owner || task == "", OnePool, "%s went from owner %q to %q while task %s runs on it", id, old.Owner, next.Owner, task)
		c.require(old.Epoch < next.Epoch, OnePool, "%s went from epoch %d to %d", id, old.Epoch, next.Epoch)
	}
	reboots := next.Phase == mover.Rebooting && old.Phase != mover.Rebooting
	c.require(!reboots || task == "", PlannedStop, "%s is handed over for a reboot while task %s runs on it", id, task)
	c.markDrained(id, next.Phase, now)
	c.checkAbsent(next)
}

func (c *Checker) markDrained(id string, phase mover.Phase, now time.Time) {
	if phase == mover.Serving {
		delete(c.drained, id)
		return
	}
	if c.drained[id].IsZero() {
		c.drained[id] = now
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

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

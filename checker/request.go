package checker

import (
	"bytes"
	"time"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/parser"
)

type (
	// Request is one submission by a caller.
	Request struct {
		ID         string // unique for each submission
		Job        string // the same for submissions of the same body under one name
		Entry      string // entry instance that it was sent to
		Queue      string
		Name       string // Idempotency-Key
		Key        string // identity of the key shown; empty for none
		Idempotent bool
		Want       []byte // the whole answer to this request
		At         time.Time
	}

	// Answer is the end of a submission as its caller saw it.
	Answer struct {
		Request string
		Task    string // the job's identity in the answer; empty when it had none
		Verdict classifier.Verdict
		Code    classifier.Code // empty for a whole answer
		Cut     bool            // the connection broke without an answer
		Output  []byte
		At      time.Time
	}

	request struct {
		Request
		ended bool
	}

	// job is what is known of all submissions of one job.
	job struct {
		requests []*request
		open     int    // requests that were not refused as not-run
		started  string // last started task
		done     bool
		failed   bool
	}
)

// earlyCodes are refusals given before the name of a request is looked up.
// They speak of the submission alone.
var earlyCodes = map[classifier.Code]bool{
	classifier.BadRequest:   true,
	classifier.Unauthorized: true,
	classifier.Forbidden:    true,
	classifier.UnknownQueue: true,
	classifier.Isolated:     true,
	classifier.Unready:      true,
	classifier.Leaving:      true,
	classifier.QueueFull:    true,
	classifier.HomeAbsent:   true,
	classifier.NameMismatch: true,
	classifier.PeerLost:     true,
	classifier.Cancelled:    true,
}

// doubtful are doubts that need no fault: the work takes longer than its caller
// waits, or its name is old.
var doubtful = map[classifier.Code]bool{
	classifier.DeadlineOver: true,
	classifier.Cancelled:    true,
	classifier.Repeated:     true,
}

// Submitted takes a request at the moment it is sent.
func (c *Checker) Submitted(r Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	submitted := &request{Request: r}
	c.requests[r.ID] = submitted
	j := c.jobs[r.Job]
	if j == nil {
		j = &job{}
		c.jobs[r.Job] = j
	}
	j.requests = append(j.requests, submitted)
	j.open++
}

// Answered takes the end of a request as its caller saw it.
func (c *Checker) Answered(a Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[a.Request]
	if r == nil {
		c.require(false, WholeAnswer, "answer to a request %q that nobody made", a.Request)
		return
	}
	r.ended = true
	c.checkCut(r, a)
	switch a.Verdict {
	case classifier.NotRun:
		c.checkRefusal(r, a)
	case classifier.Ran:
		c.checkAnswer(r, a)
		c.checkKey([]*request{r}, a.At, "was answered")
	}
}

// checkRequest requires that x runs for a request that may have it run and
// that was not refused as not-run.
func (c *Checker) checkRequest(x Execution) {
	j := c.jobs[x.Job]
	if j == nil {
		c.require(false, KeyTeam, "task %s runs for no request", x.Task)
		return
	}
	j.started = x.Task
	c.started[x.Task] = true
	refused := c.refused[x.Task]
	c.require(refused == "", TrueRefusal, "request %s was refused as not-run and then started as task %s by %s", refused, x.Task, x.Owner)
	c.require(j.open > 0, TrueRefusal, "all requests of job %s were refused as not-run and then task %s was started by %s", x.Job, x.Task, x.Owner)
	c.checkTeam(j, x)
	c.checkKey(j.requests, x.Start, "was started")
}

// checkTeam requires that work runs in the queue that it was handed to and for
// the team of that queue.
func (c *Checker) checkTeam(j *job, x Execution) {
	r := j.requests[0]
	c.require(r.Queue == x.Queue, KeyTeam, "request %s for queue %s runs in queue %s", r.ID, r.Queue, x.Queue)
	for _, set := range c.inForce(r.At.Add(-RulesBound), x.Start) {
		if q, ok := findQueue(set.Rules, x.Queue); ok && q.Team == x.Team {
			return
		}
	}
	c.require(false, KeyTeam, "task %s of queue %s runs for team %s", x.Task, x.Queue, x.Team)
}

// checkKey requires that the key of one of the requests was a key of the
// queue's team when the request was made, as late as its entry may have known.
func (c *Checker) checkKey(requests []*request, now time.Time, what string) {
	ever := false
	for _, r := range requests {
		for _, set := range c.inForce(r.At.Add(-RulesBound), now) {
			if admits(set.Rules, r) {
				return
			}
		}
		for _, set := range c.rules {
			ever = ever || admits(set.Rules, r)
		}
	}
	r := requests[0]
	if ever {
		c.require(false, WithdrawnKey, "request %s %s with key %q, withdrawn more than %s before it was made", r.ID, what, r.Key, RulesBound)
		return
	}
	c.require(false, KeyTeam, "request %s for queue %s %s with key %q", r.ID, r.Queue, what, r.Key)
}

func admits(rules *parser.Rules, r *request) bool {
	q, ok := findQueue(rules, r.Queue)
	if !ok {
		return false
	}
	if q.Open {
		return true
	}
	for _, k := range rules.Keys {
		if k.ID == r.Key && !k.Operator && k.Team == q.Team {
			return true
		}
	}
	return false
}

// checkRefusal requires that what was refused as not-run has not run. A refusal
// given after the name was looked up speaks of all that carries the name.
func (c *Checker) checkRefusal(r *request, a Answer) {
	j := c.jobs[r.Job]
	j.open--
	c.require(j.open > 0 || j.started == "", TrueRefusal, "all requests of job %s were refused as not-run, at last by %s, but task %s had started", r.Job, a.Code, j.started)
	if a.Task != "" {
		c.refused[a.Task] = r.ID
		c.require(!c.started[a.Task], TrueRefusal, "request %s was refused as not-run (%s) but task %s had started", r.ID, a.Code, a.Task)
	}
	if r.Idempotent || earlyCodes[a.Code] {
		return
	}
	w := c.workOf(r)
	c.require(w.starts == 0, TrueRefusal, "request %s was refused as not-run (%s) but its name %q had started as task %s", r.ID, a.Code, r.Name, w.task)
}

// workOf returns what ran under the name of a request.
func (c *Checker) workOf(r *request) work {
	var sum work
	for _, set := range c.rules {
		q, ok := findQueue(set.Rules, r.Queue)
		if !ok || r.Name == "" {
			continue
		}
		if w := c.names[name{q.Team, r.Name}]; w != nil {
			sum = *w
		}
	}
	return sum
}

// checkAnswer requires a whole answer of the request's own.
func (c *Checker) checkAnswer(r *request, a Answer) {
	w, j := c.workOf(r), c.jobs[r.Job]
	if a.Code != "" {
		c.require(w.failed || j.failed || w.done || j.done, WholeAnswer, "request %s was told that it ran (%s), but no run of it ended", r.ID, a.Code)
		return
	}
	c.require(w.done || j.done, WholeAnswer, "request %s was answered, but no run of it was done", r.ID)
	c.require(bytes.Equal(r.Want, a.Output), WholeAnswer, "request %s got %d bytes that are not its answer of %d bytes", r.ID, len(a.Output), len(r.Want))
}

// checkCut requires that a request is cut only when its entry crashed, and that
// an entry which stops as planned leaves no doubt when nothing else failed.
func (c *Checker) checkCut(r *request, a Answer) {
	e := c.entry(r.Entry)
	c.require(!a.Cut || e.crashed, PlannedStop, "request %s was cut by %s, which did not crash", r.ID, r.Entry)
	doubt := a.Verdict == classifier.MayHaveRun && !doubtful[a.Code]
	c.require(!doubt || !c.settled(r.At), PlannedStop, "request %s ended in doubt (%s) without any fault", r.ID, a.Code)
}

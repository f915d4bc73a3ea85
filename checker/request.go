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
		ID             string // unique for each submission
		Job            string // the same for submissions of the same body under one name
		Entry          string // entry instance that it was sent to
		Queue          string
		Name           string // Idempotency-Key
		Key            string // ID of the API key presented; empty for none
		Idempotent     bool
		ExpectedOutput []byte // complete output of a successful run
		At             time.Time
	}

	// Answer is the result of a submission as its caller saw it.
	Answer struct {
		Request          string
		Task             string // job ID in the answer; empty when it had none
		Verdict          classifier.Verdict
		Code             classifier.Code // empty for success
		ConnectionBroken bool            // the connection broke without an answer
		Output           []byte
		At               time.Time
	}

	request struct {
		Request
		answered bool
	}

	// job is the state of all submissions of one job.
	job struct {
		requests    []*request
		notRefused  int    // number of requests not refused as not-run
		lastStarted string // ID of the task started last
		done        bool
		failed      bool
	}
)

// refusalsBeforeNameLookup are the codes of refusals given before the name
// (Idempotency-Key) of a request is looked up. Such a refusal says nothing about
// other submissions under the same name.
var refusalsBeforeNameLookup = map[classifier.Code]bool{
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

// unknownOutcomeCodesWithoutFault are the codes that may come with the verdict
// may-have-run although nothing failed: the task takes longer than its caller
// waits, the caller cancels, or the name (Idempotency-Key) of the request is
// old.
var unknownOutcomeCodesWithoutFault = map[classifier.Code]bool{
	classifier.DeadlineOver: true,
	classifier.Cancelled:    true,
	classifier.Repeated:     true,
}

// RecordRequest records a request at the moment it is sent.
func (c *Checker) RecordRequest(r Request) {
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
	j.notRefused++
}

// CheckAnswer records and checks the result of a request as its caller saw
// it.
func (c *Checker) CheckAnswer(a Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[a.Request]
	if r == nil {
		c.require(false, WholeAnswer, "answer to a request %q that was never submitted", a.Request)
		return
	}
	r.answered = true
	c.checkInterruption(r, a)
	switch a.Verdict {
	case classifier.NotRun:
		c.checkRefusal(r, a)
	case classifier.Ran:
		c.checkRanAnswer(r, a)
		c.checkAPIKey([]*request{r}, a.At, "was answered")
	}
}

// checkRequestOfExecution checks that x runs for a submitted request that was
// not refused as not-run, and that the key of the request permits it.
func (c *Checker) checkRequestOfExecution(x Execution) {
	j := c.jobs[x.Job]
	if j == nil {
		c.require(false, KeyTeam, "task %s runs for no request", x.Task)
		return
	}
	j.lastStarted = x.Task
	c.startedTasks[x.Task] = true
	refused := c.refusedTasks[x.Task]
	c.require(refused == "", TrueRefusal, "request %s was refused as not-run and then started as task %s by %s", refused, x.Task, x.Owner)
	c.require(j.notRefused > 0, TrueRefusal, "all requests of job %s were refused as not-run and then task %s was started by %s", x.Job, x.Task, x.Owner)
	c.checkQueueAndTeam(j, x)
	c.checkAPIKey(j.requests, x.Start, "was started")
}

// checkQueueAndTeam checks that x runs in the queue that its request was
// submitted to, and for the team that owns the queue.
func (c *Checker) checkQueueAndTeam(j *job, x Execution) {
	r := j.requests[0]
	c.require(r.Queue == x.Queue, KeyTeam, "request %s was submitted to queue %s but runs in queue %s", r.ID, r.Queue, x.Queue)
	for _, set := range c.ruleSetsInForce(r.At.Add(-RulesTimeLimit), x.Start) {
		if q, ok := findQueue(set.Rules, x.Queue); ok && q.Team == x.Team {
			return
		}
	}
	c.require(false, KeyTeam, "task %s of queue %s runs for team %s, which does not own the queue", x.Task, x.Queue, x.Team)
}

// checkAPIKey checks that the API key of one of the requests belonged to the
// queue's team at some time between RulesTimeLimit before the request and now. A
// key withdrawn shortly before the request passes, because the entry may not
// know yet that it was.
func (c *Checker) checkAPIKey(requests []*request, now time.Time, what string) {
	everPermitted := false
	for _, r := range requests {
		for _, set := range c.ruleSetsInForce(r.At.Add(-RulesTimeLimit), now) {
			if keyPermitsRequest(set.Rules, r) {
				return
			}
		}
		for _, set := range c.rules {
			everPermitted = everPermitted || keyPermitsRequest(set.Rules, r)
		}
	}
	r := requests[0]
	if everPermitted {
		c.require(false, WithdrawnKey, "request %s %s with key %q, which had been withdrawn more than %s before the request", r.ID, what, r.Key, RulesTimeLimit)
		return
	}
	c.require(false, KeyTeam, "request %s for queue %s %s with key %q, which never was a key of the queue's team", r.ID, r.Queue, what, r.Key)
}

// keyPermitsRequest reports whether the rules let the API key of r submit to the
// queue of r.
func keyPermitsRequest(rules *parser.Rules, r *request) bool {
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

// checkRefusal checks that a request refused as not-run has not run. A refusal
// given after the name lookup applies to all submissions under that name.
func (c *Checker) checkRefusal(r *request, a Answer) {
	j := c.jobs[r.Job]
	j.notRefused--
	c.require(j.notRefused > 0 || j.lastStarted == "", TrueRefusal, "all requests of job %s were refused as not-run, the last with code %s, but task %s had started", r.Job, a.Code, j.lastStarted)
	if a.Task != "" {
		c.refusedTasks[a.Task] = r.ID
		c.require(!c.startedTasks[a.Task], TrueRefusal, "request %s was refused as not-run (%s) but task %s had started", r.ID, a.Code, a.Task)
	}
	if r.Idempotent || refusalsBeforeNameLookup[a.Code] {
		return
	}
	history := c.nameHistoryOfRequest(r)
	c.require(history.starts == 0, TrueRefusal, "request %s was refused as not-run (%s) but its name %q had started as task %s", r.ID, a.Code, r.Name, history.task)
}

// nameHistoryOfRequest returns a copy of the execution history of a request's
// name. The history is empty if the request has no name or nothing ran under
// the name.
func (c *Checker) nameHistoryOfRequest(r *request) nameHistory {
	var found nameHistory
	for _, set := range c.rules {
		q, ok := findQueue(set.Rules, r.Queue)
		if !ok || r.Name == "" {
			continue
		}
		if history := c.historyByName[requestName{q.Team, r.Name}]; history != nil {
			found = *history
		}
	}
	return found
}

// checkRanAnswer checks that a request answered as run has in fact run, and that
// a successful answer has the complete output expected for this request.
func (c *Checker) checkRanAnswer(r *request, a Answer) {
	history, j := c.nameHistoryOfRequest(r), c.jobs[r.Job]
	if a.Code != "" {
		c.require(history.failed || j.failed || history.done || j.done, WholeAnswer, "request %s was answered with the verdict ran (%s), but no execution of it ended", r.ID, a.Code)
		return
	}
	c.require(history.done || j.done, WholeAnswer, "request %s was answered as successful, but no execution of it completed", r.ID)
	c.require(bytes.Equal(r.ExpectedOutput, a.Output), WholeAnswer, "request %s got an output of %d bytes that differs from the expected %d bytes", r.ID, len(a.Output), len(r.ExpectedOutput))
}

// checkInterruption checks that the connection of a request breaks only when its
// entry crashed, and that no request gets the verdict may-have-run without a
// fault. A planned stop does not count as a fault.
func (c *Checker) checkInterruption(r *request, a Answer) {
	e := c.entryState(r.Entry)
	c.require(!a.ConnectionBroken || e.crashed, PlannedStop, "the connection of request %s was broken by %s, which did not crash", r.ID, r.Entry)
	unknownOutcome := a.Verdict == classifier.MayHaveRun && !unknownOutcomeCodesWithoutFault[a.Code]
	c.require(!unknownOutcome || !c.faultFreeSince(r.At), PlannedStop, "request %s got the verdict may-have-run (%s) without any fault", r.ID, a.Code)
}

package soaker

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/platform"
	"github.com/coltsfootlever/coltsfootlever/supervisor"
)

const (
	callTimeout        = 3 * time.Second        // time that callers wait for a response
	submitAttempts     = 5                      // maximum number of attempts to submit a job
	retryPause         = 400 * time.Millisecond // pause between two attempts to submit a job, unless the response has a Retry-After header
	meanJobInterval    = 150 * time.Millisecond // mean time between two jobs of a caller
	stateInterval      = 300 * time.Millisecond // interval between two queries for the states of jobs
	maxResponseBytes   = 1 << 16
	callersPerCustomer = 2
	burstFactor        = 2 // callers submit so many times as many jobs during a JobBurst fault, all of them for the queue with an advice service
)

// caller submits jobs and queries their states until ctx ends. It reuses its
// connections as long as the entry nodes keep them open.
type caller struct {
	customer string
	entries  []*entryNode
	checker  *Checker
	fleet    interface {
		SuccessfulRuns(id modeler.TaskID) int
	}
	client *http.Client
	rng    *rand.Rand
	number int
	jobs   int
	bursts *faultCounter // JobBurst faults

	meanInterval time.Duration // between two jobs
}

// run submits random jobs one after another until ctx ends.
func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		j := c.randomJob()
		c.checker.recordSubmission(j)
		c.checker.recordResult(j.ID, c.submit(ctx, j))
		pause := time.Duration(c.rng.ExpFloat64() * float64(c.meanInterval))
		if c.bursts.isOn() {
			pause /= burstFactor
		}
		_ = supervisor.Pause(ctx, pause) // an error means that ctx has ended, which the loop checks
	}
}

// randomJob returns a job of one or two steps.
func (c *caller) randomJob() modeler.Job {
	id := c.nextID()
	for c.bursts.isOn() && !isAdvised(id) {
		id = c.nextID()
	}
	j := modeler.Job{ID: id, Customer: c.customer, Spec: "work of " + c.customer}
	j.Queue, _ = queueOf(id)
	for i := range 1 + c.rng.IntN(2) {
		s := modeler.Step{
			Count: 1 + c.rng.IntN(4), Estimate: 500 * time.Millisecond,
			Need: modeler.Resources{CPU: 200 + 100*c.rng.Int64N(8), Memory: 100},
		}
		if i > 0 {
			s.After = []int{i - 1}
		}
		j.Steps = append(j.Steps, s)
	}
	return j
}

// nextID returns the ID of the next job.
func (c *caller) nextID() string {
	c.jobs++
	return fmt.Sprintf("%04x%012x", c.number, c.jobs)
}

// submit sends a job until it is accepted or the attempts are used up. Each attempt
// goes to a random entry node, which may be the same as before.
func (c *caller) submit(ctx context.Context, j modeler.Job) submitResult {
	raw, err := platform.EncodeJob(j)
	if err != nil {
		c.checker.AddBreach("job %s not encoded: %v", j.ID, err)
		return unknown
	}
	outcome := refused
	for range submitAttempts {
		status, pause, _ := c.call(ctx, http.MethodPost, j.ID, raw)
		switch {
		case status/100 == 2:
			return accepted
		case status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests:
			outcome = unknown // the job may be stored, also after the response
		}
		if supervisor.Pause(ctx, pause) != nil {
			return unknown
		}
	}
	return outcome
}

// checkJobState queries the state of a job at a random entry node and checks the
// response.
func (c *caller) checkJobState(ctx context.Context, id string, steps []modeler.Step) {
	queryTime := time.Now()
	status, _, body := c.call(ctx, http.MethodGet, id, nil)
	switch status {
	case http.StatusOK:
		s, err := platform.ParseState(body)
		if err != nil {
			c.checker.AddBreach("job %s: %v", id, err)
			return
		}
		c.checker.addState(id, s, c.allTasksDone(id, steps))
	case http.StatusGone:
		c.checker.checkUnknownJob(id, queryTime)
	}
}

// allTasksDone reports whether all tasks of a job have ended as done.
func (c *caller) allTasksDone(id string, steps []modeler.Step) bool {
	for i, s := range steps {
		for n := range s.Count {
			if c.fleet.SuccessfulRuns(modeler.TaskID{Job: id, Step: i, Index: n}) == 0 {
				return false
			}
		}
	}
	return true
}

// call sends one request to a random entry node. The status is 0 when no complete
// response arrives. pause is the time to wait before the next attempt: the
// Retry-After header of the response, or retryPause without one.
func (c *caller) call(ctx context.Context, method, id string, body []byte) (status int, pause time.Duration, responseBody []byte) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e := c.entries[c.rng.IntN(len(c.entries))]
	_, prefix := queueOf(id)
	r, err := http.NewRequestWithContext(ctx, method, "http://"+e.callersAddress+prefix+id, bytes.NewReader(body))
	if err != nil {
		c.checker.AddBreach("call not made: %v", err)
		return 0, retryPause, nil
	}
	r.Host = queueHost
	r.Header.Set("Authorization", "Bearer "+customerKeyPrefix+c.customer)
	r.Header.Set(platform.HeaderDeadlineMs, strconv.FormatInt(callTimeout.Milliseconds(), 10))
	res, err := c.client.Do(r)
	if err != nil {
		return 0, retryPause, nil // without a response, the result of a submission is unknown
	}
	defer func() { _ = res.Body.Close() }() // the body has been read, so an error here does not matter
	responseBody, err = io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return 0, retryPause, nil
	}
	pause = retryPause
	if s, err := strconv.Atoi(res.Header.Get("Retry-After")); err == nil {
		pause = time.Duration(s) * time.Second
	}
	return res.StatusCode, pause, responseBody
}

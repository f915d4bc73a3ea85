package soaker

import (
	"fmt"
	"sync"
	"time"

	"github.com/coltsfootlever/coltsfootlever/modeler"
)

// The result of submitting a job, as its caller knows it.
const (
	unknown  submitResult = iota // no response, or one that does not say whether the job is stored
	accepted                     // a response with status 2xx
	refused                      // every attempt was refused
)

const (
	maxVisibilityDelay = 3 * time.Second // guaranteed by the platform's documentation: every entry node knows an accepted job after this time
	minCrashes         = 2               // from the platform's documentation: a task may be given up after so many crashes under it
)

type (
	submitResult int

	// Checker records the responses to callers and finds breaches of the
	// guarantees given to callers and customers.
	Checker struct {
		mu       sync.Mutex
		jobs     map[string]*jobRecord
		breaches []string
		lostRuns func(id modeler.TaskID) int // number of runs of a task that ended with their worker
		steps    sync.Map                    // steps of the jobs by ID, for needOf, which is called while the fleet is locked
	}

	jobRecord struct {
		modeler.Job
		result     submitResult
		resultTime time.Time // time of result
		state      modeler.State
	}

	// Counts are the numbers of jobs of a run by outcome.
	Counts struct {
		Submitted int `json:"submitted"`
		Accepted  int `json:"accepted"`
		Refused   int `json:"refused"`
		Unknown   int `json:"unknown"`
		Completed int `json:"completed"`
		GivenUp   int `json:"given-up"`
	}
)

// NewChecker returns a checker without jobs.
func NewChecker() *Checker {
	return &Checker{jobs: make(map[string]*jobRecord), lostRuns: func(modeler.TaskID) int { return 0 }}
}

// AddBreach records the breach of a guarantee.
func (c *Checker) AddBreach(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.breaches = append(c.breaches, fmt.Sprintf(format, args...))
}

// Breaches returns the recorded breaches.
func (c *Checker) Breaches() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.breaches
}

// recordSubmission records a job before the first attempt to submit it.
func (c *Checker) recordSubmission(j modeler.Job) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[j.ID] = &jobRecord{Job: j}
	c.steps.Store(j.ID, j.Steps)
}

// recordResult records the result of submitting a job.
func (c *Checker) recordResult(id string, s submitResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	j.result, j.resultTime = s, time.Now()
}

// addState records and checks a job state that an entry node has reported.
// allTasksDone says whether all tasks of the job have ended as done.
func (c *Checker) addState(id string, s modeler.State, allTasksDone bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	switch {
	case s == modeler.Completed && !allTasksDone:
		c.breaches = append(c.breaches, fmt.Sprintf("job %s is told to be completed and has tasks that have not ended well", id))
	case s == modeler.Failed && c.mayBeGivenUp(j.Job):
	case s == modeler.Failed, s == modeler.Cancelled:
		c.breaches = append(c.breaches, fmt.Sprintf("job %s is told to be %s without cause", id, s))
	case j.state.IsFinal() && s != j.state:
		c.breaches = append(c.breaches, fmt.Sprintf("job %s was %s and is told to be %s", id, j.state, s))
	}
	if !j.state.IsFinal() {
		j.state = s
	}
}

// mayBeGivenUp reports whether two workers or more have crashed under a task of the
// job.
func (c *Checker) mayBeGivenUp(j modeler.Job) bool {
	for i, s := range j.Steps {
		for n := range s.Count {
			if c.lostRuns(modeler.TaskID{Job: j.ID, Step: i, Index: n}) >= minCrashes {
				return true
			}
		}
	}
	return false
}

// needOf returns what a task needs on its worker.
func (c *Checker) needOf(id modeler.TaskID) modeler.Resources {
	if steps, ok := c.steps.Load(id.Job); ok {
		return steps.([]modeler.Step)[id.Step].Need
	}
	return modeler.Resources{}
}

// customerOf returns the customer of a job.
func (c *Checker) customerOf(job string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if j := c.jobs[job]; j != nil {
		return j.Customer
	}
	return ""
}

// checkUnknownJob checks whether an entry node may respond that it does not know a
// job. queryTime is the time of the query.
func (c *Checker) checkUnknownJob(id string, queryTime time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if j := c.jobs[id]; j.result == accepted && queryTime.Sub(j.resultTime) > maxVisibilityDelay {
		c.breaches = append(c.breaches, fmt.Sprintf("job %s was accepted %s ago and is not known", id, queryTime.Sub(j.resultTime).Round(time.Millisecond)))
	}
}

// unfinishedJobs returns the accepted jobs that were reported neither as completed nor
// as failed.
func (c *Checker) unfinishedJobs() []modeler.Job {
	c.mu.Lock()
	defer c.mu.Unlock()
	var jobs []modeler.Job
	for _, j := range c.jobs {
		if j.result == accepted && !j.state.IsFinal() {
			jobs = append(jobs, j.Job)
		}
	}
	return jobs
}

// checkRunningTasks checks that no worker runs more than its capacity. It returns
// the CPU in use by customer, in thousandths of a core.
func (c *Checker) checkRunningTasks(tasks map[string][]modeler.TaskID, capacity int64) map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	cpuByCustomer := make(map[string]int64)
	for worker, ids := range tasks {
		used := int64(0)
		for _, id := range ids {
			if j := c.jobs[id.Job]; j != nil {
				used += j.Steps[id.Step].Need.CPU
				cpuByCustomer[j.Customer] += j.Steps[id.Step].Need.CPU
			}
		}
		if used > capacity {
			c.breaches = append(c.breaches, fmt.Sprintf("worker %s has %d thousandths of a core in use, %d are there", worker, used, capacity))
		}
	}
	return cpuByCustomer
}

// finalCounts checks at the end of the run that no task of a refused job was
// started, and counts the jobs by outcome. startedRuns returns the number of
// started runs of a job.
func (c *Checker) finalCounts(startedRuns func(j modeler.Job) int) Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	var counts Counts
	for id, j := range c.jobs {
		counts.Submitted++
		switch j.result {
		case accepted:
			counts.Accepted++
		case refused:
			counts.Refused++
			if n := startedRuns(j.Job); n > 0 {
				c.breaches = append(c.breaches, fmt.Sprintf("job %s was refused and %d tasks of it have started", id, n))
			}
		case unknown:
			counts.Unknown++
		}
		if j.state == modeler.Completed {
			counts.Completed++
		}
		if j.state == modeler.Failed {
			counts.GivenUp++
		}
	}
	return counts
}

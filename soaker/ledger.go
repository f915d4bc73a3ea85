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

const maxVisibilityDelay = 3 * time.Second // guaranteed by the platform's documentation: every entry node knows an accepted job after this time

type (
	submitResult int

	// Checker records the responses to callers and finds breaches of the
	// guarantees.
	Checker struct {
		mu       sync.Mutex
		jobs     map[string]*jobRecord
		breaches []string
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
	}
)

// NewChecker returns a checker without jobs.
func NewChecker() *Checker {
	return &Checker{jobs: make(map[string]*jobRecord)}
}

// AddBreach records the breach of a guarantee.
func (l *Checker) AddBreach(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.breaches = append(l.breaches, fmt.Sprintf(format, args...))
}

// Breaches returns the recorded breaches.
func (l *Checker) Breaches() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.breaches
}

// recordSubmission records a job before the first attempt to submit it.
func (l *Checker) recordSubmission(j modeler.Job) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs[j.ID] = &jobRecord{Job: j}
}

// recordResult records the result of submitting a job.
func (l *Checker) recordResult(id string, s submitResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.jobs[id]
	j.result, j.resultTime = s, time.Now()
}

// addState records and checks a job state that an entry node has reported. finished
// says whether all tasks of the job have ended as done.
func (l *Checker) addState(id string, s modeler.State, finished bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.jobs[id]
	switch {
	case s == modeler.Completed && !finished:
		l.breaches = append(l.breaches, fmt.Sprintf("job %s is told to be completed and has tasks that have not ended well", id))
	case s == modeler.Failed, s == modeler.Cancelled:
		l.breaches = append(l.breaches, fmt.Sprintf("job %s is told to be %s without cause", id, s))
	case j.state == modeler.Completed && s != modeler.Completed:
		l.breaches = append(l.breaches, fmt.Sprintf("job %s was completed and is told to be %s", id, s))
	}
	if j.state != modeler.Completed {
		j.state = s
	}
}

// checkUnknownJob checks whether an entry node may respond that it does not know a
// job. asked is the time of the query.
func (l *Checker) checkUnknownJob(id string, asked time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if j := l.jobs[id]; j.result == accepted && asked.Sub(j.resultTime) > maxVisibilityDelay {
		l.breaches = append(l.breaches, fmt.Sprintf("job %s was accepted %s ago and is not known", id, asked.Sub(j.resultTime).Round(time.Millisecond)))
	}
}

// unfinishedJobs returns the accepted jobs that were not reported as completed.
func (l *Checker) unfinishedJobs() []modeler.Job {
	l.mu.Lock()
	defer l.mu.Unlock()
	var jobs []modeler.Job
	for _, j := range l.jobs {
		if j.result == accepted && j.state != modeler.Completed {
			jobs = append(jobs, j.Job)
		}
	}
	return jobs
}

// checkRunningTasks checks that no worker runs more than its capacity. It returns
// the CPU in use by customer, in thousandths of a core.
func (l *Checker) checkRunningTasks(tasks map[string][]modeler.TaskID, capacity int64) map[string]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := make(map[string]int64)
	for worker, ids := range tasks {
		used := int64(0)
		for _, id := range ids {
			if j := l.jobs[id.Job]; j != nil {
				used += j.Steps[id.Step].Need.CPU
				sum[j.Customer] += j.Steps[id.Step].Need.CPU
			}
		}
		if used > capacity {
			l.breaches = append(l.breaches, fmt.Sprintf("worker %s has %d thousandths of a core in use, %d are there", worker, used, capacity))
		}
	}
	return sum
}

// finalCounts checks at the end of the run that no task of a refused job was
// started, and counts the jobs by outcome. starts returns the number of started
// runs of a job.
func (l *Checker) finalCounts(starts func(j modeler.Job) int) Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	var c Counts
	for id, j := range l.jobs {
		c.Submitted++
		switch j.result {
		case accepted:
			c.Accepted++
		case refused:
			c.Refused++
			if n := starts(j.Job); n > 0 {
				l.breaches = append(l.breaches, fmt.Sprintf("job %s was refused and %d tasks of it have started", id, n))
			}
		case unknown:
			c.Unknown++
		}
		if j.state == modeler.Completed {
			c.Completed++
		}
	}
	return c
}

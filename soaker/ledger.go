package soaker

import (
	"fmt"
	"sync"
	"time"

	"github.com/coltsfootlever/coltsfootlever/modeler"
)

// What a caller knows of its job.
const (
	unknown  submitResult = iota // no answer, or one that promises nothing
	accepted                     // a 2xx
	refused                      // every attempt was refused
)

const maxVisibilityDelay = 3 * time.Second // an accepted job is known everywhere after this, from the platform's pages

type (
	submitResult int

	// OutcomeChecker holds what callers were told, and finds what contradicts it.
	OutcomeChecker struct {
		mu       sync.Mutex
		jobs     map[string]*jobRecord
		breaches []string
	}

	jobRecord struct {
		modeler.Job
		result     submitResult
		resultTime time.Time // of the standing
		state      modeler.State
	}

	// Counts sums a run up.
	Counts struct {
		Submitted int `json:"submitted"`
		Accepted  int `json:"accepted"`
		Refused   int `json:"refused"`
		Unknown   int `json:"unknown"`
		Completed int `json:"completed"`
	}
)

// NewOutcomeChecker returns an empty ledger.
func NewOutcomeChecker() *OutcomeChecker {
	return &OutcomeChecker{jobs: make(map[string]*jobRecord)}
}

// AddBreach notes a broken promise.
func (l *OutcomeChecker) AddBreach(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.breaches = append(l.breaches, fmt.Sprintf(format, args...))
}

// Breaches lists the broken promises.
func (l *OutcomeChecker) Breaches() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.breaches
}

// recordSubmission notes a job before its first attempt.
func (l *OutcomeChecker) recordSubmission(j modeler.Job) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs[j.ID] = &jobRecord{Job: j}
}

// recordResult notes how a submission ended.
func (l *OutcomeChecker) recordResult(id string, s submitResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.jobs[id]
	j.result, j.resultTime = s, time.Now()
}

// checkReportedState checks a state that an entry has checkReportedState. finished says whether all tasks of the job have ended well.
func (l *OutcomeChecker) checkReportedState(id string, s modeler.State, finished bool) {
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

// checkUnknownJob checks that an entry may say at a time that it does not know a job.
func (l *OutcomeChecker) checkUnknownJob(id string, asked time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if j := l.jobs[id]; j.result == accepted && asked.Sub(j.resultTime) > maxVisibilityDelay {
		l.breaches = append(l.breaches, fmt.Sprintf("job %s was accepted %s ago and is not known", id, asked.Sub(j.resultTime).Round(time.Millisecond)))
	}
}

// unfinishedJobs lists the accepted jobs that are not known to be completed.
func (l *OutcomeChecker) unfinishedJobs() []modeler.Job {
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

// checkRunningTasks checks what runs on each worker against its capacity, and sums up what
// each customer has checkRunningTasks, in thousandths of a core.
func (l *OutcomeChecker) checkRunningTasks(tasks map[string][]modeler.TaskID, capacity int64) map[string]int64 {
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

// finalCounts checks at the end that no refused job has run. starts counts the starts
// of a job's tasks.
func (l *OutcomeChecker) finalCounts(starts func(j modeler.Job) int) Counts {
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

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/platform"
)

// Times and figures of the rule LOST and of the callers.
const (
	finishTime    = 14 * time.Second // finish_s, from the end of the traffic until jobs are asked for
	idleTime      = 3 * time.Second  // for which a job may have nothing running though its turn has come
	judgeTime     = 3 * idleTime     // during which jobs are watched
	sampleTime    = 50 * time.Millisecond
	callerRetries = 4
	retryPause    = time.Second
)

// submission is a job that a caller hands in.
type submission struct {
	id       string
	accepted bool
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// call sends a caller's request to an entry.
func (t *trial) call(e *entry, method, path, body string) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+e.address+queuePrefix+path, bytes.NewBufferString(body))
	if err != nil {
		return 0, nil, err
	}
	r.Host = queueHost
	r.Header.Set("Authorization", "Bearer "+customerKey)
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Deadline-Ms", fmt.Sprint(callerTimeout.Milliseconds()))
	res, err := t.client.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = res.Body.Close() }()
	raw, err := io.ReadAll(res.Body)
	return res.StatusCode, raw, err
}

// handIn hands a job in, with retries at other entries.
func (t *trial) handIn(s *submission, body string) {
	for try := range 1 + callerRetries {
		e := t.entries[rand.IntN(len(t.entries))]
		status, _, err := t.call(e, http.MethodPost, s.id, body)
		t.note("job %s handed in at %s, try %d: status %d, error %v", s.id, e.address, try, status, err)
		if err == nil && status == http.StatusOK {
			s.accepted = true
			return
		}
		time.Sleep(retryPause)
	}
}

// sendJobs hands jobs in for a time, evenly at the rate a second that rateAt returns for
// the time since the first one.
func (t *trial) sendJobs(length time.Duration, body string, rateAt func(since time.Duration) float64) []*submission {
	var jobs []*submission
	var wg sync.WaitGroup
	for began := time.Now(); time.Since(began) < length; {
		s := &submission{id: newID()}
		jobs = append(jobs, s)
		wg.Go(func() { t.handIn(s, body) })
		time.Sleep(time.Duration(float64(time.Second) / rateAt(time.Since(began))))
	}
	wg.Wait()
	return jobs
}

// state asks for the state of a job, at one entry after the other until one answers.
func (t *trial) state(id string) string {
	answer := ""
	for i := range t.entries {
		status, raw, err := t.call(t.entries[i], http.MethodGet, id, "")
		if state, parseErr := platform.ParseState(raw); err == nil && parseErr == nil {
			return string(state)
		}
		answer = fmt.Sprintf("status %d, error %v", status, err)
	}
	return answer
}

// judgeIdleJobs reports whether an accepted job has nothing running for idleTime
// although its turn has come and under half of the service's capacity is in use.
func (t *trial) judgeIdleJobs(fleet *workers, jobs []*submission, cpuOf func(job string) int) error {
	idleSince := make(map[string]time.Time)
	for _, s := range jobs {
		if s.accepted && t.state(s.id) != string(modeler.Completed) {
			idleSince[s.id] = time.Now()
		}
	}
	t.note("%d of %d jobs are not completed", len(idleSince), len(jobs))
	const capacity = workerCount * workerCPU
	for until := time.Now().Add(judgeTime); time.Now().Before(until); time.Sleep(sampleTime) {
		running, busy := fleet.runningJobs(cpuOf)
		for id, since := range idleSince {
			switch {
			case running[id] || 2*busy >= capacity:
				idleSince[id] = time.Now()
			case time.Since(since) >= idleTime && t.state(id) != string(modeler.Completed):
				t.note("job %s: state %s, nothing of it has run for %.1f s, %d of %d thousandths of a core are in use", id, t.state(id), time.Since(since).Seconds(), busy, capacity)
				return fmt.Errorf("%w: LOST, job %s has nothing running though there is capacity", errBroken, id)
			}
		}
	}
	return nil
}

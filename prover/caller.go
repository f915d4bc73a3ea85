package prover

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/admitter"
	"github.com/coltsfootlever/coltsfootlever/caller"
	"github.com/coltsfootlever/coltsfootlever/checker"
	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/scheduler"
)

const (
	maxSubmissions = 4                      // submissions of one job at most
	resubmitDelay  = 300 * time.Millisecond // wait before a job is submitted again
)

// errConnectionBroken reports a connection that broke before an answer came.
const errConnectionBroken = errors.ConstError("connection cut")

type (
	// Job is a job that a caller submits once or several times.
	Job struct {
		ID                   string
		Queue                string
		Key                  string // ID of the API key presented
		Name                 string // Idempotency-Key
		Class                scheduler.Class
		Idempotent           bool
		Slots                int
		Deadline             time.Duration
		Body                 []byte
		ResubmitAfterSuccess bool // the caller submits the job again even after success
	}

	// nodeTransport sends one request to a node and stores details of the
	// response.
	nodeTransport struct {
		node             *Node
		job              string
		connectionBroken bool
	}

	// eventCounter counts events by name.
	eventCounter struct {
		mu     sync.Mutex
		counts map[string]int
	}
)

func (c *eventCounter) add(event string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = make(map[string]int)
	}
	c.counts[event] += n
}

// Count returns how often the named event happened.
func (w *World) Count(event string) int {
	w.events.mu.Lock()
	defer w.events.mu.Unlock()
	return w.events.counts[event]
}

// Counts returns the counts of all events as text.
func (w *World) Counts() string {
	w.events.mu.Lock()
	defer w.events.mu.Unlock()
	return fmt.Sprint(w.events.counts)
}

// RoundTrip implements http.RoundTripper.
func (t *nodeTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	node := t.node
	answers := make(chan *http.Response, 1)
	go func() {
		if !node.gate.waitUntilRunning() {
			return
		}
		recorder := httptest.NewRecorder()
		node.entry.Callers().ServeHTTP(recorder, r)
		if node.gate.waitUntilRunning() {
			answers <- recorder.Result()
		}
	}()
	select {
	case response := <-answers:
		t.readJobID(response)
		return response, nil
	case <-node.gate.dead:
		t.connectionBroken = true
		return nil, errConnectionBroken
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

// readJobID reads the job ID from the headers or the error body of a response.
func (t *nodeTransport) readJobID(response *http.Response) {
	t.job = response.Header.Get(admitter.JobHeader)
	if response.StatusCode < http.StatusBadRequest {
		return
	}
	body, _ := io.ReadAll(response.Body)
	response.Body = io.NopCloser(bytes.NewReader(body))
	var p admitter.Problem
	if json.Unmarshal(body, &p) == nil && p.Job != "" {
		t.job = p.Job
	}
}

// submitJob submits the job once and reports the result to the checker.
func (w *World) submitJob(ctx context.Context, n *Node, j Job) *classifier.Error {
	id := uuid.NewString()
	w.audit.RecordRequest(checker.Request{
		ID: id, Job: j.ID, Entry: n.Instance, Queue: j.Queue, Name: j.Name, Key: j.Key,
		Idempotent: j.Idempotent, ExpectedOutput: j.Body, At: time.Now(),
	})
	t := &nodeTransport{node: n}
	client := caller.New("http://"+n.Callers, &http.Client{Transport: t})
	reply, err := client.Submit(ctx, caller.Request{
		Queue: j.Queue, Key: w.rules.secret(j.Key), Name: j.Name, Class: j.Class, Idempotent: j.Idempotent,
		Deadline: j.Deadline, Slots: j.Slots, Body: j.Body,
	})
	a := checker.Answer{Request: id, Task: t.job, Verdict: classifier.VerdictOf(err), ConnectionBroken: t.connectionBroken, Output: reply.Output, At: time.Now()}
	e := classifier.As(err)
	if e != nil {
		a.Code = e.Code
	}
	if ctx.Err() != nil {
		a.Code, a.Verdict = classifier.Cancelled, classifier.MayHaveRun // the caller cancelled the request
	}
	w.audit.CheckAnswer(a)
	w.trace.add(j.Name, "%s answered request %s: task %s, %v", n.Instance, id, a.Task, err)
	w.trace.add(id, "task %s at %s, %v", a.Task, n.Instance, err)
	w.events.add(a.Verdict.String()+" "+string(a.Code), 1)
	return e
}

// submitJobWithRetries submits the job, again and at a random entry while it
// has not run or its outcome is unknown. It also retries jobs that are not
// idempotent: their Idempotency-Key prevents a second execution.
func (w *World) submitJobWithRetries(ctx context.Context, j Job, rng *rand.Rand) {
	for range maxSubmissions {
		nodes := w.runningNodes()
		if len(nodes) == 0 {
			wait(ctx, time.Second)
			continue
		}
		err := w.submitJob(ctx, nodes[rng.IntN(len(nodes))], j)
		if ctx.Err() != nil || (err == nil && !j.ResubmitAfterSuccess) || isPermanentError(err) {
			return
		}
		wait(ctx, resubmitDelay)
	}
}

// isPermanentError reports whether a retry would fail in the same way.
func isPermanentError(err *classifier.Error) bool {
	if err == nil {
		return false
	}
	switch err.Code {
	case classifier.Unauthorized, classifier.Forbidden, classifier.BadRequest, classifier.TaskFailed, classifier.NeverFits:
		return true
	}
	return false
}

// startCaller starts a caller that submits a random job.
func (w *World) startCaller(rng *rand.Rand) {
	j := randomJob(rng)
	callerRNG := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
	ctx, stop := context.WithCancel(context.Background())
	if rng.IntN(12) == 0 { // the caller cancels its request
		time.AfterFunc(time.Duration(rng.IntN(4000))*time.Millisecond, stop)
	}
	w.background.Go(func() {
		defer stop()
		w.submitJobWithRetries(ctx, j, callerRNG)
	})
}

func randomJob(rng *rand.Rand) Job {
	q := queues[rng.IntN(len(queues))]
	j := Job{
		ID:                   uuid.NewString(),
		Queue:                q.name,
		Class:                scheduler.Background,
		Idempotent:           rng.IntN(3) == 0,
		Slots:                1,
		Deadline:             time.Duration(2+rng.IntN(30)) * time.Second,
		ResubmitAfterSuccess: rng.IntN(4) == 0,
	}
	if !q.open || rng.IntN(2) == 0 {
		j.Key = randomKey(rng, q)
	}
	if rng.IntN(3) == 0 {
		j.Class = scheduler.Urgent
	}
	if rng.IntN(10) == 0 {
		j.Slots = 2
	}
	if !j.Idempotent {
		j.Name = randomName(rng)
	}
	body := JobBody{Job: j.ID, SleepMillis: randomRunTimeMillis(rng), Fail: rng.IntN(30) == 0, Crash: rng.IntN(200) == 0}
	j.Body, _ = json.Marshal(body) // cannot fail
	return j
}

// randomKey returns a key of the queue's team. In one of 20 cases it returns no
// key, an unknown key, or a fixed key of one team, whichever team owns the queue.
func randomKey(rng *rand.Rand, q queueRule) string {
	if rng.IntN(20) == 0 {
		return []string{"", "leads-0", "zoo-1", "unknown"}[rng.IntN(4)]
	}
	return fmt.Sprintf("%s-%d", q.team, rng.IntN(2))
}

// randomName returns a request name that contains the current time, or in one of
// eight cases one without a time.
func randomName(rng *rand.Rand) string {
	if rng.IntN(8) == 0 {
		return "job-" + uuid.NewString()
	}
	return uuidV7At(time.Now())
}

// uuidV7At returns a UUID version 7 for the given time. The UUID library can't be
// used: its times never decrease within a process, but virtual time starts again
// with each run.
func uuidV7At(now time.Time) string {
	id := uuid.New()
	millis := uint64(now.UnixMilli())
	for n := range 6 {
		id[n] = byte(millis >> (40 - 8*n))
	}
	id[6] = id[6]&0x0f | 0x70
	return id.String()
}

// randomRunTimeMillis returns the run time of a job in milliseconds. Most jobs are
// short; some run longer than a task lease.
func randomRunTimeMillis(rng *rand.Rand) int {
	if rng.IntN(20) == 0 {
		return 5000 + rng.IntN(20000)
	}
	return 20 + rng.IntN(1000)
}

// Package admitter is the HTTP interface for callers. It checks a request's
// key, queue and size limits, submits the task, and writes the complete answer
// or a problem document with a verdict.
package admitter

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/coltsfootlever/coltsfootlever/authenticator"
	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/limiter"
	"github.com/coltsfootlever/coltsfootlever/messenger"
	"github.com/coltsfootlever/coltsfootlever/parser"
	"github.com/coltsfootlever/coltsfootlever/router"
	"github.com/coltsfootlever/coltsfootlever/scheduler"
)

// Limits of a caller's request.
const (
	DefaultMaxBody          = 1 << 20 // bytes
	DefaultDeadline         = time.Minute
	MaxDeadline             = 24 * time.Hour
	MaxIdempotencyKeyLength = 200 // bytes of an Idempotency-Key
	MaxSlots                = 1024
)

// Headers of requests and responses.
const (
	IdempotencyKeyHeader = "Idempotency-Key"
	ClassHeader          = "Coltsfootlever-Class"      // urgent or background; background when absent
	IdempotentHeader     = "Coltsfootlever-Idempotent" // true or false; false when absent
	DeadlineHeader       = "Coltsfootlever-Deadline"   // a duration such as 30s
	SlotsHeader          = "Coltsfootlever-Slots"      // slots on one worker; 1 when absent
	VerdictHeader        = "Coltsfootlever-Verdict"
	JobHeader            = "Coltsfootlever-Job"
	WorkerHeader         = "Coltsfootlever-Worker"
	DigestHeader         = "Coltsfootlever-Digest" // hexadecimal SHA-256 of the answer
)

type (
	// Jobs accepts and cancels tasks and returns their results.
	Jobs interface {
		NewTaskID() string
		Accept(ctx context.Context, task scheduler.Task) (*router.Job, error)
		Cancel(ctx context.Context, task string) error
		JobResult(ctx context.Context, team, task string) (messenger.Answer, error)
	}

	// KeyChecker finds the key in the rules that a caller's secret belongs to.
	KeyChecker interface {
		Check(rules *parser.Rules, secret string) (parser.Key, error)
	}

	// Admitter is the handler of the callers' HTTP interface. Create it with
	// New.
	Admitter struct {
		log            *slog.Logger
		rules          func() *parser.Rules
		keyChecker     KeyChecker
		checkFreshness func() error
		jobs           Jobs
		onRequestEnd   func(RequestEnd)
		maxBody        int64
		budget         *limiter.Budget
		mux            *http.ServeMux
		closing        atomic.Bool // Close has been called
	}

	// RequestEnd is the outcome of one request as its caller saw it.
	RequestEnd struct {
		Queue string
		Class scheduler.Class   // empty when the request was not accepted
		Took  time.Duration     // since the request arrived or its job was accepted
		Err   *classifier.Error // nil for a complete answer
	}

	// Option changes an Admitter under construction.
	Option func(*Admitter)
)

// WithLog sets the logger.
func WithLog(log *slog.Logger) Option {
	return func(a *Admitter) { a.log = log }
}

// WithMaxBody sets the largest request body in bytes.
func WithMaxBody(n int64) Option {
	return func(a *Admitter) { a.maxBody = n }
}

// WithBudget sets the memory for bodies that are being read and answers that are being
// sent. The default is that of a machine of unknown memory.
func WithBudget(b *limiter.Budget) Option {
	return func(a *Admitter) { a.budget = b }
}

// WithOnRequestEnd sets the function that is called at the end of every request
// for a known queue.
func WithOnRequestEnd(fn func(RequestEnd)) Option {
	return func(a *Admitter) { a.onRequestEnd = fn }
}

// New returns the handler of the callers' HTTP interface. rules returns nil
// while no rules are known. checkFreshness returns an error while the entry may
// have missed a change of rules.
func New(rules func() *parser.Rules, keyChecker KeyChecker, checkFreshness func() error, jobs Jobs, opts ...Option) *Admitter {
	a := &Admitter{
		log:            slog.Default(),
		rules:          rules,
		keyChecker:     keyChecker,
		checkFreshness: checkFreshness,
		jobs:           jobs,
		onRequestEnd:   func(RequestEnd) {},
		maxBody:        DefaultMaxBody,
		budget:         limiter.NewBudget(0),
		mux:            http.NewServeMux(),
	}
	for _, opt := range opts {
		opt(a)
	}
	a.mux.HandleFunc("POST /v1/queues/{queue}/jobs", a.submit)
	a.mux.HandleFunc("GET /v1/jobs/{job}", a.writeJobStatus)
	a.mux.HandleFunc("DELETE /v1/jobs/{job}", a.cancel)
	a.mux.HandleFunc("/", a.notFound)
	return a
}

// ServeHTTP implements http.Handler.
func (a *Admitter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.mux.ServeHTTP(w, r)
}

// Close makes the Admitter refuse new requests. Accepted jobs continue.
func (a *Admitter) Close() {
	a.closing.Store(true)
}

// submit accepts a job. It answers with the job's result or, if the caller
// prefers an asynchronous response, at once with the job's status.
func (a *Admitter) submit(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	task, err := a.newTask(r)
	if err != nil {
		a.refuse(w, r, task, start, err)
		return
	}
	body, err := a.budget.ReadBody(w, r, limiter.BodyLimits{MaxBytes: a.maxBody})
	if err != nil {
		a.refuse(w, r, task, start, err)
		return
	}
	task.Body = body.Bytes
	async := r.Header.Get("Prefer") == "respond-async"
	ctx := r.Context()
	if async {
		ctx = context.WithoutCancel(ctx) // the job outlives this answer
	}
	job, err := a.jobs.Accept(ctx, task)
	body.Release() // the memory of an accepted task is bounded by the router
	if err != nil {
		a.refuse(w, r, task, start, err)
		return
	}
	w.Header().Set(JobHeader, task.ID)
	if async {
		go a.reportEnd(job)
		writeJSON(w, http.StatusAccepted, Status{Job: task.ID, State: underWay})
		return
	}
	a.waitForResult(w, r, job)
}

// waitForResult writes the answer when the job has ended. A caller that
// disconnects before can ask for the job's status.
func (a *Admitter) waitForResult(w http.ResponseWriter, r *http.Request, job *router.Job) {
	select {
	case <-job.Done():
	case <-r.Context().Done():
		go a.reportEnd(job)
		return
	}
	a.reportEnd(job)
	answer, err := job.Result()
	if err != nil {
		a.writeProblem(w, r, job.Task.ID, err)
		return
	}
	hold, refusal := a.holdAnswer(w, len(answer.Output))
	if refusal != nil {
		a.writeProblem(w, r, job.Task.ID, refusal)
		return
	}
	defer hold.Close()
	writeAnswer(w, answer)
}

// reportEnd waits until the job has ended and calls the function set by
// WithOnRequestEnd.
func (a *Admitter) reportEnd(job *router.Job) {
	<-job.Done()
	_, err := job.Result()
	a.onRequestEnd(RequestEnd{Queue: job.Task.Queue, Class: job.Task.Class, Took: time.Since(job.Task.Accepted), Err: err})
}

// refuse answers a request that was not accepted. Requests for a queue that the
// rules do not contain are not reported to the function set by
// WithOnRequestEnd.
func (a *Admitter) refuse(w http.ResponseWriter, r *http.Request, task scheduler.Task, start time.Time, err error) {
	refusal := classifier.As(err)
	if rules := a.rules(); rules != nil {
		if q, err := findQueue(rules, r.PathValue("queue")); err == nil {
			a.onRequestEnd(RequestEnd{Queue: q.Name, Class: task.Class, Took: time.Since(start), Err: refusal})
		}
	}
	a.writeProblem(w, r, task.ID, refusal)
}

// newTask checks a request and creates its task, without the body. Every error has
// the verdict NotRun.
func (a *Admitter) newTask(r *http.Request) (scheduler.Task, error) {
	if a.closing.Load() {
		return scheduler.Task{}, classifier.Refuse(classifier.Leaving, "this entry is shutting down: use another").WithRetryAfter(time.Second)
	}
	rules := a.rules()
	if rules == nil {
		return scheduler.Task{}, classifier.Refuse(classifier.Unready, "this entry has no rules yet: come back later").WithRetryAfter(time.Second)
	}
	queue, err := findQueue(rules, r.PathValue("queue"))
	if err != nil {
		return scheduler.Task{}, err
	}
	if err := a.authorize(rules, queue, r); err != nil {
		return scheduler.Task{}, err
	}
	if err := a.checkFreshness(); err != nil {
		return scheduler.Task{}, err
	}
	task, err := readTask(r)
	if err != nil {
		return scheduler.Task{}, err
	}
	task.ID = a.jobs.NewTaskID()
	task.Team = queue.Team
	task.Queue = queue.Name
	task.Service = queue.Service
	task.Pool = queue.Pool
	return task, nil
}

// findQueue returns the queue of the rules with the name.
func findQueue(rules *parser.Rules, name string) (parser.Queue, error) {
	for _, q := range rules.Queues {
		if q.Name == name {
			return q, nil
		}
	}
	return parser.Queue{}, classifier.Refuse(classifier.UnknownQueue, "no queue %q in the rules", name)
}

// authorize allows a request for an open queue without a key, and a request for
// any other queue only with a key of the queue's team.
func (a *Admitter) authorize(rules *parser.Rules, q parser.Queue, r *http.Request) error {
	if q.Open {
		return nil
	}
	key, err := a.keyChecker.Check(rules, authenticator.BearerToken(r.Header))
	if err != nil {
		return classifier.Refuse(classifier.Unauthorized, "queue %q needs a key in force: send Authorization: Bearer KEY", q.Name)
	}
	if key.Operator || key.Team != q.Team {
		return classifier.Refuse(classifier.Forbidden, "key %q is not a key of the team that owns queue %q", key.ID, q.Name)
	}
	return nil
}

// writeJobStatus writes the status of a job. Any entry can answer, because the
// job's identity names the entry that accepted it.
func (a *Admitter) writeJobStatus(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("job")
	answer, err := a.jobResult(r, id)
	e := classifier.As(err)
	if e != nil && e.Code.IsAccessRefusal() {
		a.writeProblem(w, r, id, e)
		return
	}
	if len(answer.Output) > 0 { // otherwise the job may not have ended
		hold, refusal := a.holdAnswer(w, statusCopies*len(answer.Output))
		if refusal != nil {
			a.writeProblem(w, r, id, refusal)
			return
		}
		defer hold.Close()
	}
	writeJSON(w, http.StatusOK, newStatus(id, answer, e))
}

// jobResult returns the result of a job to callers of the job's team.
func (a *Admitter) jobResult(r *http.Request, id string) (messenger.Answer, error) {
	team, err := a.callerTeam(r)
	if err != nil {
		return messenger.Answer{}, err
	}
	return a.jobs.JobResult(r.Context(), team, id)
}

// callerTeam returns the team of the request's key, or "" when the request has
// no key.
func (a *Admitter) callerTeam(r *http.Request) (string, error) {
	secret := authenticator.BearerToken(r.Header)
	if secret == "" {
		return "", nil
	}
	if err := a.checkFreshness(); err != nil {
		return "", err
	}
	key, err := a.keyChecker.Check(a.rules(), secret)
	if err != nil {
		return "", err
	}
	return key.Team, nil
}

// cancel cancels a job on behalf of its team.
func (a *Admitter) cancel(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("job")
	_, err := a.jobResult(r, id)
	if classifier.As(err) != nil && classifier.As(err).Code != classifier.UnderWay {
		a.writeProblem(w, r, id, classifier.As(err))
		return
	}
	if err := a.jobs.Cancel(r.Context(), id); err != nil {
		a.writeProblem(w, r, id, classifier.As(err))
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

// notFound answers requests for unknown paths and methods.
func (a *Admitter) notFound(w http.ResponseWriter, r *http.Request) {
	a.writeProblem(w, r, "", classifier.Refuse(classifier.NotFound, "no resource %s %s: use POST /v1/queues/QUEUE/jobs, GET or DELETE /v1/jobs/JOB", r.Method, r.URL.Path))
}

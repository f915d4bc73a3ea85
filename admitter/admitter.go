// Package admitter admits callers' requests over HTTP: it checks the key, the
// queue and the bounds, hands the task on and writes the whole answer or a
// problem document with a verdict.
package admitter

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/coltsfootlever/coltsfootlever/authenticator"
	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/messenger"
	"github.com/coltsfootlever/coltsfootlever/parser"
	"github.com/coltsfootlever/coltsfootlever/router"
	"github.com/coltsfootlever/coltsfootlever/scheduler"
)

// Bounds of a caller's request.
const (
	DefaultMaxBody  = 1 << 20 // bytes
	DefaultDeadline = time.Minute
	MaxDeadline     = 24 * time.Hour
	MaxNameLength   = 200 // bytes of an Idempotency-Key
	MaxSlots        = 1024
)

// Headers of requests and answers.
const (
	NameHeader       = "Idempotency-Key"
	ClassHeader      = "Coltsfootlever-Class"      // urgent or background; background when absent
	IdempotentHeader = "Coltsfootlever-Idempotent" // true or false; false when absent
	DeadlineHeader   = "Coltsfootlever-Deadline"   // a duration such as 30s
	SlotsHeader      = "Coltsfootlever-Slots"      // slots on one worker; 1 when absent
	VerdictHeader    = "Coltsfootlever-Verdict"
	JobHeader        = "Coltsfootlever-Job"
	WorkerHeader     = "Coltsfootlever-Worker"
	DigestHeader     = "Coltsfootlever-Digest" // hexadecimal SHA-256 of the answer
)

type (
	// Jobs accepts and withdraws tasks.
	Jobs interface {
		NewTaskID() string
		Accept(ctx context.Context, task scheduler.Task) (*router.Job, error)
		Cancel(ctx context.Context, task string) error
		State(ctx context.Context, team, task string) (messenger.Answer, error)
	}

	// Keys checks the secrets that callers show.
	Keys interface {
		Check(rules *parser.Rules, secret string) (parser.Key, error)
	}

	// Admitter is the callers' HTTP interface. Use New.
	Admitter struct {
		log     *slog.Logger
		rules   func() *parser.Rules
		keys    Keys
		fresh   func() error
		jobs    Jobs
		ended   func(Ended)
		maxBody int64
		mux     *http.ServeMux
		closing atomic.Bool
	}

	// Ended is the end of one request as its caller saw it.
	Ended struct {
		Queue string
		Class scheduler.Class // empty when the request was not accepted
		Took  time.Duration
		Err   *classifier.Error // nil for a whole answer
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

// WithEnded sets the function told of every end of a request.
func WithEnded(ended func(Ended)) Option {
	return func(a *Admitter) { a.ended = ended }
}

// New returns the callers' interface. rules returns nil while no rules are
// known. fresh refuses while the entry may have missed a change of rules.
func New(rules func() *parser.Rules, keys Keys, fresh func() error, jobs Jobs, opts ...Option) *Admitter {
	a := &Admitter{
		log:     slog.Default(),
		rules:   rules,
		keys:    keys,
		fresh:   fresh,
		jobs:    jobs,
		ended:   func(Ended) {},
		maxBody: DefaultMaxBody,
		mux:     http.NewServeMux(),
	}
	for _, opt := range opts {
		opt(a)
	}
	a.mux.HandleFunc("POST /v1/queues/{queue}/jobs", a.submit)
	a.mux.HandleFunc("GET /v1/jobs/{job}", a.status)
	a.mux.HandleFunc("DELETE /v1/jobs/{job}", a.cancel)
	a.mux.HandleFunc("/", a.unknown)
	return a
}

// ServeHTTP implements http.Handler.
func (a *Admitter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.mux.ServeHTTP(w, r)
}

// Close refuses new work from here on. Work under way goes on.
func (a *Admitter) Close() {
	a.closing.Store(true)
}

func (a *Admitter) submit(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	task, err := a.admit(w, r)
	if err != nil {
		a.refuse(w, r, task, start, err)
		return
	}
	async := r.Header.Get("Prefer") == "respond-async"
	ctx := r.Context()
	if async {
		ctx = context.WithoutCancel(ctx) // the job outlives this answer
	}
	job, err := a.jobs.Accept(ctx, task)
	if err != nil {
		a.refuse(w, r, task, start, err)
		return
	}
	w.Header().Set(JobHeader, task.ID)
	if async {
		go a.count(job)
		writeJSON(w, http.StatusAccepted, Status{Job: task.ID, State: underWay})
		return
	}
	a.wait(w, r, job)
}

// wait answers when the job has ended. A caller that goes away first can ask
// for the job's status.
func (a *Admitter) wait(w http.ResponseWriter, r *http.Request, job *router.Job) {
	select {
	case <-job.Done():
	case <-r.Context().Done():
		go a.count(job)
		return
	}
	a.count(job)
	answer, err := job.Result()
	if err != nil {
		a.writeProblem(w, r, job.Task.ID, err)
		return
	}
	writeAnswer(w, answer)
}

// count tells how a job ends, when it does.
func (a *Admitter) count(job *router.Job) {
	<-job.Done()
	_, err := job.Result()
	a.ended(Ended{Queue: job.Task.Queue, Class: job.Task.Class, Took: time.Since(job.Task.Accepted), Err: err})
}

// refuse answers a request that was not accepted. It is counted if its queue
// is one of the rules.
func (a *Admitter) refuse(w http.ResponseWriter, r *http.Request, task scheduler.Task, start time.Time, err error) {
	refusal := classifier.As(err)
	if rules := a.rules(); rules != nil {
		if q, unknown := findQueue(rules, r.PathValue("queue")); unknown == nil {
			a.ended(Ended{Queue: q.Name, Class: task.Class, Took: time.Since(start), Err: refusal})
		}
	}
	a.writeProblem(w, r, task.ID, refusal)
}

// admit checks a request and makes its task. Every error says NotRun.
func (a *Admitter) admit(w http.ResponseWriter, r *http.Request) (scheduler.Task, error) {
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
	if err := a.fresh(); err != nil {
		return scheduler.Task{}, err
	}
	task, err := readTask(w, r, a.maxBody)
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

func findQueue(rules *parser.Rules, name string) (parser.Queue, error) {
	for _, q := range rules.Queues {
		if q.Name == name {
			return q, nil
		}
	}
	return parser.Queue{}, classifier.Refuse(classifier.UnknownQueue, "no queue %q in the rules", name)
}

// authorize lets a request into an open queue without a key and into any other
// only with a key of the queue's team.
func (a *Admitter) authorize(rules *parser.Rules, q parser.Queue, r *http.Request) error {
	if q.Open {
		return nil
	}
	key, err := a.keys.Check(rules, authenticator.Bearer(r.Header))
	if err != nil {
		return classifier.Refuse(classifier.Unauthorized, "queue %q needs a key in force: send Authorization: Bearer KEY", q.Name)
	}
	if key.Operator || key.Team != q.Team {
		return classifier.Refuse(classifier.Forbidden, "key %q is not a key of the team that owns queue %q", key.ID, q.Name)
	}
	return nil
}

// status answers through any entry: the job's identity names the one that
// accepted it.
func (a *Admitter) status(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("job")
	answer, err := a.state(r, id)
	e := classifier.As(err)
	if e != nil && e.Code.IsAccessRefusal() {
		a.writeProblem(w, r, id, e)
		return
	}
	writeJSON(w, http.StatusOK, newStatus(id, answer, e))
}

// state returns the result of a job to its team.
func (a *Admitter) state(r *http.Request, id string) (messenger.Answer, error) {
	team, err := a.teamOf(r)
	if err != nil {
		return messenger.Answer{}, err
	}
	return a.jobs.State(r.Context(), team, id)
}

// teamOf returns the team of the key shown, empty without a key.
func (a *Admitter) teamOf(r *http.Request) (string, error) {
	secret := authenticator.Bearer(r.Header)
	if secret == "" {
		return "", nil
	}
	if err := a.fresh(); err != nil {
		return "", err
	}
	key, err := a.keys.Check(a.rules(), secret)
	if err != nil {
		return "", err
	}
	return key.Team, nil
}

// cancel withdraws a job for its team.
func (a *Admitter) cancel(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("job")
	_, err := a.state(r, id)
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

func (a *Admitter) unknown(w http.ResponseWriter, r *http.Request) {
	a.writeProblem(w, r, "", classifier.Refuse(classifier.NotFound, "no resource %s %s: use POST /v1/queues/QUEUE/jobs, GET or DELETE /v1/jobs/JOB", r.Method, r.URL.Path))
}

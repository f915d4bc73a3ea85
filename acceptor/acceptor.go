package acceptor

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/limiter"
	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/orchestrator"
	"github.com/coltsfootlever/coltsfootlever/platform"
	"github.com/coltsfootlever/coltsfootlever/postponer"
)

const (
	defaultMaxBody   = 256 << 10              // bytes, when the manifest sets no limit
	defaultTimeLimit = 3 * time.Second        // of a call without a time limit in its header
	maxTimeLimit     = 30 * time.Second       // of any call
	answerMargin     = 100 * time.Millisecond // time left for the answer to reach the caller
	bearerPrefix     = "Bearer "

	lineLimit  = 10 // log lines on bodies that did not arrive or found no room, within linePeriod
	linePeriod = time.Second
)

type (
	// Store is the part of the key-value service that callers' requests need.
	Store interface {
		List(ctx context.Context, prefix string) ([]keeper.Record, int64, error)
		Commit(ctx context.Context, txn keeper.Txn) (int64, []keeper.Record, error)
	}

	// FleetState is what this entry knows about the fleet.
	FleetState interface {
		Manifest() *modeler.Manifest
		Pending(queue string) (int, bool) // jobs of the queue that have not begun; false when the count is too old
		// Limitation tells whether only a share of a customer's new jobs in a queue may be
		// accepted.
		Limitation(queue, customer string) (orchestrator.Limitation, bool)
		// ReserveMemory counts a new job of a customer toward what this entry may accept until
		// the leader has counted it, in bytes. It returns false if that is used up.
		ReserveMemory(customer string, bytes int64) bool
		EvacuatedZones() []string        // evacuated zones if all are, so that nothing can start; nil otherwise
		StoreIsUnreachable() bool        // calls to the key-value service have failed for some time
		SinceStoreAnswer() time.Duration // time since the last answer of the key-value service
	}

	// Acceptor is the handler of the callers' HTTP interface.
	Acceptor struct {
		store       Store
		fleet       FleetState
		log         *slog.Logger
		now         func() time.Time
		outcomes    *outcomeCache
		withdrawals rateLimit
		lookups     rateLimit // of submissions whose body was not read
		lines       rateLimit // log lines that clients may cause by not sending a body
		budget      *limiter.Budget
		random      func() float64 // from 0 to 1, decides which jobs are refused
	}

	// Option changes an Acceptor under construction.
	Option func(*Acceptor)

	// request is a call together with the queue that it is for and, unless the
	// queue is public, the customer that makes it.
	request struct {
		*http.Request
		manifest *modeler.Manifest
		queue    *modeler.Queue
		customer string
		job      string // empty for a query about the queue
		body     *limiter.Body
	}

	// answer is the response to a call.
	answer struct {
		status int
		body   any
	}
)

// WithLog sets the logger.
func WithLog(log *slog.Logger) Option {
	return func(a *Acceptor) { a.log = log }
}

// WithClock sets the clock of the time of day at which jobs are accepted.
func WithClock(now func() time.Time) Option {
	return func(a *Acceptor) { a.now = now }
}

// WithRandom sets the source of the random numbers from 0 to 1 that decide which
// jobs are refused when only a share can be accepted.
func WithRandom(random func() float64) Option {
	return func(a *Acceptor) { a.random = random }
}

// WithBudget sets the memory for request bodies, which all listeners of a process share.
func WithBudget(b *limiter.Budget) Option {
	return func(a *Acceptor) { a.budget = b }
}

// New returns the handler of the callers' HTTP interface.
func New(store Store, fleet FleetState, opts ...Option) *Acceptor {
	a := &Acceptor{store: store, fleet: fleet, log: slog.New(slog.DiscardHandler), now: time.Now, outcomes: newOutcomeCache(), random: rand.Float64, withdrawals: rateLimit{limit: maxWithdrawals, period: withdrawalPeriod}, lookups: rateLimit{limit: maxLookups, period: lookupPeriod}, lines: rateLimit{limit: lineLimit, period: linePeriod}}
	for _, opt := range opts {
		opt(a)
	}
	if a.budget == nil {
		a.budget = limiter.NewBudget(0)
	}
	return a
}

// ServeHTTP implements http.Handler.
func (a *Acceptor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), callTimeLimit(r))
	defer cancel()
	began := time.Now()
	req, err := a.newRequest(r.WithContext(ctx))
	var out answer
	if err == nil {
		defer func() { req.body.Release() }()
		out, err = a.dispatch(w, req)
	}
	if err != nil {
		out = failureAnswer(w, classifier.As(err))
	}
	a.logAnswer(r, req, out, err, time.Since(began))
	writeJSON(w, out)
}

// newRequest finds the queue and the customer of a call. When it fails after it
// has found the queue, it returns the request along with the error.
func (a *Acceptor) newRequest(r *http.Request) (*request, error) {
	m := a.fleet.Manifest()
	if m == nil {
		return nil, classifier.Refuse(classifier.Unready, "no manifest has been read yet, come back later").WithRetryAfter(a.retryDelay())
	}
	host, _, _ := strings.Cut(r.Host, ":")
	q := m.Route(host, r.URL.Path)
	if q == nil {
		return nil, classifier.Refuse(classifier.UnknownQueue, "no queue at host %q has a prefix of %q (manifest %d)", host, r.URL.Path, m.Version)
	}
	req := &request{Request: r, manifest: m, queue: q, job: strings.TrimPrefix(r.URL.Path, q.Prefix)}
	if req.job != "" && !isJobID(req.job) {
		return req, classifier.Refuse(classifier.BadRequest, "job %q: use 16 hexadecimal digits", req.job)
	}
	if q.Public {
		return req, nil
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	c := m.CustomerByKey(key)
	if !ok || c == nil {
		return req, classifier.Refuse(classifier.Unauthorized, "queue %q needs a key that is in force (manifest %d)", q.Name, m.Version)
	}
	req.customer = c.Name
	return req, nil
}

// dispatch passes a request to the function for its method.
func (a *Acceptor) dispatch(w http.ResponseWriter, r *request) (answer, error) {
	switch {
	case r.Method == http.MethodGet && r.job == "":
		return a.countPending(r)
	case r.Method == http.MethodGet:
		return a.jobState(r)
	case r.Method == http.MethodPost && r.job != "":
		return a.submit(w, r)
	case r.Method == http.MethodDelete && r.job != "":
		return a.cancel(r)
	}
	return answer{status: http.StatusMethodNotAllowed}, nil
}

// countPending answers with the number of jobs in the queue that have not
// begun.
func (a *Acceptor) countPending(r *request) (answer, error) {
	n, ok := a.fleet.Pending(r.queue.Name)
	if !ok {
		return answer{}, classifier.Refuse(classifier.StoreDown, "the count of queue %q is not known at present", r.queue.Name).WithRetryAfter(a.retryDelay())
	}
	return answer{http.StatusOK, platform.PendingJobsResponse(n)}, nil
}

// isJobID reports whether s consists of 16 hexadecimal digits.
func isJobID(s string) bool {
	if len(s) != 16 {
		return false
	}
	for _, c := range s {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}

// callTimeLimit returns how long the call may take, less the time for the
// answer to reach the caller.
func callTimeLimit(r *http.Request) time.Duration {
	limit, err := time.ParseDuration(r.Header.Get(platform.HeaderDeadlineMs) + "ms")
	if err != nil || limit <= 0 {
		limit = defaultTimeLimit // the header is optional
	}
	return max(answerMargin, min(limit, maxTimeLimit)-answerMargin)
}

// storeFailure returns the error for a call that had no effect because the
// key-value service did not serve it.
func (a *Acceptor) storeFailure(err error) error {
	return classifier.Refuse(classifier.StoreDown, "the key-value service does not answer: %v", errors.Cause(err)).WithRetryAfter(a.retryDelay())
}

// retryDelay returns how long a caller should wait before it repeats a call
// that was refused for lack of the key-value service.
func (a *Acceptor) retryDelay() time.Duration {
	return postponer.RetryDelay(a.fleet.SinceStoreAnswer(), rand.Float64())
}

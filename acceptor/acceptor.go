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
	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/platform"
	"github.com/coltsfootlever/coltsfootlever/postponer"
)

const (
	defaultMaxBody   = 256 << 10              // bytes, for a manifest that does not say
	defaultTimeLimit = 3 * time.Second        // of a call that does not say how long it waits
	answerMargin     = 100 * time.Millisecond // the answer has to reach the caller in time
	bearer           = "Bearer "
)

type (
	// Store is the part of the key-value service that callers' requests need.
	Store interface {
		List(ctx context.Context, prefix string) ([]keeper.Record, int64, error)
		Commit(ctx context.Context, txn keeper.Txn) (int64, []keeper.Record, error)
	}

	// Board tells what the entry knows of the fleet.
	Board interface {
		Manifest() *modeler.Manifest
		Pending(queue string) (int, bool) // false when the count is too old
		StoreIsAway() bool
		StoreSilence() time.Duration // since its last answer
	}

	// Acceptor is the handler of the callers' interface.
	Acceptor struct {
		store    Store
		board    Board
		log      *slog.Logger
		now      func() time.Time
		outcomes *outcomes
	}

	// Option changes an Acceptor.
	Option func(*Acceptor)

	// request is a call whose queue and customer are known.
	request struct {
		*http.Request
		manifest *modeler.Manifest
		queue    *modeler.Queue
		customer string
		job      string // empty for a question about the queue
	}

	// answer is what a call ends with.
	answer struct {
		status int
		body   any
	}
)

// WithLog sets the logger of decisions.
func WithLog(log *slog.Logger) Option {
	return func(a *Acceptor) { a.log = log }
}

// New returns the handler of the callers' interface.
func New(store Store, board Board, opts ...Option) *Acceptor {
	a := &Acceptor{store: store, board: board, log: slog.New(slog.DiscardHandler), now: time.Now, outcomes: newOutcomes()}
	for _, opt := range opts {
		opt(a)
	}
	return a
}

// ServeHTTP implements http.Handler.
func (a *Acceptor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), timeLimit(r))
	defer cancel()
	began := a.now()
	req, err := a.identify(r.WithContext(ctx))
	var out answer
	if err == nil {
		out, err = a.serve(w, req)
	}
	if err != nil {
		out = failure(w, classifier.As(err))
	}
	a.note(r, req, out, err, a.now().Sub(began))
	writeJSON(w, out)
}

// identify finds the queue of a call and the customer that makes it.
func (a *Acceptor) identify(r *http.Request) (*request, error) {
	m := a.board.Manifest()
	if m == nil {
		return nil, classifier.Refuse(classifier.Unready, "no manifest has been read yet, come back later").WithRetryAfter(a.pause())
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
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearer)
	c := m.CustomerByKey(key)
	if !ok || c == nil {
		return req, classifier.Refuse(classifier.Unauthorized, "queue %q needs a key that is in force (manifest %d)", q.Name, m.Version)
	}
	req.customer = c.Name
	return req, nil
}

func (a *Acceptor) serve(w http.ResponseWriter, r *request) (answer, error) {
	switch {
	case r.Method == http.MethodGet && r.job == "":
		return a.pending(r)
	case r.Method == http.MethodGet:
		return a.state(r)
	case r.Method == http.MethodPost && r.job != "":
		return a.submit(w, r)
	case r.Method == http.MethodDelete && r.job != "":
		return a.cancel(r)
	}
	return answer{status: http.StatusMethodNotAllowed}, nil
}

// pending tells how many jobs of the queue have not begun.
func (a *Acceptor) pending(r *request) (answer, error) {
	n, ok := a.board.Pending(r.queue.Name)
	if !ok {
		return answer{}, classifier.Refuse(classifier.StoreDown, "the count of queue %q is not known at present", r.queue.Name).WithRetryAfter(a.pause())
	}
	return answer{http.StatusOK, platform.PendingBody(n)}, nil
}

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

// timeLimit is how long the call may take.
func timeLimit(r *http.Request) time.Duration {
	limit, err := time.ParseDuration(r.Header.Get(platform.HeaderTimeLimit) + "ms")
	if err != nil || limit <= 0 {
		limit = defaultTimeLimit // the header is optional
	}
	return max(answerMargin, limit-answerMargin)
}

// storeFailure is the answer when the service has not served a call that had
// no effect.
func (a *Acceptor) storeFailure(err error) error {
	return classifier.Refuse(classifier.StoreDown, "the key-value service does not answer: %v", errors.Cause(err)).WithRetryAfter(a.pause())
}

// pause is how long a caller that is refused for lack of the service waits.
func (a *Acceptor) pause() time.Duration {
	return postponer.Pause(a.board.StoreSilence(), rand.Float64())
}

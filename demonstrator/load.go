package demonstrator

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/coltsfootlever/coltsfootlever/caller"
	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/scheduler"
)

// Behaviour of the callers.
const (
	burstFactor        = 5.0             // request rate of a bursting queue, as a multiple of its mean rate
	quietFactor        = 0.05            // request rate of every other queue, as a multiple of its mean rate
	burstDuration      = 3 * time.Second // how long the queues of one service burst before those of the next
	callerDeadline     = 8 * time.Second
	maxRetries         = 3
	minTaskMS          = 150 // shortest run time of a task, in milliseconds
	maxTaskMS          = 450 // run times are below this, in milliseconds
	urgentFraction     = 0.2 // of the requests
	idempotentFraction = 0.5 // of the requests
)

type (
	// loadBalancer assigns requests to the running entries at random. It stands
	// for the load balancer of the platform.
	loadBalancer struct {
		mu   sync.Mutex
		urls []string // base URLs of the running entries
	}

	// loadGenerator sends the callers' requests to the entries.
	loadGenerator struct {
		balancer *loadBalancer
		tally    *tally
		http     *http.Client
		queues   []queueSpec
		running  sync.WaitGroup // goroutines that send requests
	}
)

// pick returns the base URL of a random running entry.
func (b *loadBalancer) pick(r *rand.Rand) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.urls[r.IntN(len(b.urls))]
}

// remove stops assigning requests to the entry with the base URL.
func (b *loadBalancer) remove(baseURL string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, url := range b.urls {
		if url == baseURL {
			b.urls = append(b.urls[:i:i], b.urls[i+1:]...)
			return
		}
	}
}

// run sends requests to each queue until ctx ends, and returns when all requests
// have ended.
func (l *loadGenerator) run(ctx context.Context, seed uint64) {
	started := time.Now()
	for i, q := range l.queues {
		r := rand.New(rand.NewPCG(seed, uint64(i)))
		l.running.Add(1)
		go func() {
			defer l.running.Done()
			l.sendToQueue(ctx, q, r, started)
		}()
	}
	l.running.Wait()
}

// sendToQueue sends requests to one queue until ctx ends. The times between them
// are random with an exponential distribution.
func (l *loadGenerator) sendToQueue(ctx context.Context, q queueSpec, r *rand.Rand, started time.Time) {
	next := time.Now()
	for {
		next = next.Add(time.Duration(r.ExpFloat64() / l.currentRate(q, started) * float64(time.Second)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
		req := l.newRequest(q, r)
		baseURL := l.balancer.pick(r)
		retryRand := rand.New(rand.NewPCG(r.Uint64(), 0))
		l.running.Add(1)
		go func() {
			defer l.running.Done()
			l.send(q, req, baseURL, retryRand)
		}()
	}
}

// currentRate returns the present request rate of the queue, in requests per
// second. The queues of one service after another burst for burstDuration each.
func (l *loadGenerator) currentRate(q queueSpec, started time.Time) float64 {
	bursting := int(time.Since(started)/burstDuration) % serviceCount
	if q.service == bursting {
		return q.meanRate * burstFactor
	}
	return q.meanRate * quietFactor
}

// outgoingRequest is a request together with the message that the caller sends.
type outgoingRequest struct {
	*request
	message caller.Request
}

// newRequest returns a request to the queue with a new name and random
// properties.
func (l *loadGenerator) newRequest(q queueSpec, r *rand.Rand) outgoingRequest {
	name := uuid.Must(uuid.NewV7()).String()
	class := scheduler.Background
	if r.Float64() < urgentFraction {
		class = scheduler.Urgent
	}
	idempotent := r.Float64() < idempotentFraction
	body := fmt.Sprintf(`{"sleep-ms":%d,"name":%q}`, minTaskMS+r.IntN(maxTaskMS-minTaskMS), name)
	return outgoingRequest{
		request: &request{name: name, team: q.team, pool: q.pool, class: class, idempotent: idempotent, sent: time.Now()},
		message: caller.Request{
			Queue:      q.name,
			Key:        q.key,
			Name:       name,
			Class:      class,
			Idempotent: idempotent,
			Deadline:   callerDeadline,
			Body:       []byte(body),
		},
	}
}

// send submits the request and records its outcome. When the connection is lost
// or the entry is leaving, it submits the request again under the same name
// through an entry that the load balancer picks.
func (l *loadGenerator) send(q queueSpec, out outgoingRequest, baseURL string, r *rand.Rand) {
	l.tally.recordSubmission(out.request)
	ctx, stop := context.WithTimeout(context.Background(), 2*callerDeadline)
	defer stop()
	reply, err := l.submit(ctx, baseURL, out)
	mayHaveRun := classifier.VerdictOf(err) == classifier.MayHaveRun
	for n := 0; n < maxRetries && err != nil && isRetryable(err); n++ {
		baseURL = l.balancer.pick(r)
		reply, err = l.submit(ctx, baseURL, out)
		mayHaveRun = mayHaveRun || classifier.VerdictOf(err) == classifier.MayHaveRun
	}
	if mayHaveRun && classifier.VerdictOf(err) == classifier.NotRun {
		// Only the last attempt certainly did not run; an earlier one may have.
		err = classifier.Uncertain(classifier.As(err).Code, "%v", err)
	}
	crossed := err == nil && !bytes.Equal(reply.Output, out.message.Body)
	l.tally.recordOutcome(out.request, reply.Job, err, crossed)
}

func (l *loadGenerator) submit(ctx context.Context, baseURL string, out outgoingRequest) (caller.Reply, error) {
	return caller.New(baseURL, l.http).Submit(ctx, out.message)
}

// isRetryable reports whether the entry that received the request could not
// answer it because its connection was lost or because it is leaving.
func isRetryable(err error) bool {
	code := classifier.As(err).Code
	return code == classifier.PeerLost || code == classifier.Leaving
}

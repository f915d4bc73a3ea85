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

// How callers behave.
const (
	burstFactor    = 5.0  // rate of the queue whose turn it is, in means
	quietFactor    = 0.05 // rate of the others, in means
	turnTime       = 3 * time.Second
	callerDeadline = 8 * time.Second
	maxRepeats     = 3
	minRun         = 150 // milliseconds
	maxRun         = 450 // milliseconds
	urgentPart     = 0.2
	idempotentPart = 0.5
)

type (
	// balancer hands callers an entry that is up, as the platform's does.
	balancer struct {
		mu      sync.Mutex
		entries []string // base addresses
	}

	// load drives callers against the entries.
	load struct {
		balancer *balancer
		tally    *tally
		http     *http.Client
		queues   []queueSpec
		wait     sync.WaitGroup
	}
)

func (b *balancer) pick(r *rand.Rand) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.entries[r.IntN(len(b.entries))]
}

func (b *balancer) remove(base string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, e := range b.entries {
		if e == base {
			b.entries = append(b.entries[:i:i], b.entries[i+1:]...)
			return
		}
	}
}

// run starts one source of requests for each queue and returns when all their
// requests have ended.
func (l *load) run(ctx context.Context, seed uint64) {
	started := time.Now()
	for i, q := range l.queues {
		r := rand.New(rand.NewPCG(seed, uint64(i)))
		l.wait.Add(1)
		go func() {
			defer l.wait.Done()
			l.source(ctx, q, r, started)
		}()
	}
	l.wait.Wait()
}

// source sends the requests of one queue at random moments until ctx ends.
func (l *load) source(ctx context.Context, q queueSpec, r *rand.Rand, started time.Time) {
	next := time.Now()
	for {
		next = next.Add(time.Duration(r.ExpFloat64() / l.rate(q, started) * float64(time.Second)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
		req := l.newRequest(q, r)
		base := l.balancer.pick(r)
		repeat := rand.New(rand.NewPCG(r.Uint64(), 0))
		l.wait.Add(1)
		go func() {
			defer l.wait.Done()
			l.send(q, req, base, repeat)
		}()
	}
}

// rate returns the requests a second of the queue now.
func (l *load) rate(q queueSpec, started time.Time) float64 {
	turn := int(time.Since(started)/turnTime) % services
	if q.turn == turn {
		return q.mean * burstFactor
	}
	return q.mean * quietFactor
}

// outgoing is a request with what the caller sends.
type outgoing struct {
	*request
	call caller.Request
}

func (l *load) newRequest(q queueSpec, r *rand.Rand) outgoing {
	name := uuid.Must(uuid.NewV7()).String()
	class := scheduler.Background
	if r.Float64() < urgentPart {
		class = scheduler.Urgent
	}
	idempotent := r.Float64() < idempotentPart
	body := fmt.Sprintf(`{"sleep-ms":%d,"name":%q}`, minRun+r.IntN(maxRun-minRun), name)
	return outgoing{
		request: &request{name: name, team: q.team, pool: q.pool, class: class, idempotent: idempotent, sent: time.Now()},
		call: caller.Request{
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

// send submits the request and repeats it under the same name through another
// entry while its end is in doubt.
func (l *load) send(q queueSpec, out outgoing, base string, r *rand.Rand) {
	l.tally.submitted(out.request)
	ctx, stop := context.WithTimeout(context.Background(), 2*callerDeadline)
	defer stop()
	reply, err := l.submit(ctx, base, out)
	doubt := classifier.VerdictOf(err) == classifier.MayHaveRun
	for n := 0; n < maxRepeats && err != nil && lostConnection(err); n++ {
		base = l.balancer.pick(r)
		reply, err = l.submit(ctx, base, out)
		doubt = doubt || classifier.VerdictOf(err) == classifier.MayHaveRun
	}
	if doubt && classifier.VerdictOf(err) == classifier.NotRun {
		// A refusal of the last try says nothing about those before.
		err = classifier.Uncertain(classifier.As(err).Code, "%v", err)
	}
	crossed := err == nil && !bytes.Equal(reply.Output, out.call.Body)
	l.tally.settled(out.request, reply.Job, err, crossed)
}

func (l *load) submit(ctx context.Context, base string, out outgoing) (caller.Reply, error) {
	return caller.New(base, l.http).Submit(ctx, out.call)
}

func lostConnection(err error) bool {
	code := classifier.As(err).Code
	return code == classifier.PeerLost || code == classifier.Leaving
}

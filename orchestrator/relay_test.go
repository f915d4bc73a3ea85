package orchestrator_test

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/elector"
	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/orchestrator"
	"github.com/coltsfootlever/coltsfootlever/relayer"
	"github.com/coltsfootlever/coltsfootlever/supervisor"
	"github.com/coltsfootlever/coltsfootlever/throttler"
)

type (
	// testRelay is a relay between the entry nodes of a deployment and its workers.
	testRelay struct {
		server             *relayer.Server
		toRelay, toLeader  atomic.Int64 // delay of each frame in ns
		refusesConnections atomic.Bool
		workerDelay        atomic.Int64 // until a call reaches its worker
		cut                atomic.Pointer[context.CancelFunc]
		carried            atomic.Int64
	}

	// relayLink is the relay's connection to the workers.
	relayLink struct {
		relayer.Workers
		relay *testRelay
	}

	// relayStream is one side of a stream in memory.
	relayStream struct {
		ctx     context.Context
		in, out chan string
		delay   *atomic.Int64
	}
)

func (s relayStream) Send(frame []byte) error {
	data := string(frame)
	if err := supervisor.Pause(s.ctx, time.Duration(s.delay.Load())); err != nil {
		return err
	}
	select {
	case <-s.ctx.Done():
		return s.ctx.Err()
	case s.out <- data:
		return nil
	}
}

func (s relayStream) Receive() (string, error) {
	select {
	case <-s.ctx.Done():
		return "", s.ctx.Err()
	case data := <-s.in:
		return data, nil
	}
}

// Start implements relayer.Workers.
func (l relayLink) Start(ctx context.Context, w modeler.Worker, o modeler.StartOrder) (int64, error) {
	l.relay.carried.Add(1)
	time.Sleep(time.Duration(l.relay.workerDelay.Load()))
	return l.Workers.Start(ctx, w, o)
}

// RenewAndPoll implements relayer.Workers.
func (l relayLink) RenewAndPoll(ctx context.Context, w modeler.Worker, leaseDeadline, token, acknowledgedEnd int64, maxWait time.Duration) (modeler.Report, error) {
	time.Sleep(time.Duration(l.relay.workerDelay.Load()))
	return l.Workers.RenewAndPoll(ctx, w, leaseDeadline, token, acknowledgedEnd, maxWait)
}

// useRelay makes the entry nodes call workers through a relay.
func (d *deployment) useRelay() *testRelay {
	d.relay = &testRelay{}
	d.relay.server = relayer.NewServer(relayLink{d.taskFleet, d.relay}, relayer.WithServerClock(bubbleClock()), relayer.WithServerLog(d.log))
	return d.relay
}

// bubbleClock returns a clock that follows the virtual time.
func bubbleClock() func() time.Duration {
	start := time.Now()
	return func() time.Duration { return time.Hour + time.Since(start) }
}

// wayToWorkers returns the ways of a leader to the workers and their list.
func (r *testRelay) wayToWorkers(ctx context.Context, direct orchestrator.Workers, directory orchestrator.Directory, term *elector.Term, log *slog.Logger) (orchestrator.Workers, orchestrator.Directory) {
	list := func(context.Context) ([]relayer.Registration, error) {
		return []relayer.Registration{{Name: "relay", Address: "relay:1", ProcessorShare: 0.8}}, nil
	}
	c := relayer.NewClient(direct, term.Token, "leader", throttler.New(), list, relayer.WithClock(bubbleClock()), relayer.WithLog(log),
		relayer.WithUse(func(int, bool) bool { return true }), relayer.WithDialer(r.dial))
	go c.Run(ctx)
	return c, c.Directory(directory)
}

func (r *testRelay) dial(ctx context.Context, _ string) (relayer.Stream, error) {
	if r.refusesConnections.Load() {
		return nil, context.DeadlineExceeded
	}
	ctx, cancel := context.WithCancel(ctx)
	r.cut.Store(&cancel)
	there, back := make(chan string, 64), make(chan string, 64)
	go func() {
		defer cancel()
		_ = r.server.Serve(ctx, relayStream{ctx, there, back, &r.toLeader}) // the leader sees the end of the stream
	}()
	return relayStream{ctx, back, there, &r.toRelay}, nil
}

// draw draws how slow and lossy the relay is.
func (r *testRelay) draw(rng *rand.Rand) {
	slow := func(delay *atomic.Int64, most int) {
		delay.Store(0)
		if rng.IntN(3) == 0 {
			delay.Store(int64(rng.IntN(most)) * int64(time.Millisecond))
		}
	}
	slow(&r.toRelay, 700)
	slow(&r.toLeader, 700)
	slow(&r.workerDelay, 900)
	r.refusesConnections.Store(rng.IntN(4) == 0)
	if cut := r.cut.Load(); cut != nil && rng.IntN(2) == 0 {
		(*cut)()
	}
}

// repair reverts draw.
func (r *testRelay) repair() {
	r.toRelay.Store(0)
	r.toLeader.Store(0)
	r.workerDelay.Store(0)
	r.refusesConnections.Store(false)
}

// Draws how slow and lossy a relay is at each moment, and changes the leader. No
// task may run twice, and all jobs are completed.
func TestUnreliableRelayBreaksNoPromise(t *testing.T) {
	for seed := range uint64(100) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runScenario(t, 4, func(s *deployment) {
				s.keepInstances()
				relay := s.useRelay()
				rng := rand.New(rand.NewPCG(seed, 3))
				e := s.startEntry("one")
				time.Sleep(2 * time.Second)
				const jobs = 30
				for n := range jobs {
					relay.draw(rng)
					if n == jobs/2 {
						e.crash()
						e = s.startEntry("two")
					}
					s.submit(shortJob(fmt.Sprintf("j%d", n)))
					time.Sleep(time.Duration(200+rng.IntN(3000)) * time.Millisecond)
				}
				relay.repair()
				time.Sleep(30 * time.Second)
				for n := range jobs {
					s.requireDoneOnce(fmt.Sprintf("j%d", n), 4)
				}
				e.stopGracefully()
			})
		})
	}
}

// Whole jobs by a relay, without faults: the engine must not notice it.
func TestRelayCarriesTheStartsOfJobs(t *testing.T) {
	runScenario(t, 4, func(s *deployment) {
		s.keepInstances()
		relay := s.useRelay()
		e := s.startEntry("one")
		time.Sleep(3 * time.Second)
		s.submit(shortJob("j1"))
		time.Sleep(1500 * time.Millisecond)
		s.requireDoneOnce("j1", 4)
		require.EqualValues(t, 4, relay.carried.Load())
		e.stopGracefully()
	})
}

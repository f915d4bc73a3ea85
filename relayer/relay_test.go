package relayer_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/relayer"
	"github.com/coltsfootlever/coltsfootlever/requester"
	"github.com/coltsfootlever/coltsfootlever/supervisor"
	"github.com/coltsfootlever/coltsfootlever/throttler"
)

// fakeWorkers records the calls that reach workers by one way.
type fakeWorkers struct {
	delay       atomic.Int64
	unreachable sync.Map // worker IDs
	gone        sync.Map // worker IDs

	mu     sync.Mutex
	starts []modeler.StartOrder
	polls  []int64 // lease deadlines
	stops  int
}

func (f *fakeWorkers) arrive(ctx context.Context, w modeler.Worker) error {
	if _, ok := f.unreachable.Load(w.ID); ok {
		return &requester.Error{MaybeSent: true, Err: errors.New("no response")}
	}
	if _, ok := f.gone.Load(w.ID); ok {
		return &requester.Error{Err: errors.New("connection refused")}
	}
	return supervisor.Pause(ctx, time.Duration(f.delay.Load()))
}

func (f *fakeWorkers) Start(ctx context.Context, w modeler.Worker, o modeler.StartOrder) (int64, error) {
	f.mu.Lock()
	f.starts = append(f.starts, o)
	f.mu.Unlock()
	if o.Run == 13 {
		return 0, modeler.ErrInsufficientCapacity
	}
	return 5, f.arrive(ctx, w)
}

func (f *fakeWorkers) Stop(ctx context.Context, w modeler.Worker, _ modeler.TaskID, _ int, _ int64) error {
	f.mu.Lock()
	f.stops++
	f.mu.Unlock()
	return f.arrive(ctx, w)
}

func (f *fakeWorkers) SetPace(ctx context.Context, w modeler.Worker, _ modeler.TaskID, _, _ int, _ int64) error {
	return f.arrive(ctx, w)
}

func (f *fakeWorkers) RenewAndPoll(ctx context.Context, w modeler.Worker, leaseDeadline, _, _ int64, wait time.Duration) (modeler.Report, error) {
	f.mu.Lock()
	f.polls = append(f.polls, leaseDeadline)
	f.mu.Unlock()
	if err := f.arrive(ctx, w); err != nil {
		return modeler.Report{}, err
	}
	return modeler.Report{StartTimeMs: 7, ClockMs: 9}, supervisor.Pause(ctx, wait)
}

func (f *fakeWorkers) counts() (starts, polls int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.starts), len(f.polls)
}

// pipe is one side of a stream in memory. While it is held, what is sent is
// delayed.
type pipe struct {
	ctx     context.Context
	in, out chan string
	held    *atomic.Bool
	frames  *atomic.Int64
}

func (p pipe) Send(frame []byte) error {
	data := string(frame)
	for p.held.Load() {
		if err := supervisor.Pause(p.ctx, time.Millisecond); err != nil {
			return err
		}
	}
	p.frames.Add(1)
	select {
	case <-p.ctx.Done():
		return p.ctx.Err()
	case p.out <- data:
		return nil
	}
}

func (p pipe) Receive() (string, error) {
	select {
	case <-p.ctx.Done():
		return "", p.ctx.Err()
	case data := <-p.in:
		return data, nil
	}
}

// site is a leader with one relay and ten workers.
type site struct {
	direct, byRelay *fakeWorkers
	server          *relayer.Server
	client          *relayer.Client
	worker          modeler.Worker
	refusesDials    atomic.Bool
	held            atomic.Bool  // frames to the relay are delayed
	resultsHeld     atomic.Bool  // frames from the relay are delayed
	leaderFrames    atomic.Int64 // sent by the leader
	relayPause      atomic.Int64 // time that the relay's clock has gained while it was paused
	streams         atomic.Int64
	maxListAge      time.Duration
	losesLists      atomic.Bool                        // the relays can't be listed
	cut             atomic.Pointer[context.CancelFunc] // breaks the stream
}

func newSite(ctx context.Context) *site {
	s := &site{direct: &fakeWorkers{}, byRelay: &fakeWorkers{}, worker: modeler.Worker{ID: "w0", Address: "a"}}
	start := time.Now()
	s.server = relayer.NewServer(s.byRelay, relayer.WithServerClock(func() time.Duration {
		return time.Hour + time.Since(start) + time.Duration(s.relayPause.Load())
	}))
	s.client = s.newClient(ctx, 8)
	s.awaitRelay()
	return s
}

// newClient returns the client of a leader with the token, which runs until ctx
// ends.
func (s *site) newClient(ctx context.Context, token int64) *relayer.Client {
	start := time.Now()
	list := func(context.Context) ([]relayer.Registration, error) {
		if s.losesLists.Load() {
			return nil, errors.New("store unavailable")
		}
		return []relayer.Registration{{Name: "r", Address: "r:1", ProcessorShare: 0.8}}, nil
	}
	c := relayer.NewClient(s.direct, token, "leader", throttler.New(), list, relayer.WithDialer(s.dial),
		relayer.WithUse(func(int, bool) bool { return true }), relayer.WithMaxListAge(s.maxListAge, nil), relayer.WithClock(func() time.Duration { return time.Since(start) }))
	var workers []modeler.Worker
	for i := range 10 {
		workers = append(workers, modeler.Worker{ID: fmt.Sprint("w", i)})
	}
	c.SetWorkers(workers)
	go c.Run(ctx)
	return c
}

// awaitRelay waits until a relay has certainly been connected if there is one.
func (s *site) awaitRelay() {
	time.Sleep(1100 * time.Millisecond)
}

func (s *site) dial(ctx context.Context, _ string) (relayer.Stream, error) {
	if s.refusesDials.Load() {
		return nil, errors.New("connection refused")
	}
	ctx, cancel := context.WithCancel(ctx)
	s.cut.Store(&cancel)
	there, back := make(chan string, 64), make(chan string, 64)
	go func() {
		defer cancel()
		_ = s.server.Serve(ctx, pipe{ctx, there, back, &s.resultsHeld, new(atomic.Int64)})
	}()
	s.streams.Add(1)
	return pipe{ctx, back, there, &s.held, &s.leaderFrames}, nil
}

func (s *site) start(ctx context.Context, run int) error {
	_, err := s.client.Start(ctx, s.worker, modeler.StartOrder{Task: modeler.TaskID{Job: "j"}, Run: run, FencingToken: 8})
	return err
}

func (s *site) poll(ctx context.Context, deadline int64) (modeler.Report, error) {
	return s.client.RenewAndPoll(ctx, s.worker, deadline, 8, 1, 100*time.Millisecond)
}

// runSite runs a test in virtual time.
func runSite(t *testing.T, test func(t *testing.T, ctx context.Context, s *site)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		test(t, ctx, newSite(ctx))
	})
}

// requireUnknown requires that the call may have been carried out.
func requireUnknown(t *testing.T, err error) {
	var requestErr *requester.Error
	require.ErrorAs(t, err, &requestErr)
	require.True(t, requestErr.MaybeSent, "%v", err)
}

// requireNotSent requires that the call was certainly not sent.
func requireNotSent(t *testing.T, err error) {
	var requestErr *requester.Error
	require.ErrorAs(t, err, &requestErr)
	require.False(t, requestErr.MaybeSent, "%v", err)
}

func TestCallsTakeTheRelayAndKeepTheirErrors(t *testing.T) {
	runSite(t, func(t *testing.T, ctx context.Context, s *site) {
		require.NoError(t, s.start(ctx, 1))
		require.ErrorIs(t, s.start(ctx, 13), modeler.ErrInsufficientCapacity)
		require.NoError(t, s.client.Stop(ctx, s.worker, modeler.TaskID{Job: "j"}, 1, 8))
		require.NoError(t, s.client.SetPace(ctx, s.worker, modeler.TaskID{Job: "j"}, 1, 50, 8))
		report, err := s.poll(ctx, 4711)
		require.NoError(t, err)
		require.Equal(t, modeler.Report{StartTimeMs: 7, ClockMs: 9}, report)
		require.Equal(t, []int64{4711}, s.byRelay.polls, "a relay must extend leases exactly as far as the leader asked")
		require.Equal(t, int64(8), s.byRelay.starts[0].FencingToken)
		starts, polls := s.direct.counts()
		require.Zero(t, starts+polls)
	})
}

// Idle streams must cost little: a message a second keeps them alive.
func TestIdleStreamSendsOneFrameASecond(t *testing.T) {
	runSite(t, func(t *testing.T, _ context.Context, s *site) {
		before := s.leaderFrames.Load()
		time.Sleep(20 * time.Second)
		require.InDelta(t, 20, s.leaderFrames.Load()-before, 1)
		require.EqualValues(t, 1, s.streams.Load())
	})
}

// While the store doesn't respond, the known relays must stay in use.
func TestRelaysStayWithoutTheStore(t *testing.T) {
	runSite(t, func(t *testing.T, ctx context.Context, s *site) {
		s.losesLists.Store(true)
		time.Sleep(12 * time.Second)
		require.NoError(t, s.start(ctx, 1))
		starts, _ := s.byRelay.counts()
		require.Equal(t, 1, starts)
		require.EqualValues(t, 1, s.streams.Load())
	})
}

// A start that waited on a stalled stream, or in a relay or leader that was
// paused, may have been given up: it must not be sent any more.
func TestOldStartsAreNotSent(t *testing.T) {
	runSite(t, func(t *testing.T, ctx context.Context, s *site) {
		s.held.Store(true)
		result := make(chan error)
		go func() { result <- s.start(ctx, 1) }()
		time.Sleep(400 * time.Millisecond)
		s.held.Store(false)
		require.NoError(t, <-result, "a younger one is sent")
		s.held.Store(true)
		go func() { result <- s.start(ctx, 2) }()
		time.Sleep(10 * time.Millisecond)
		s.relayPause.Add(int64(510 * time.Millisecond)) // the relay was paused before it read the start
		s.held.Store(false)
		requireNotSent(t, <-result)
		starts, _ := s.byRelay.counts()
		require.Equal(t, 1, starts)

		time.Sleep(2 * time.Second) // the leader has a newer stamp by then
		s.worker.ID = "w1"
		s.held.Store(true)
		go func() { result <- s.start(ctx, 3) }()
		time.Sleep(time.Second)
		s.held.Store(false)
		requireNotSent(t, <-result)
		starts, _ = s.byRelay.counts()
		require.Equal(t, 1, starts)
	})
}

// A relay that sends no polls, here because its clock runs ahead, must not let the
// leases of its workers expire.
func TestRelayThatSendsNothingKeepsNoWorker(t *testing.T) {
	runSite(t, func(t *testing.T, ctx context.Context, s *site) {
		for deadline := range int64(3) {
			s.relayPause.Add(int64(600 * time.Millisecond))
			_, err := s.poll(ctx, 1+deadline)
			require.NoError(t, err)
		}
		require.Equal(t, []int64{0, 2, 3}, s.direct.polls)
		require.Empty(t, s.byRelay.polls)
	})
}

// When a stream is lost, a start that was under way may have been carried out, and
// its workers must not look unresponsive.
func TestLostStreamLeavesStartsUnknownAndRepeatsPolls(t *testing.T) {
	runSite(t, func(t *testing.T, ctx context.Context, s *site) {
		s.byRelay.delay.Store(int64(200 * time.Millisecond))
		result := make(chan error)
		go func() { result <- s.start(ctx, 1) }()
		polled := make(chan error)
		go func() { _, err := s.poll(ctx, 4711); polled <- err }()
		time.Sleep(50 * time.Millisecond)
		s.refusesDials.Store(true)
		(*s.cut.Load())()
		requireUnknown(t, <-result)
		require.NoError(t, <-polled)
		require.Equal(t, []int64{0}, s.direct.polls, "the repeated poll must extend no lease")
		require.NoError(t, s.start(ctx, 2))
		starts, _ := s.direct.counts()
		require.Equal(t, 1, starts, "the worker is called directly")

		s.byRelay.delay.Store(0)
		s.refusesDials.Store(false)
		time.Sleep(10 * time.Second)
		require.NoError(t, s.start(ctx, 3))
		starts, _ = s.byRelay.counts()
		require.Equal(t, 2, starts, "the relay is used again")
	})
}

// A relay that is too slow must lose its workers and get them back after a pause.
// A worker whose call has timed out is called directly at once, so that the outcome
// is resolved on another way.
func TestSlowRelayIsReplacedForSomeTime(t *testing.T) {
	runSite(t, func(t *testing.T, ctx context.Context, s *site) {
		s.resultsHeld.Store(true)
		startOn := func(worker string) (direct int, err error) {
			s.worker.ID = worker
			err = s.start(ctx, 20)
			direct, _ = s.direct.counts()
			return direct, err
		}
		_, err := startOn("w0")
		requireUnknown(t, err)
		direct, err := startOn("w0")
		require.NoError(t, err)
		require.Equal(t, 1, direct, "only this worker so far")
		for i := range 5 {
			_, err = startOn(fmt.Sprint("w", 1+i))
			requireUnknown(t, err)
		}
		direct, err = startOn("w9")
		require.NoError(t, err)
		require.Equal(t, 2, direct)
		s.resultsHeld.Store(false)
		time.Sleep(8 * time.Second)
		direct, err = startOn("w9")
		require.NoError(t, err)
		require.Equal(t, 2, direct)
	})
}

// A relay without any frame for three seconds is disconnected, though its
// connection may look open.
func TestSilentRelayIsDropped(t *testing.T) {
	runSite(t, func(t *testing.T, ctx context.Context, s *site) {
		s.refusesDials.Store(true)
		s.resultsHeld.Store(true)
		time.Sleep(4 * time.Second)
		require.NoError(t, s.start(ctx, 1))
		starts, _ := s.direct.counts()
		require.Equal(t, 1, starts)
	})
}

// A relay that can't reach some workers must not make them unresponsive for the
// leader, nor lose the others.
func TestWorkerThatItsRelayCannotReachIsCalledDirectly(t *testing.T) {
	runSite(t, func(t *testing.T, ctx context.Context, s *site) {
		s.byRelay.unreachable.Store("w0", true)
		_, err := s.poll(ctx, 1)
		requireUnknown(t, err)
		_, err = s.poll(ctx, 2)
		require.NoError(t, err)
		require.Equal(t, []int64{2}, s.direct.polls)
		s.worker.ID = "w1"
		_, err = s.poll(ctx, 3)
		require.NoError(t, err)
		require.Equal(t, []int64{1, 3}, s.byRelay.polls)
		s.byRelay.unreachable.Delete("w0")
		s.worker.ID = "w0"
		time.Sleep(11 * time.Second)
		_, err = s.poll(ctx, 4)
		require.NoError(t, err)
		require.Equal(t, []int64{1, 3, 4}, s.byRelay.polls)
	})
}

// A relay that is cut off from its workers must not make each of them unresponsive
// again and again.
func TestRelayThatReachesNoWorkerIsReplaced(t *testing.T) {
	runSite(t, func(t *testing.T, ctx context.Context, s *site) {
		for i := range 10 {
			s.byRelay.unreachable.Store(fmt.Sprint("w", i), true)
		}
		for i := range 6 {
			s.worker.ID = fmt.Sprint("w", i)
			_, err := s.poll(ctx, 1)
			requireUnknown(t, err)
			_, err = s.poll(ctx, 1)
			require.NoError(t, err)
		}
		time.Sleep(100 * time.Millisecond)
		s.worker.ID = "w9"
		_, err := s.poll(ctx, 1)
		require.NoError(t, err)
	})
}

// Hundreds of workers go at once when pools shrink. Calls to them fail by any path, so
// their relay must stay in use.
func TestWorkersThatAreGoneDoNotCountAgainstTheirRelay(t *testing.T) {
	runSite(t, func(t *testing.T, ctx context.Context, s *site) {
		for i := range 10 {
			s.worker.ID = fmt.Sprint("w", i)
			s.byRelay.gone.Store(s.worker.ID, true)
			s.direct.gone.Store(s.worker.ID, true)
			for range 2 {
				_, err := s.poll(ctx, 1)
				requireNotSent(t, err)
			}
		}
		time.Sleep(100 * time.Millisecond)
		s.byRelay.gone.Delete("w9")
		time.Sleep(11 * time.Second) // w9 is called directly meanwhile
		before, _ := s.byRelay.counts()
		require.NoError(t, s.start(ctx, 1))
		starts, _ := s.byRelay.counts()
		require.Equal(t, before+1, starts)
		require.EqualValues(t, 1, s.streams.Load(), "the stream was not replaced")
	})
}

// A relay must not serve a leader that has been silent for as long as one without
// its lease may extend leases: the next leader counts on the end of the leases.
func TestRelayDropsASilentLeader(t *testing.T) {
	runSite(t, func(t *testing.T, ctx context.Context, s *site) {
		s.byRelay.delay.Store(int64(time.Minute))
		go func() { _, _ = s.poll(ctx, 1) }()
		time.Sleep(100 * time.Millisecond)
		s.held.Store(true)
		s.refusesDials.Store(true)
		time.Sleep(3 * time.Second)
		require.ErrorContains(t, <-s.served(), "higher", "the leader is still served")
		time.Sleep(1600 * time.Millisecond)
		require.ErrorIs(t, <-s.served(), context.DeadlineExceeded, "any leader is accepted")
	})
}

// served returns a channel with the result of a new stream with a lower token, which
// a relay refuses while it serves another leader.
func (s *site) served() <-chan error {
	result := make(chan error, 1)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	there := make(chan string, 1)
	there <- "\x01\x02"
	go func() {
		defer cancel()
		result <- s.server.Serve(ctx, pipe{ctx, there, make(chan string, 64), new(atomic.Bool), new(atomic.Int64)})
	}()
	return result
}

// Around a handover a relay must serve only the newer leader.
func TestHigherTokenEndsTheStreamOfALowerOne(t *testing.T) {
	runSite(t, func(t *testing.T, ctx context.Context, s *site) {
		require.ErrorContains(t, <-s.served(), "higher", "a lower token is refused")
		s.byRelay.delay.Store(int64(time.Second))
		result := make(chan error)
		go func() { result <- s.start(ctx, 1) }()
		time.Sleep(20 * time.Millisecond)
		next := s.newClient(ctx, 9)
		requireUnknown(t, <-result)
		s.byRelay.delay.Store(0)
		time.Sleep(200 * time.Millisecond)
		_, err := next.Start(ctx, s.worker, modeler.StartOrder{Run: 2, FencingToken: 9})
		require.NoError(t, err)
		require.Equal(t, int64(9), s.byRelay.starts[1].FencingToken)
		_ = s.start(ctx, 3)
		require.Len(t, s.byRelay.starts, 2, "the old leader finds no relay")
	})
}

// A start must not reach its worker by way of a relay when the list of workers is
// older than it may be: the worker may have less capacity by then.
func TestStartsOnAnOldListAreSentDirectly(t *testing.T) {
	runSite(t, func(t *testing.T, ctx context.Context, s *site) {
		s.maxListAge = 2800 * time.Millisecond
		s.client = s.newClient(ctx, 9)
		directory := s.client.Directory(listOfWorkers{{ID: "w0"}})
		s.awaitRelay()
		start := func() (relayed int) {
			_, err := s.client.Start(ctx, s.worker, modeler.StartOrder{FencingToken: 9})
			require.NoError(t, err)
			relayed, _ = s.byRelay.counts()
			return relayed
		}
		_, err := directory.Workers(ctx)
		require.NoError(t, err)
		time.Sleep(2200 * time.Millisecond)
		require.Equal(t, 1, start())
		time.Sleep(200 * time.Millisecond)
		require.Equal(t, 1, start())
		_, err = directory.Workers(ctx)
		require.NoError(t, err)
		require.Equal(t, 2, start())
	})
}

// A relay may send a start half a second later, when the zone of the worker may no
// longer be used.
func TestStartsThatMustBeSentSoonAreSentDirectly(t *testing.T) {
	runSite(t, func(t *testing.T, ctx context.Context, s *site) {
		for run, left := range []time.Duration{600 * time.Millisecond, 400 * time.Millisecond} {
			callCtx, cancel := context.WithTimeout(ctx, left)
			require.NoError(t, s.start(callCtx, run+1))
			cancel()
			relayed, _ := s.byRelay.counts()
			require.Equal(t, 1, relayed, left.String())
		}
	})
}

type listOfWorkers []modeler.Worker

func (l listOfWorkers) Workers(context.Context) ([]modeler.Worker, error) { return l, nil }

// A full relay must refuse calls and say that they were not sent.
func TestRelayBoundsItsOpenCalls(t *testing.T) {
	runSite(t, func(t *testing.T, ctx context.Context, s *site) {
		s.byRelay.delay.Store(int64(250 * time.Millisecond))
		var wg sync.WaitGroup
		var refused atomic.Int64
		for run := range 1100 {
			wg.Go(func() {
				var requestErr *requester.Error
				if err := s.start(ctx, 100+run); errors.As(err, &requestErr) && !requestErr.MaybeSent {
					refused.Add(1)
				}
			})
		}
		wg.Wait()
		starts, _ := s.byRelay.counts()
		require.Equal(t, 1024, starts)
		require.EqualValues(t, 1100-1024, refused.Load())
	})
}

func ExampleAssign() {
	workers := []relayer.AssignedWorker{{ID: "w0", Zone: "a"}, {ID: "w1", Zone: "b"}}
	relays := []relayer.Relay{{Name: "strong", Zone: "b", ProcessorShare: 0.8, LinkMbps: 200}, {Name: "weak", Zone: "a", ProcessorShare: 0.192, LinkMbps: 10}}
	fmt.Println(relayer.Assign(nil, workers, relays), relays[1].Capacity())
	// Output: map[w0:strong w1:strong] 0
}

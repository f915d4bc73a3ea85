package messenger_test

import (
	"context"
	"crypto/sha256"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc/test/bufconn"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/messenger"
	"github.com/coltsfootlever/coltsfootlever/scheduler"
)

const connBufferBytes = 64 << 10

// handler is a messenger.Handler that records the last request and returns the
// answers and the error that the test has set.
type handler struct {
	lastRequest  any
	reply        messenger.ClaimReply
	answer       messenger.Answer
	err          error
	blockForward bool // Forward waits until its context ends
}

func (h *handler) Heartbeat(_ context.Context, hb messenger.Heartbeat) (messenger.Heartbeat, error) {
	h.lastRequest = hb
	return hb, h.err
}

func (h *handler) Claim(_ context.Context, r messenger.ClaimRequest) (messenger.ClaimReply, error) {
	h.lastRequest = r
	return h.reply, h.err
}

func (h *handler) ReportTaskOutcome(_ context.Context, r messenger.SettleRequest) error {
	h.lastRequest = r
	return h.err
}

func (h *handler) HandOver(_ context.Context, r messenger.HandOverRequest) error {
	h.lastRequest = r
	return h.err
}

func (h *handler) WaitForAnswer(_ context.Context, r messenger.AttachRequest) (messenger.Answer, error) {
	h.lastRequest = r
	return h.answer, h.err
}

func (h *handler) ForwardTask(ctx context.Context, r messenger.ForwardRequest) (messenger.Answer, error) {
	h.lastRequest = r
	if h.blockForward {
		<-ctx.Done()
	}
	return h.answer, h.err
}

func (h *handler) CancelTask(_ context.Context, r messenger.CancelRequest) error {
	h.lastRequest = r
	return h.err
}

func (h *handler) ListRulesChanges(_ context.Context, r messenger.ChangesRequest) (messenger.ChangesReply, error) {
	h.lastRequest = r
	return messenger.ChangesReply{Snapshot: []byte("s"), Changes: [][]byte{[]byte("1"), []byte("2")}}, h.err
}

func (h *handler) FetchReport(_ context.Context, r messenger.ReportRequest) (messenger.ReportReply, error) {
	h.lastRequest = r
	return messenger.ReportReply{Payload: []byte(`{"n":1}`)}, h.err
}

// withPeer runs fn in a synctest bubble with a client that is connected to a server
// of h. stop ends the server.
func withPeer(t *testing.T, h *handler, fn func(t *testing.T, c *messenger.Client, stop context.CancelFunc)) {
	synctest.Test(t, func(t *testing.T) {
		l := bufconn.Listen(connBufferBytes)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		s := messenger.NewServer(h, messenger.WithListener(l), messenger.WithGracePeriod(time.Second))
		go func() { done <- s.Run(ctx) }()
		c := messenger.NewClient(messenger.WithDialer(func(ctx context.Context, _ string) (net.Conn, error) {
			return l.DialContext(ctx)
		}))
		fn(t, c, cancel)
		require.NoError(t, c.Close())
		cancel()
		require.NoError(t, <-done)
	})
}

// completeAnswer returns an answer with the right digest of its output.
func completeAnswer(task, output string) messenger.Answer {
	return messenger.Answer{
		Task:    task,
		Attempt: 2,
		Output:  []byte(output),
		Digest:  sha256.Sum256([]byte(output)),
		Worker:  "w1",
	}
}

func TestMessagesArriveUnchanged(t *testing.T) {
	at := time.Unix(1_800_000_000, 42)
	h := &handler{}
	withPeer(t, h, func(t *testing.T, c *messenger.Client, _ context.CancelFunc) {
		ctx := t.Context()
		hb := messenger.Heartbeat{
			From: "a.1", View: 7, Rules: 9, HasStore: true,
			Pools: []messenger.PoolLoad{{Pool: "p", Slots: 8, Running: 3, Waiting: 1}},
			Teams: []messenger.TeamLoad{{Team: "t", Pool: "p", Running: 2, Waiting: 5}},
		}
		state, err := c.Heartbeat(ctx, "x", hb)
		require.NoError(t, err)
		require.Equal(t, hb, state)

		claim := messenger.ClaimRequest{View: 3, Team: "t", Name: "n", Digest: [32]byte{1}, Member: "a.1", Task: "k"}
		h.reply = messenger.ClaimReply{
			Holder: "b.1", Task: "k2", View: 4,
			Err: classifier.Uncertain(classifier.Repeated, "perhaps").WithRetryAfter(time.Second),
		}
		reply, err := c.Claim(ctx, "x", claim)
		require.NoError(t, err)
		require.Equal(t, h.reply, reply)
		require.Equal(t, claim, h.lastRequest)

		settle := messenger.SettleRequest{Team: "t", Name: "n", Task: "k", Verdict: classifier.NotRun}
		require.NoError(t, c.ReportTaskOutcome(ctx, "x", settle))
		require.Equal(t, settle, h.lastRequest)

		names := []messenger.HeldName{{Hash: [16]byte{9}, Member: "m", Task: "k", Claimed: at, Settled: true}, {}}
		handOver := messenger.HandOverRequest{From: "a.1", View: 8, Names: names, Last: true}
		require.NoError(t, c.HandOver(ctx, "x", handOver))
		require.Equal(t, handOver, h.lastRequest)

		task := scheduler.Task{
			ID: "k", Team: "t", Queue: "q", Service: "s", Pool: "p", Class: scheduler.Urgent, Name: "n",
			Idempotent: true, Body: []byte("b"), Slots: 2, Accepted: at, Deadline: at.Add(time.Minute), Forwarded: true,
		}
		h.answer = completeAnswer("k", "output")
		answer, err := c.ForwardTask(ctx, "x", messenger.ForwardRequest{From: "a.1", Task: task})
		require.NoError(t, err)
		require.Equal(t, h.answer, answer)
		require.Equal(t, messenger.ForwardRequest{From: "a.1", Task: task}, h.lastRequest)

		answer, err = c.WaitForAnswer(ctx, "x", messenger.AttachRequest{Team: "t", Name: "n", Task: "k"})
		require.NoError(t, err)
		require.Equal(t, h.answer, answer)

		require.NoError(t, c.CancelTask(ctx, "x", messenger.CancelRequest{Task: "k"}))
		require.Equal(t, messenger.CancelRequest{Task: "k"}, h.lastRequest)

		changes, err := c.ListRulesChanges(ctx, "x", messenger.ChangesRequest{After: 5})
		require.NoError(t, err)
		require.Len(t, changes.Changes, 2)
		require.Equal(t, messenger.ChangesRequest{After: 5}, h.lastRequest)

		report, err := c.FetchReport(ctx, "x", messenger.ReportRequest{Kind: "burn", Subject: "q"})
		require.NoError(t, err)
		require.Equal(t, `{"n":1}`, string(report.Payload))
		require.Equal(t, messenger.ReportRequest{Kind: "burn", Subject: "q"}, h.lastRequest)
	})
}

func TestHandlerErrorsKeepTheirVerdict(t *testing.T) {
	tests := []struct {
		name string
		err  error
		want *classifier.Error
	}{
		{"refusal", classifier.Refuse(classifier.Isolated, "cut off"), classifier.Refuse(classifier.Isolated, "cut off")},
		{"traced", errors.Trace(classifier.Refuse(classifier.Leaving, "x")), classifier.Refuse(classifier.Leaving, "x")},
		{"plain", errors.New("boom"), classifier.Uncertain(classifier.Internal, "boom")},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withPeer(t, &handler{err: tt.err}, func(t *testing.T, c *messenger.Client, _ context.CancelFunc) {
				_, err := c.ForwardTask(t.Context(), "x", messenger.ForwardRequest{Task: scheduler.Task{ID: "k"}})
				require.Equal(t, tt.want, classifier.As(err))
			})
		})
	}
}

func TestMalformedRequestIsRefused(t *testing.T) {
	h := &handler{}
	withPeer(t, h, func(t *testing.T, c *messenger.Client, _ context.CancelFunc) {
		_, err := c.Claim(t.Context(), "x", messenger.ClaimRequest{Name: "n"})
		require.Equal(t, classifier.NotRun, classifier.VerdictOf(err))
		require.Equal(t, classifier.BadRequest, classifier.As(err).Code)
		require.Nil(t, h.lastRequest)
	})
}

func TestTruncatedOrMismatchedAnswerIsAnError(t *testing.T) {
	truncated := completeAnswer("k", "output")
	truncated.Output = truncated.Output[:3]
	tests := []struct {
		name   string
		answer messenger.Answer
		want   classifier.Code
	}{
		{"truncated", truncated, classifier.Truncated},
		{"crossed", completeAnswer("other", "output"), classifier.Crossed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withPeer(t, &handler{answer: tt.answer}, func(t *testing.T, c *messenger.Client, _ context.CancelFunc) {
				_, err := c.ForwardTask(t.Context(), "x", messenger.ForwardRequest{Task: scheduler.Task{ID: "k"}})
				require.Equal(t, tt.want, classifier.As(err).Code)
				require.Equal(t, classifier.MayHaveRun, classifier.VerdictOf(err))
			})
		})
	}
}

func TestServerStopDuringAndBeforeCall(t *testing.T) {
	h := &handler{blockForward: true}
	withPeer(t, h, func(t *testing.T, c *messenger.Client, stop context.CancelFunc) {
		errs := make(chan error, 1)
		go func() {
			_, err := c.ForwardTask(t.Context(), "x", messenger.ForwardRequest{Task: scheduler.Task{ID: "k"}})
			errs <- err
		}()
		synctest.Wait()
		stop()
		forwardErr := <-errs
		require.Equal(t, classifier.PeerLost, classifier.As(forwardErr).Code)
		require.Equal(t, classifier.MayHaveRun, classifier.VerdictOf(forwardErr))

		time.Sleep(time.Minute)
		err := c.CancelTask(t.Context(), "x", messenger.CancelRequest{Task: "k"})
		require.Equal(t, classifier.PeerLost, classifier.As(err).Code)
		require.Equal(t, classifier.NotRun, classifier.VerdictOf(err))
	})
}

func TestCallWithEndedContextIsNotSent(t *testing.T) {
	h := &handler{}
	withPeer(t, h, func(t *testing.T, c *messenger.Client, _ context.CancelFunc) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		err := c.CancelTask(ctx, "x", messenger.CancelRequest{Task: "k"})
		require.Equal(t, classifier.NotRun, classifier.VerdictOf(err))
		require.Nil(t, h.lastRequest)
	})
}

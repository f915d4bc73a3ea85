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

const pipeBytes = 64 << 10

// handler records the last request and answers with what the test set.
type handler struct {
	got    any
	reply  messenger.ClaimReply
	answer messenger.Answer
	err    error
	stall  bool // Forward waits until its call is cut off
}

func (h *handler) Heartbeat(_ context.Context, hb messenger.Heartbeat) (messenger.Heartbeat, error) {
	h.got = hb
	return hb, h.err
}

func (h *handler) Claim(_ context.Context, r messenger.ClaimRequest) (messenger.ClaimReply, error) {
	h.got = r
	return h.reply, h.err
}

func (h *handler) Settle(_ context.Context, r messenger.SettleRequest) error {
	h.got = r
	return h.err
}

func (h *handler) HandOver(_ context.Context, r messenger.HandOverRequest) error {
	h.got = r
	return h.err
}

func (h *handler) Attach(_ context.Context, r messenger.AttachRequest) (messenger.Answer, error) {
	h.got = r
	return h.answer, h.err
}

func (h *handler) Forward(ctx context.Context, r messenger.ForwardRequest) (messenger.Answer, error) {
	h.got = r
	if h.stall {
		<-ctx.Done()
	}
	return h.answer, h.err
}

func (h *handler) Cancel(_ context.Context, r messenger.CancelRequest) error {
	h.got = r
	return h.err
}

func (h *handler) Changes(_ context.Context, r messenger.ChangesRequest) (messenger.ChangesReply, error) {
	h.got = r
	return messenger.ChangesReply{Snapshot: []byte("s"), Changes: [][]byte{[]byte("1"), []byte("2")}}, h.err
}

func (h *handler) Report(_ context.Context, r messenger.ReportRequest) (messenger.ReportReply, error) {
	h.got = r
	return messenger.ReportReply{Payload: []byte(`{"n":1}`)}, h.err
}

// withPeer runs fn in a bubble with a client connected to h.
func withPeer(t *testing.T, h *handler, fn func(t *testing.T, c *messenger.Client, stop context.CancelFunc)) {
	synctest.Test(t, func(t *testing.T) {
		l := bufconn.Listen(pipeBytes)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		s := messenger.NewServer(h, messenger.WithListener(l), messenger.WithGrace(time.Second))
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

func whole(task, output string) messenger.Answer {
	return messenger.Answer{
		Task:    task,
		Attempt: 2,
		Output:  []byte(output),
		Digest:  sha256.Sum256([]byte(output)),
		Worker:  "w1",
	}
}

func TestMessagesCrossWhole(t *testing.T) {
	at := time.Unix(1_800_000_000, 42)
	h := &handler{}
	withPeer(t, h, func(t *testing.T, c *messenger.Client, _ context.CancelFunc) {
		ctx := t.Context()
		hb := messenger.Heartbeat{
			From: "a.1", View: 7, Rules: 9, HasStore: true,
			Pools: []messenger.PoolLoad{{Pool: "p", Slots: 8, Running: 3, Waiting: 1}},
			Teams: []messenger.TeamLoad{{Team: "t", Pool: "p", Running: 2, Waiting: 5}},
		}
		back, err := c.Heartbeat(ctx, "x", hb)
		require.NoError(t, err)
		require.Equal(t, hb, back)

		claim := messenger.ClaimRequest{View: 3, Team: "t", Name: "n", Digest: [32]byte{1}, Member: "a.1", Task: "k"}
		h.reply = messenger.ClaimReply{
			Holder: "b.1", Task: "k2", View: 4,
			Err: classifier.Uncertain(classifier.Repeated, "perhaps").WithRetryAfter(time.Second),
		}
		reply, err := c.Claim(ctx, "x", claim)
		require.NoError(t, err)
		require.Equal(t, h.reply, reply)
		require.Equal(t, claim, h.got)

		settle := messenger.SettleRequest{Team: "t", Name: "n", Task: "k", Verdict: classifier.NotRun}
		require.NoError(t, c.Settle(ctx, "x", settle))
		require.Equal(t, settle, h.got)

		names := []messenger.HeldName{{Hash: [16]byte{9}, Member: "m", Task: "k", Claimed: at, Settled: true}, {}}
		over := messenger.HandOverRequest{From: "a.1", View: 8, Names: names, Last: true}
		require.NoError(t, c.HandOver(ctx, "x", over))
		require.Equal(t, over, h.got)

		task := scheduler.Task{
			ID: "k", Team: "t", Queue: "q", Service: "s", Pool: "p", Class: scheduler.Urgent, Name: "n",
			Idempotent: true, Body: []byte("b"), Slots: 2, Accepted: at, Deadline: at.Add(time.Minute), Forwarded: true,
		}
		h.answer = whole("k", "output")
		answer, err := c.Forward(ctx, "x", messenger.ForwardRequest{From: "a.1", Task: task})
		require.NoError(t, err)
		require.Equal(t, h.answer, answer)
		require.Equal(t, messenger.ForwardRequest{From: "a.1", Task: task}, h.got)

		answer, err = c.Attach(ctx, "x", messenger.AttachRequest{Team: "t", Name: "n", Task: "k"})
		require.NoError(t, err)
		require.Equal(t, h.answer, answer)

		require.NoError(t, c.Cancel(ctx, "x", messenger.CancelRequest{Task: "k"}))
		require.Equal(t, messenger.CancelRequest{Task: "k"}, h.got)

		changes, err := c.Changes(ctx, "x", messenger.ChangesRequest{After: 5})
		require.NoError(t, err)
		require.Len(t, changes.Changes, 2)
		require.Equal(t, messenger.ChangesRequest{After: 5}, h.got)

		report, err := c.Report(ctx, "x", messenger.ReportRequest{Kind: "burn", Subject: "q"})
		require.NoError(t, err)
		require.Equal(t, `{"n":1}`, string(report.Payload))
		require.Equal(t, messenger.ReportRequest{Kind: "burn", Subject: "q"}, h.got)
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
				_, err := c.Forward(t.Context(), "x", messenger.ForwardRequest{Task: scheduler.Task{ID: "k"}})
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
		require.Nil(t, h.got)
	})
}

func TestWrongAnswersAreErrors(t *testing.T) {
	short := whole("k", "output")
	short.Output = short.Output[:3]
	tests := []struct {
		name   string
		answer messenger.Answer
		want   classifier.Code
	}{
		{"truncated", short, classifier.Truncated},
		{"crossed", whole("other", "output"), classifier.Crossed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withPeer(t, &handler{answer: tt.answer}, func(t *testing.T, c *messenger.Client, _ context.CancelFunc) {
				_, err := c.Forward(t.Context(), "x", messenger.ForwardRequest{Task: scheduler.Task{ID: "k"}})
				require.Equal(t, tt.want, classifier.As(err).Code)
				require.Equal(t, classifier.MayHaveRun, classifier.VerdictOf(err))
			})
		})
	}
}

func TestLostPeer(t *testing.T) {
	h := &handler{stall: true}
	withPeer(t, h, func(t *testing.T, c *messenger.Client, stop context.CancelFunc) {
		errs := make(chan error, 1)
		go func() {
			_, err := c.Forward(t.Context(), "x", messenger.ForwardRequest{Task: scheduler.Task{ID: "k"}})
			errs <- err
		}()
		synctest.Wait()
		stop()
		lost := <-errs
		require.Equal(t, classifier.PeerLost, classifier.As(lost).Code)
		require.Equal(t, classifier.MayHaveRun, classifier.VerdictOf(lost))

		time.Sleep(time.Minute)
		err := c.Cancel(t.Context(), "x", messenger.CancelRequest{Task: "k"})
		require.Equal(t, classifier.PeerLost, classifier.As(err).Code)
		require.Equal(t, classifier.NotRun, classifier.VerdictOf(err))
	})
}

func TestCallWithoutTimeIsNotSent(t *testing.T) {
	h := &handler{}
	withPeer(t, h, func(t *testing.T, c *messenger.Client, _ context.CancelFunc) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		err := c.Cancel(ctx, "x", messenger.CancelRequest{Task: "k"})
		require.Equal(t, classifier.NotRun, classifier.VerdictOf(err))
		require.Nil(t, h.got)
	})
}

package supervisor_test

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/supervisor"
)

func TestGroupStopsServicesInReverseOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := supervisor.NewGroup(slog.New(slog.DiscardHandler))
		var stopped []string
		for _, name := range []string{"first", "second", "third"} {
			require.NoError(t, group.Register(name, supervisor.Func(func(ctx context.Context) error {
				<-ctx.Done()
				stopped = append(stopped, name)
				return ctx.Err()
			})))
		}
		require.True(t, errors.Is(group.Register("first", nil), errors.AlreadyExists))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- group.Run(ctx) }()
		synctest.Wait()
		cancel()
		require.NoError(t, <-done)
		require.Equal(t, []string{"third", "second", "first"}, stopped)
	})
}

func TestRunReturnsTheErrorOfTheFailedService(t *testing.T) {
	group := supervisor.NewGroup(slog.New(slog.DiscardHandler))
	require.NoError(t, group.Register("broken", supervisor.Func(func(context.Context) error {
		return errors.New("sensor did not answer")
	})))
	require.ErrorContains(t, group.Run(t.Context()), `service "broken": sensor did not answer`)
	_, err := supervisor.Find[supervisor.Service](group, "absent")
	require.True(t, errors.Is(err, errors.NotFound))
	_, err = supervisor.Find[int](group, "broken")
	require.True(t, errors.Is(err, errors.NotValid))
}

func TestFullRingRejectsOfferAndBlocksPut(t *testing.T) {
	ring := supervisor.NewRing[int](1)
	require.True(t, ring.Offer(1))
	require.False(t, ring.Offer(2))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.ErrorIs(t, ring.Put(ctx, 3), context.Canceled)
	require.EqualValues(t, 2, ring.FullCount())
	require.Equal(t, 1, <-ring.ReceiveChan())
}

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

func TestKernelStopsInReverseOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := supervisor.New(slog.New(slog.DiscardHandler))
		var stopped []string
		for _, name := range []string{"first", "second", "third"} {
			require.NoError(t, k.Register(name, supervisor.Func(func(ctx context.Context) error {
				<-ctx.Done()
				stopped = append(stopped, name)
				return ctx.Err()
			})))
		}
		require.True(t, errors.Is(k.Register("first", nil), errors.AlreadyExists))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- k.Run(ctx) }()
		synctest.Wait()
		cancel()
		require.NoError(t, <-done)
		require.Equal(t, []string{"third", "second", "first"}, stopped)
	})
}

func TestKernelReportsTheFailedService(t *testing.T) {
	k := supervisor.New(slog.New(slog.DiscardHandler))
	require.NoError(t, k.Register("broken", supervisor.Func(func(context.Context) error {
		return errors.New("no reading")
	})))
	require.ErrorContains(t, k.Run(t.Context()), `service "broken": no reading`)
	_, err := supervisor.Find[supervisor.Service](k, "absent")
	require.True(t, errors.Is(err, errors.NotFound))
	_, err = supervisor.Find[int](k, "broken")
	require.True(t, errors.Is(err, errors.NotValid))
}

func TestRingRefusesWhenFull(t *testing.T) {
	r := supervisor.NewRing[int](1)
	require.True(t, r.Offer(1))
	require.False(t, r.Offer(2))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.ErrorIs(t, r.Put(ctx, 3), context.Canceled)
	require.EqualValues(t, 2, r.Full())
	require.Equal(t, 1, <-r.C())
}

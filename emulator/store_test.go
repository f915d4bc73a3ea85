package emulator_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/emulator"
	"github.com/coltsfootlever/coltsfootlever/keeper"
)

// keyValueService is implemented by the emulated store and by its HTTP client.
type keyValueService interface {
	keeper.LeaseStore
	keeper.Watcher
	Delete(ctx context.Context, key string, revision int64) error
}

// runInProcessAndOverHTTP runs a test directly on the emulated store and again
// with the HTTP client.
func runInProcessAndOverHTTP(t *testing.T, test func(t *testing.T, store *emulator.Store, s keyValueService)) {
	t.Run("in process", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			store := emulator.NewStore()
			test(t, store, store)
		})
	})
	t.Run("over HTTP", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			store := emulator.NewStore()
			_, transport := serveOverPipes(t, store.Handler())
			test(t, store, keeper.NewClient("http://store", keeper.WithTransport(transport)))
		})
	})
}

func TestSwapAndDelete(t *testing.T) {
	runInProcessAndOverHTTP(t, func(t *testing.T, _ *emulator.Store, s keyValueService) {
		ctx := t.Context()
		absent, err := s.Get(ctx, "a/1")
		require.NoError(t, err)
		require.Equal(t, keeper.Record{Key: "a/1"}, absent)

		first, err := s.Swap(ctx, "a/1", []byte("x"), 0, 0)
		require.NoError(t, err)
		_, err = s.Swap(ctx, "a/1", []byte("y"), 0, 0)
		require.ErrorIs(t, err, keeper.ErrConflict)
		second, err := s.Swap(ctx, "a/1", []byte("y"), first.Revision, 0)
		require.NoError(t, err)
		require.Greater(t, second.Revision, first.Revision)
		got, err := s.Get(ctx, "a/1")
		require.NoError(t, err)
		require.Equal(t, second, got)
		_, err = s.Swap(ctx, "big", make([]byte, keeper.MaxValueBytes+1), 0, 0)
		require.ErrorIs(t, err, keeper.ErrTooLarge)

		for _, key := range []string{"b/1", "a/2"} {
			_, err = s.Swap(ctx, key, []byte(key), 0, 0)
			require.NoError(t, err)
		}
		list, revision, err := s.List(ctx, "a/")
		require.NoError(t, err)
		require.Equal(t, []string{"a/1", "a/2"}, []string{list[0].Key, list[1].Key})
		require.Equal(t, list[1].Revision, revision)
		all, _, err := s.List(ctx, "")
		require.NoError(t, err)
		require.Len(t, all, 3)

		require.ErrorIs(t, s.Delete(ctx, "a/1", first.Revision), keeper.ErrConflict)
		require.NoError(t, s.Delete(ctx, "a/1", second.Revision))
		require.ErrorIs(t, s.Delete(ctx, "a/1", second.Revision), keeper.ErrConflict)
	})
}

func TestStoreFaults(t *testing.T) {
	runInProcessAndOverHTTP(t, func(t *testing.T, store *emulator.Store, s keyValueService) {
		ctx := t.Context()
		got, err := s.Get(ctx, "lost") // opens the connection, which the lost response breaks when it is reused
		require.NoError(t, err)
		require.Zero(t, got.Revision)
		store.LoseNextWriteResponses(1)
		_, err = s.Swap(ctx, "lost", []byte("x"), 0, 0)
		require.ErrorIs(t, err, keeper.ErrUnknown, "the client must not retry a write whose response was lost")
		got, err = s.Get(ctx, "lost")
		require.NoError(t, err)
		require.Equal(t, "x", string(got.Value), "the write whose response was lost has taken effect")

		store.SetDown(true)
		_, err = s.Swap(ctx, "down", nil, 0, 0)
		require.ErrorIs(t, err, keeper.ErrUnavailable)
		_, err = s.Get(ctx, "down")
		require.ErrorIs(t, err, keeper.ErrUnavailable)
		_, err = s.Grant(ctx, time.Second)
		require.ErrorIs(t, err, keeper.ErrUnavailable)
		require.ErrorIs(t, s.Watch(ctx, "", 0, nil), keeper.ErrUnavailable)
		store.SetDown(false)

		store.SetHung(true)
		began := time.Now()
		_, err = s.Swap(ctx, "hung", nil, 0, 0)
		require.ErrorIs(t, err, keeper.ErrUnknown)
		_, err = s.Get(ctx, "hung")
		require.ErrorIs(t, err, keeper.ErrUnavailable)
		require.Equal(t, 4*time.Second, time.Since(began), "two calls of 2 s")
		store.SetHung(false)
		time.Sleep(time.Minute)
		got, err = s.Get(ctx, "hung")
		require.NoError(t, err)
		require.Zero(t, got.Revision)
	})
}

func TestLeaseDeletesItsKeys(t *testing.T) {
	runInProcessAndOverHTTP(t, func(t *testing.T, store *emulator.Store, s keyValueService) {
		ctx := t.Context()
		exists := func() bool {
			r, err := s.Get(ctx, "a")
			require.NoError(t, err)
			return r.Revision != 0
		}
		bind := func() keeper.LeaseID {
			id, err := s.Grant(ctx, 6*time.Second)
			require.NoError(t, err)
			_, err = s.Swap(ctx, "a", nil, 0, id)
			require.NoError(t, err)
			return id
		}
		id := bind()
		time.Sleep(5 * time.Second)
		require.NoError(t, s.KeepAlive(ctx, id))
		time.Sleep(5 * time.Second)
		require.True(t, exists())
		time.Sleep(2 * time.Second)
		require.False(t, exists())
		require.ErrorIs(t, s.KeepAlive(ctx, id), keeper.ErrLeaseLost)
		_, err := s.Swap(ctx, "a", nil, 0, id)
		require.ErrorIs(t, err, keeper.ErrLeaseLost)

		id = bind()
		require.NoError(t, s.Revoke(ctx, id))
		require.NoError(t, s.Revoke(ctx, id))
		require.False(t, exists())

		id = bind()
		store.ExpireLeases()
		require.False(t, exists())
		require.ErrorIs(t, s.KeepAlive(ctx, id), keeper.ErrLeaseLost)
	})
}

func TestWatchResumesUntilCompacted(t *testing.T) {
	runInProcessAndOverHTTP(t, func(t *testing.T, store *emulator.Store, s keyValueService) {
		ctx, cancel := context.WithCancel(t.Context())
		for n := range 3 {
			_, err := s.Swap(ctx, fmt.Sprint("a/", n), []byte{byte(n)}, 0, 0)
			require.NoError(t, err)
		}
		_, err := s.Swap(ctx, "b/1", nil, 0, 0)
		require.NoError(t, err)
		var seen []string
		done := make(chan error, 1)
		watch := func(ctx context.Context, after int64) {
			done <- s.Watch(ctx, "a/", after, func(e keeper.Event) {
				seen = append(seen, fmt.Sprintf("%s@%d %t %v", e.Key, e.Revision, e.Deleted, e.Value))
			})
		}
		go watch(ctx, 1)
		synctest.Wait()
		require.NoError(t, s.Delete(ctx, "a/0", 1))
		synctest.Wait()
		want := []string{"a/1@2 false [1]", "a/2@3 false [2]", "a/0@5 true []"}
		require.Equal(t, want, seen)

		store.SetHung(true)
		_, err = store.ClientFor("other").Get(ctx, "a/1")
		require.ErrorIs(t, err, keeper.ErrUnavailable, "a fault of the whole service affects every client")
		store.SetHung(false)
		store.SetDown(true)
		require.ErrorIs(t, <-done, keeper.ErrUnavailable, "an outage ends watches")
		store.SetDown(false)

		store.Compact(3)
		go watch(ctx, 2)
		require.ErrorIs(t, <-done, keeper.ErrCompacted)
		go watch(ctx, 4)
		synctest.Wait()
		require.Equal(t, append(want, want[2]), seen)
		cancel()
		require.ErrorIs(t, <-done, context.Canceled)
	})
}

func TestRefusedConnectionReturnsErrUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, transport := serveOverPipes(t, emulator.NewStore().Handler())
		c := keeper.NewClient("http://store", keeper.WithTransport(transport))
		_, err := c.Swap(t.Context(), "a", nil, 0, 0)
		require.NoError(t, err)
		transport.CloseIdleConnections()
		_ = l.Close()
		_, err = c.Swap(t.Context(), "b", nil, 0, 0)
		require.ErrorIs(t, err, keeper.ErrUnavailable)
	})
}

func TestFollowerAndLeaseLockOverHTTP(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := emulator.NewStore()
		_, transport := serveOverPipes(t, store.Handler())
		c := keeper.NewClient("http://store", keeper.WithTransport(transport))
		ctx, cancel := context.WithCancel(t.Context())
		var seen []bool
		f := keeper.NewFollower(c, keeper.LeasePrefix, keeper.OnEvent(func(e keeper.Event) { seen = append(seen, e.Deleted) }))
		d := keeper.NewLeaseLock(c, "coordinator", "entry-a1.1")
		done := make(chan error, 2)
		go func() { done <- f.Run(ctx) }()
		synctest.Wait()
		go func() { done <- d.Run(ctx) }()
		time.Sleep(time.Minute)
		require.True(t, d.Held())
		store.ExpireLeases()
		time.Sleep(time.Minute)
		require.True(t, d.Held())
		synctest.Wait()
		require.Equal(t, []bool{false, true, false}, seen)
		cancel()
		<-done
		<-done
		require.False(t, d.Held())
	})
}

package keeper_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/emulator"
	"github.com/coltsfootlever/coltsfootlever/keeper"
)

func increment(cur int, _ bool) (int, bool, error) { return cur + 1, true, nil }

func ExampleUpdate() {
	store := emulator.NewStore()
	store.LoseNextWriteResponses(1)
	n, record, err := keeper.Update(context.Background(), store, "counter", increment)
	fmt.Println(n, record.Revision, err)
	// Output: 1 1 <nil>
}

func TestUpdateAppliesEachChangeOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := emulator.NewStore()
		var wg sync.WaitGroup
		for range 8 {
			wg.Go(func() {
				for range 20 {
					_, _, err := keeper.Update(t.Context(), store, "counter", increment)
					require.NoError(t, err)
				}
			})
		}
		wg.Wait()
		store.LoseNextWriteResponses(3)
		got, _, err := keeper.Update(t.Context(), store, "counter", increment)
		require.NoError(t, err)
		require.Equal(t, 161, got)
		record, err := store.Get(t.Context(), "counter")
		require.NoError(t, err)
		stored, err := keeper.Decode[int](record)
		require.NoError(t, err)
		require.Equal(t, got, stored)
	})
}

func TestUpdateDistinguishesUnavailableFromUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := emulator.NewStore()
		store.SetDown(true)
		_, _, err := keeper.Update(t.Context(), store, "counter", increment)
		require.ErrorIs(t, err, keeper.ErrUnavailable)
		store.SetDown(false)

		// With this delay the write takes effect after Update has timed out.
		change := func(cur int, _ bool) (int, bool, error) {
			store.SetDelay(5 * time.Second)
			return cur + 1, true, nil
		}
		_, _, err = keeper.Update(t.Context(), store, "counter", change)
		require.ErrorIs(t, err, keeper.ErrUnknown)
		require.NotErrorIs(t, err, keeper.ErrUnavailable)
		store.SetDelay(0)
		got, _, err := keeper.Update(t.Context(), store, "counter", func(cur int, _ bool) (int, bool, error) { return cur, false, nil })
		require.NoError(t, err)
		require.Equal(t, 1, got)
	})
}

func TestUpdateReturnsErrorsOfChange(t *testing.T) {
	refused := errors.ConstError("refused")
	_, _, err := keeper.Update(t.Context(), emulator.NewStore(), "counter", func(int, bool) (int, bool, error) { return 0, false, refused })
	require.ErrorIs(t, err, refused)
}

func TestFollowerResumesWatchAndListsAgainAfterCompaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := emulator.NewStore()
		port := store.ClientFor("entry")
		lists, records := 0, map[string]string{}
		follower := keeper.NewFollower(port, "a/",
			keeper.OnReset(func(listed []keeper.Record) {
				lists++
				clear(records)
				for _, r := range listed {
					records[r.Key] = string(r.Value)
				}
			}),
			keeper.OnEvent(func(e keeper.Event) {
				if delete(records, e.Key); !e.Deleted {
					records[e.Key] = string(e.Value)
				}
			}))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- follower.Run(ctx) }()
		put := func(key, value string) {
			r, err := store.Get(ctx, key)
			require.NoError(t, err)
			_, err = store.Swap(ctx, key, []byte(value), r.Revision, 0)
			require.NoError(t, err)
		}
		put("a/1", "x")
		put("b/1", "ignored")
		synctest.Wait()
		require.Equal(t, map[string]string{"a/1": "x"}, records)

		port.SetDown(true)
		put("a/2", "y")
		time.Sleep(time.Minute)
		require.Less(t, store.CallCounts()["watch"], 70, "the calls back off while the service is unavailable")
		port.SetDown(false)
		time.Sleep(3 * time.Second)
		synctest.Wait()
		require.Equal(t, map[string]string{"a/1": "x", "a/2": "y"}, records)
		require.Equal(t, 1, lists, "the watch resumes without another list")

		port.SetDown(true)
		r, err := store.Get(ctx, "a/1")
		require.NoError(t, err)
		require.NoError(t, store.Delete(ctx, "a/1", r.Revision))
		for n := range 40 {
			put("b/1", fmt.Sprint(n))
		}
		store.Compact(40)
		time.Sleep(time.Second)
		port.SetDown(false)
		time.Sleep(3 * time.Second)
		synctest.Wait()
		require.Equal(t, map[string]string{"a/2": "y"}, records)
		require.Equal(t, 2, lists, "after compaction the follower lists again")
		cancel()
		require.ErrorIs(t, <-done, context.Canceled)
	})
}

func TestLeaseLockHasOneHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := emulator.NewStore()
		ctx, cancel := context.WithCancel(t.Context())
		var locks []*keeper.LeaseLock
		var ports []*emulator.StoreClient
		var wg sync.WaitGroup
		for n := range 3 {
			port := store.ClientFor(fmt.Sprint("entry-", n))
			lock := keeper.NewLeaseLock(port, "coordinator", fmt.Sprint("entry-", n))
			locks, ports = append(locks, lock), append(ports, port)
			wg.Go(func() { require.ErrorIs(t, lock.Run(ctx), context.Canceled) })
		}
		holder := func() int {
			held := -1
			for n, l := range locks {
				if l.Held() {
					require.Equal(t, -1, held, "two holders")
					held = n
				}
			}
			return held
		}
		time.Sleep(time.Second)
		first := holder()
		require.GreaterOrEqual(t, first, 0)

		// A holder that cannot reach the service stops using the lock before its lease
		// ends.
		ports[first].SetHung(true)
		var second int
		for range 200 {
			time.Sleep(100 * time.Millisecond)
			second = holder()
		}
		require.GreaterOrEqual(t, second, 0)
		require.NotEqual(t, first, second)
		ports[first].SetHung(false)

		store.ExpireLeases()
		store.LoseNextWriteResponses(4)
		time.Sleep(time.Minute)
		require.GreaterOrEqual(t, holder(), 0)
		cancel()
		wg.Wait()
		require.Equal(t, -1, holder())
		left, _, err := store.List(t.Context(), keeper.LeasePrefix)
		require.NoError(t, err)
		require.Empty(t, left)
	})
}

// Guards against a follower that waits for seconds after the end of an outage although
// its records are needed sooner.
func TestFollowerRetriesWithinItsMaxDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := emulator.NewStore()
		store.SetDown(true)
		listed := make(chan struct{}, 1)
		follower := keeper.NewFollower(store.ClientFor("entry"), "a/", keeper.WithMaxRetryDelay(300*time.Millisecond),
			keeper.OnReset(func([]keeper.Record) { listed <- struct{}{} }))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- follower.Run(ctx) }()
		time.Sleep(20 * time.Second)
		store.SetDown(false)
		began := time.Now()
		<-listed
		require.LessOrEqual(t, time.Since(began), 300*time.Millisecond)
		cancel()
		<-done
	})
}

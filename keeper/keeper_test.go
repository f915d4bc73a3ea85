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

func TestUpdateTellsApartDownAndDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := emulator.NewStore()
		store.SetDown(true)
		_, _, err := keeper.Update(t.Context(), store, "counter", increment)
		require.ErrorIs(t, err, keeper.ErrUnavailable)
		store.SetDown(false)

		// The write takes effect after its caller has given up.
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

func TestFollowerResumesAndRelists(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := emulator.NewStore()
		port := store.ClientFor("entry")
		resets, copied := 0, map[string]string{}
		f := keeper.NewFollower(port, "a/",
			keeper.OnReset(func(records []keeper.Record) {
				resets++
				clear(copied)
				for _, r := range records {
					copied[r.Key] = string(r.Value)
				}
			}),
			keeper.OnEvent(func(e keeper.Event) {
				if delete(copied, e.Key); !e.Deleted {
					copied[e.Key] = string(e.Value)
				}
			}))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- f.Run(ctx) }()
		put := func(key, value string) {
			r, err := store.Get(ctx, key)
			require.NoError(t, err)
			_, err = store.Swap(ctx, key, []byte(value), r.Revision, 0)
			require.NoError(t, err)
		}
		put("a/1", "x")
		put("b/1", "ignored")
		synctest.Wait()
		require.Equal(t, map[string]string{"a/1": "x"}, copied)

		port.SetDown(true)
		put("a/2", "y")
		time.Sleep(time.Minute)
		require.Less(t, store.CallCounts()["watch"], 70, "calls while the service is down")
		port.SetDown(false)
		time.Sleep(3 * time.Second)
		synctest.Wait()
		require.Equal(t, map[string]string{"a/1": "x", "a/2": "y"}, copied)
		require.Equal(t, 1, resets, "the watch resumes")

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
		require.Equal(t, map[string]string{"a/2": "y"}, copied)
		require.Equal(t, 2, resets, "a compacted watch lists again")
		cancel()
		require.ErrorIs(t, <-done, context.Canceled)
	})
}

func TestDutyHasOneHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := emulator.NewStore()
		ctx, cancel := context.WithCancel(t.Context())
		var duties []*keeper.Duty
		var ports []*emulator.StoreClient
		var wg sync.WaitGroup
		for n := range 3 {
			port := store.ClientFor(fmt.Sprint("entry-", n))
			duty := keeper.NewDuty(port, "coordinator", fmt.Sprint("entry-", n))
			duties, ports = append(duties, duty), append(ports, port)
			wg.Go(func() { require.ErrorIs(t, duty.Run(ctx), context.Canceled) })
		}
		holder := func() int {
			held := -1
			for n, d := range duties {
				if d.Held() {
					require.Equal(t, -1, held, "two holders")
					held = n
				}
			}
			return held
		}
		time.Sleep(time.Second)
		first := holder()
		require.GreaterOrEqual(t, first, 0)

		// A holder cut off from the service stops before its lease lapses.
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

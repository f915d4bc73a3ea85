package keeper_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/emulator"
	"github.com/coltsfootlever/coltsfootlever/keeper"
)

const (
	seeds   = 40
	writers = 4
	updates = 15 // of each writer
)

// injectFaults switches random faults of the store and of its ports on and off
// until ctx ends, and then switches all of them off.
func injectFaults(ctx context.Context, r *rand.Rand, store *emulator.Store, ports []*emulator.StoreClient) {
	all := append([]*emulator.StoreClient{store.StoreClient}, ports...)
	for ctx.Err() == nil {
		port := all[r.IntN(len(all))]
		switch r.IntN(5) {
		case 0:
			port.SetDown(r.IntN(2) == 0)
		case 1:
			port.SetHung(r.IntN(2) == 0)
		case 2:
			port.SetDelay(time.Duration(r.IntN(6000)) * time.Millisecond)
		case 3:
			port.SetDelay(0)
		case 4:
			port.LoseNextWriteResponses(r.IntN(3))
		}
		time.Sleep(time.Duration(r.IntN(2000)) * time.Millisecond)
	}
	for _, port := range all {
		port.SetDown(false)
		port.SetHung(false)
		port.SetDelay(0)
		port.LoseNextWriteResponses(0)
	}
}

// appendOnce returns a change for keeper.Update that appends id to a list unless
// the list contains it.
func appendOnce(id string) func([]string, bool) ([]string, bool, error) {
	return func(cur []string, _ bool) ([]string, bool, error) {
		if slices.Contains(cur, id) {
			return cur, false, nil
		}
		return append(cur, id), true, nil
	}
}

// Under faults, an update that returns no error is stored, one that returns
// ErrUnavailable is not stored, and none is stored twice.
func TestUpdateReportsTrueOutcomeUnderFaults(t *testing.T) {
	outcomeCounts := make(map[error]int)
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 1))
			store := emulator.NewStore()
			var ports []*emulator.StoreClient
			for n := range writers {
				ports = append(ports, store.ClientFor(fmt.Sprint(n)))
			}
			ctx, cancel := context.WithCancel(t.Context())
			var faults, writing sync.WaitGroup
			faults.Go(func() { injectFaults(ctx, r, store, ports) })
			var mu sync.Mutex
			outcomes := make(map[string]error)
			for n, port := range ports {
				writing.Go(func() {
					for i := range updates {
						id := fmt.Sprint(n, "-", i)
						_, _, err := keeper.Update(ctx, port, "list", appendOnce(id))
						mu.Lock()
						outcomes[id] = err
						mu.Unlock()
						time.Sleep(300 * time.Millisecond)
					}
				})
			}
			writing.Wait()
			cancel()
			faults.Wait()
			time.Sleep(time.Minute)
			record, err := store.Get(t.Context(), "list")
			require.NoError(t, err)
			stored, err := keeper.Decode[[]string](record)
			require.NoError(t, err)
			require.Len(t, slices.Compact(slices.Sorted(slices.Values(stored))), len(stored), "seed %d: stored twice", seed)
			for id, err := range outcomes {
				switch {
				case err == nil:
					outcomeCounts[nil]++
					require.Contains(t, stored, id, "seed %d", seed)
				case errors.Is(err, keeper.ErrUnknown):
					outcomeCounts[keeper.ErrUnknown]++
				default:
					outcomeCounts[keeper.ErrUnavailable]++
					require.ErrorIs(t, err, keeper.ErrUnavailable, "seed %d", seed)
					require.NotContains(t, stored, id, "seed %d", seed)
				}
			}
		})
	}
	require.Len(t, outcomeCounts, 3, "every outcome occurs")
}

// As long as the service keeps a lease for its time to live, a lock never has two
// holders. It has one holder after the faults have ended.
func TestLeaseLockHasAtMostOneHolderUnderFaults(t *testing.T) {
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 2))
			store := emulator.NewStore()
			ctx, cancel := context.WithCancel(t.Context())
			var ports []*emulator.StoreClient
			var locks []*keeper.LeaseLock
			var running sync.WaitGroup
			for n := range writers {
				port := store.ClientFor(fmt.Sprint(n))
				lock := keeper.NewLeaseLock(port, "coordinator", fmt.Sprint(n))
				ports, locks = append(ports, port), append(locks, lock)
				running.Go(func() { _ = lock.Run(ctx) })
			}
			countHolders := func() int {
				count := 0
				for _, l := range locks {
					if l.Held() {
						count++
					}
				}
				return count
			}
			faultCtx, stop := context.WithTimeout(ctx, 2*time.Minute)
			defer stop()
			var faults sync.WaitGroup
			faults.Go(func() { injectFaults(faultCtx, r, store, ports) })
			for faultCtx.Err() == nil {
				time.Sleep(37 * time.Millisecond)
				require.LessOrEqual(t, countHolders(), 1, "seed %d", seed)
			}
			faults.Wait()
			time.Sleep(20 * time.Second)
			require.Equal(t, 1, countHolders(), "seed %d", seed)
			cancel()
			running.Wait()
		})
	}
}

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
	updates = 15
)

// disturb puts random faults on the store and its ports until ctx ends, and
// then takes them all away.
func disturb(ctx context.Context, r *rand.Rand, store *emulator.Store, ports []*emulator.StoreClient) {
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

func add(id string) func([]string, bool) ([]string, bool, error) {
	return func(cur []string, _ bool) ([]string, bool, error) {
		if slices.Contains(cur, id) {
			return cur, false, nil
		}
		return append(cur, id), true, nil
	}
}

// Under faults, an update that returns no error is stored, one that was told
// that nothing was written is not, and none is stored twice.
func TestUpdateOutcomesAreTrueUnderFaults(t *testing.T) {
	kinds := make(map[error]int)
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 1))
			store := emulator.NewStore()
			var ports []*emulator.StoreClient
			for n := range writers {
				ports = append(ports, store.ClientFor(fmt.Sprint(n)))
			}
			ctx, cancel := context.WithCancel(t.Context())
			var chaos, wg sync.WaitGroup
			chaos.Go(func() { disturb(ctx, r, store, ports) })
			var mu sync.Mutex
			outcomes := make(map[string]error)
			for n, port := range ports {
				wg.Go(func() {
					for i := range updates {
						id := fmt.Sprint(n, "-", i)
						_, _, err := keeper.Update(ctx, port, "list", add(id))
						mu.Lock()
						outcomes[id] = err
						mu.Unlock()
						time.Sleep(300 * time.Millisecond)
					}
				})
			}
			wg.Wait()
			cancel()
			chaos.Wait()
			time.Sleep(time.Minute)
			record, err := store.Get(t.Context(), "list")
			require.NoError(t, err)
			stored, err := keeper.Decode[[]string](record)
			require.NoError(t, err)
			require.Len(t, slices.Compact(slices.Sorted(slices.Values(stored))), len(stored), "seed %d: stored twice", seed)
			for id, err := range outcomes {
				switch {
				case err == nil:
					kinds[nil]++
					require.Contains(t, stored, id, "seed %d", seed)
				case errors.Is(err, keeper.ErrUnknown):
					kinds[keeper.ErrUnknown]++
				default:
					kinds[keeper.ErrUnavailable]++
					require.ErrorIs(t, err, keeper.ErrUnavailable, "seed %d", seed)
					require.NotContains(t, stored, id, "seed %d", seed)
				}
			}
		})
	}
	require.Len(t, kinds, 3, "every outcome occurs")
}

// While the service honours its leases, a duty never has two holders, and it
// has one when the faults are over.
func TestDutyHasAtMostOneHolderUnderFaults(t *testing.T) {
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 2))
			store := emulator.NewStore()
			ctx, cancel := context.WithCancel(t.Context())
			var ports []*emulator.StoreClient
			var duties []*keeper.Duty
			var wg sync.WaitGroup
			for n := range writers {
				port := store.ClientFor(fmt.Sprint(n))
				duty := keeper.NewDuty(port, "coordinator", fmt.Sprint(n))
				ports, duties = append(ports, port), append(duties, duty)
				wg.Go(func() { _ = duty.Run(ctx) })
			}
			held := func() int {
				count := 0
				for _, d := range duties {
					if d.Held() {
						count++
					}
				}
				return count
			}
			faulty, stop := context.WithTimeout(ctx, 2*time.Minute)
			defer stop()
			var chaos sync.WaitGroup
			chaos.Go(func() { disturb(faulty, r, store, ports) })
			for faulty.Err() == nil {
				time.Sleep(37 * time.Millisecond)
				require.LessOrEqual(t, held(), 1, "seed %d", seed)
			}
			chaos.Wait()
			time.Sleep(20 * time.Second)
			require.Equal(t, 1, held(), "seed %d", seed)
			cancel()
			wg.Wait()
		})
	}
}

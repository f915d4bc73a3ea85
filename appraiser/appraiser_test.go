package appraiser_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/appraiser"
)

// record records runs that take slowdown times their estimates, with the deviation of
// the logarithm.
func record(rng *rand.Rand, s *appraiser.Speed, runs int, slowdown, deviation float64, now time.Time) {
	for range runs {
		s.Record(time.Duration(slowdown*math.Exp(deviation*rng.NormFloat64())*float64(time.Second)), time.Second, now)
	}
}

// A fifth of the workers are four times slower: they must be found, and no others, also
// if all estimates are wrong by the same factor.
func TestSlowWorkersAreFound(t *testing.T) {
	rng, now := rand.New(rand.NewPCG(1, 1)), time.Now()
	for _, estimatesWrongBy := range []float64{1, 3} {
		workers := make([]*appraiser.Speed, 100)
		for i := range workers {
			workers[i] = &appraiser.Speed{}
			slowdown := estimatesWrongBy
			if i%5 == 0 {
				slowdown *= 4
			}
			record(rng, workers[i], 12, slowdown, 0.3, now)
		}
		for i, s := range appraiser.Slowdowns(workers, now) {
			if i%5 == 0 {
				require.Greater(t, s, 1.5)
				require.Less(t, s, 4.5)
			} else {
				require.Equal(t, 1.0, s)
			}
		}
	}
}

// Few runs, or runs long ago, must not exclude a worker: nothing would show that it is
// as fast as others again.
func TestOldAndFewRunsShowNothing(t *testing.T) {
	rng, now := rand.New(rand.NewPCG(1, 1)), time.Now()
	normal, slow, unknown := &appraiser.Speed{}, &appraiser.Speed{}, &appraiser.Speed{}
	record(rng, normal, 10, 1, 0.1, now)
	record(rng, slow, 10, 4, 0.1, now)
	record(rng, unknown, 2, 4, 0.1, now)
	workers := []*appraiser.Speed{normal, normal, slow, unknown}
	found := appraiser.Slowdowns(workers, now)
	require.Greater(t, found[2], 1.5)
	require.Equal(t, 1.0, found[3])
	require.Equal(t, 1.0, appraiser.Slowdowns(workers, now.Add(2*time.Minute))[2])
}

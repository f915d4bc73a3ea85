package measurer_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/measurer"
)

var (
	slopes = flag.Bool("slopes", false, "measure all sizes and print the slopes")
	at     = flag.String("at", "", "measure one size, as ENTRIES/WORKERS/POOLS/TEAMS")
)

// Fleet sizes that TestSlopes measures. The other sizes that it measures differ
// from middle in one dimension only.
var (
	small  = measurer.Size{Entries: 7, Workers: 50, Pools: 6, Teams: 6}
	middle = measurer.Size{Entries: 12, Workers: 300, Pools: 20, Teams: 60}
	target = measurer.Size{Entries: 24, Workers: 1100, Pools: 77, Teams: 270}
)

// runSize measures a fleet of the size in a synctest bubble.
func runSize(t *testing.T, size measurer.Size) measurer.Result {
	var result measurer.Result
	t.Run(size.String(), func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			var err error
			result, err = measurer.Run(t.Context(), size)
			require.NoError(t, err)
		})
	})
	return result
}

func TestRunCountsTrafficOfEntries(t *testing.T) {
	result := runSize(t, measurer.Size{Entries: 3, Workers: 6, Pools: 1, Teams: 2})
	require.Len(t, result.Phases, 4)
	idle, load, keyed := result.Phases[0], result.Phases[2], result.Phases[3]
	require.InDelta(t, 1, idle.NonCoordinatorMean[measurer.Heartbeats].Calls, 0.2, "two peers, each every 2 s")
	require.Zero(t, idle.NonCoordinatorMean[measurer.Renewals].Calls)
	require.Positive(t, load.FleetSum[measurer.Renewals].Calls)
	require.Zero(t, load.FleetSum[measurer.Claims].Calls)
	require.Positive(t, keyed.FleetSum[measurer.Claims].Calls)
	require.InDelta(t, idle.FleetSum[measurer.PeerSent].Bytes, idle.FleetSum[measurer.PeerReceived].Bytes, 1)
}

func TestLinearFit(t *testing.T) {
	intercept, slope := measurer.LinearFit([]float64{1, 2, 4}, []float64{5, 7, 11})
	require.InDelta(t, 3, intercept, 1e-9)
	require.InDelta(t, 2, slope, 1e-9)
}

// TestSize prints the measurements for the fleet size given by the flag -at. It
// is skipped without that flag.
func TestSize(t *testing.T) {
	if *at == "" {
		t.Skip("run with -at ENTRIES/WORKERS/POOLS/TEAMS")
	}
	var size measurer.Size
	_, err := fmt.Sscanf(*at, "%d/%d/%d/%d", &size.Entries, &size.Workers, &size.Pools, &size.Teams)
	require.NoError(t, err)
	require.NoError(t, runSize(t, size).Print(os.Stdout))
}

// TestSlopes prints the measurements for all fleet sizes and the growth of each
// value with each dimension of the size. It is skipped without the flag -slopes.
// docs/CAPACITY.md explains the results.
func TestSlopes(t *testing.T) {
	if !*slopes {
		t.Skip("run with -slopes")
	}
	for _, size := range []measurer.Size{small, target, {Entries: 7, Workers: 1100, Pools: 77, Teams: 270}} {
		require.NoError(t, runSize(t, size).Print(os.Stdout))
	}
	middleResult := runSize(t, middle)
	require.NoError(t, middleResult.Print(os.Stdout))
	dimensions := []struct {
		name   string
		get    func(measurer.Size) int
		set    func(*measurer.Size, int)
		values []int
	}{
		{"entry", func(s measurer.Size) int { return s.Entries }, func(s *measurer.Size, n int) { s.Entries = n }, []int{7, 24}},
		{"worker", func(s measurer.Size) int { return s.Workers }, func(s *measurer.Size, n int) { s.Workers = n }, []int{100, 1100}},
		{"pool", func(s measurer.Size) int { return s.Pools }, func(s *measurer.Size, n int) { s.Pools = n }, []int{6, 77}},
		{"team", func(s measurer.Size) int { return s.Teams }, func(s *measurer.Size, n int) { s.Teams = n }, []int{20, 270}},
	}
	for _, d := range dimensions {
		results := []measurer.Result{middleResult}
		for _, n := range d.values {
			size := middle
			d.set(&size, n)
			results = append(results, runSize(t, size))
		}
		fmt.Println()
		require.NoError(t, measurer.PrintSlopes(os.Stdout, d.name, d.get, results))
	}
}

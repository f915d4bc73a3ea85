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

// small, middle and target are the sizes measured; the others change one
// dimension of middle.
var (
	small  = measurer.Size{Entries: 7, Workers: 50, Pools: 6, Teams: 6}
	middle = measurer.Size{Entries: 12, Workers: 300, Pools: 20, Teams: 60}
	target = measurer.Size{Entries: 24, Workers: 1100, Pools: 77, Teams: 270}
)

func run(t *testing.T, size measurer.Size) measurer.Report {
	var report measurer.Report
	t.Run(size.String(), func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			var err error
			report, err = measurer.Run(t.Context(), size)
			require.NoError(t, err)
		})
	})
	return report
}

func TestRunCountsWhatEntriesDo(t *testing.T) {
	report := run(t, measurer.Size{Entries: 3, Workers: 6, Pools: 1, Teams: 2})
	require.Len(t, report.Phases, 4)
	idle, load, named := report.Phases[0], report.Phases[2], report.Phases[3]
	require.InDelta(t, 1, idle.Members[measurer.Heartbeats].Calls, 0.2, "two peers, each every 2 s")
	require.Zero(t, idle.Members[measurer.Renewals].Calls)
	require.Positive(t, load.All[measurer.Renewals].Calls)
	require.Zero(t, load.All[measurer.Claims].Calls)
	require.Positive(t, named.All[measurer.Claims].Calls)
	require.InDelta(t, idle.All[measurer.PeerSent].Bytes, idle.All[measurer.PeerReceived].Bytes, 1)
}

func TestSlope(t *testing.T) {
	base, slope := measurer.Slope([]float64{1, 2, 4}, []float64{5, 7, 11})
	require.InDelta(t, 3, base, 1e-9)
	require.InDelta(t, 2, slope, 1e-9)
}

// TestSize measures only on request.
func TestSize(t *testing.T) {
	if *at == "" {
		t.Skip("run with -at ENTRIES/WORKERS/POOLS/TEAMS")
	}
	var size measurer.Size
	_, err := fmt.Sscanf(*at, "%d/%d/%d/%d", &size.Entries, &size.Workers, &size.Pools, &size.Teams)
	require.NoError(t, err)
	require.NoError(t, run(t, size).Print(os.Stdout))
}

// TestSlopes measures only on request; see docs/CAPACITY.md.
func TestSlopes(t *testing.T) {
	if !*slopes {
		t.Skip("run with -slopes")
	}
	for _, size := range []measurer.Size{small, target, {Entries: 7, Workers: 1100, Pools: 77, Teams: 270}} {
		require.NoError(t, run(t, size).Print(os.Stdout))
	}
	centre := run(t, middle)
	require.NoError(t, centre.Print(os.Stdout))
	dimensions := []struct {
		name string
		of   func(measurer.Size) int
		set  func(*measurer.Size, int)
		at   []int
	}{
		{"entry", func(s measurer.Size) int { return s.Entries }, func(s *measurer.Size, n int) { s.Entries = n }, []int{7, 24}},
		{"worker", func(s measurer.Size) int { return s.Workers }, func(s *measurer.Size, n int) { s.Workers = n }, []int{100, 1100}},
		{"pool", func(s measurer.Size) int { return s.Pools }, func(s *measurer.Size, n int) { s.Pools = n }, []int{6, 77}},
		{"team", func(s measurer.Size) int { return s.Teams }, func(s *measurer.Size, n int) { s.Teams = n }, []int{20, 270}},
	}
	for _, d := range dimensions {
		reports := []measurer.Report{centre}
		for _, n := range d.at {
			size := middle
			d.set(&size, n)
			reports = append(reports, run(t, size))
		}
		fmt.Println()
		require.NoError(t, measurer.PrintSlopes(os.Stdout, d.name, d.of, reports))
	}
}

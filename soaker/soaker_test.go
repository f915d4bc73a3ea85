package soaker_test

import (
	"bufio"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/soaker"
)

// buildProgram compiles the program and returns its path.
func buildProgram(t *testing.T) string {
	path := filepath.Join(t.TempDir(), "coltsfootlever")
	out, err := exec.Command("go", "build", "-o", path, "../cmd/coltsfootlever").CombinedOutput()
	require.NoError(t, err, string(out))
	return path
}

// TestSoak makes a short run with real processes, and repeats the seeds that once
// found a breach.
func TestSoak(t *testing.T) {
	path := buildProgram(t)
	for _, seed := range append([]uint64{1}, regressionSeeds(t)...) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			r, err := soaker.Run(t.Context(), soaker.Options{
				Program: path, Dir: t.TempDir(), Seed: seed, Duration: 10 * time.Second, Entries: 3, Workers: 4,
			})
			require.NoError(t, err)
			require.Empty(t, r.Breaches)
			require.NotZero(t, r.Completed)
			t.Logf("%+v", r)
		})
	}
}

// regressionSeeds returns the seeds of testdata/seeds.txt. Each line there has a
// seed and the cause of its breach.
func regressionSeeds(t *testing.T) []uint64 {
	f, err := os.Open("testdata/seeds.txt")
	require.NoError(t, err)
	defer func() { require.NoError(t, f.Close()) }()
	var seeds []uint64
	for lines := bufio.NewScanner(f); lines.Scan(); {
		word, cause, _ := strings.Cut(lines.Text(), " ")
		if word == "#" {
			continue
		}
		require.NotEmpty(t, cause)
		n, err := strconv.ParseUint(word, 10, 64)
		require.NoError(t, err)
		seeds = append(seeds, n)
	}
	return seeds
}

func TestFaultPlanDependsOnlyOnSeed(t *testing.T) {
	require.Equal(t, soaker.PlanFaults(5, time.Minute), soaker.PlanFaults(5, time.Minute))
	require.NotEqual(t, soaker.PlanFaults(5, time.Minute), soaker.PlanFaults(6, time.Minute))
	seen := make(map[soaker.Kind]bool)
	for seed := range uint64(20) {
		for _, f := range soaker.PlanFaults(seed, time.Minute) {
			seen[f.Kind] = true
			require.Less(t, f.At, time.Minute)
		}
	}
	require.Len(t, seen, 25)
	require.Len(t, soaker.Kinds(), len(seen))
}

package crowder_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/crowder"
)

const (
	memoryMB       = 96
	maxDescriptors = 500
	patience       = 10 * time.Second
)

// program is the path of the program, which TestMain builds.
var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "crowder-")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "coltsfootlever")
	if out, err := exec.Command("go", "build", "-o", program, "../cmd/coltsfootlever").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// requireSurvival runs a crowd against a program of little memory and few descriptors.
func requireSurvival(t *testing.T, name string) {
	at := slices.IndexFunc(crowder.Crowds(), func(c crowder.Crowd) bool { return c.Name == name })
	require.GreaterOrEqual(t, at, 0)
	r, err := crowder.Run(t.Context(), crowder.Crowds()[at], crowder.Options{
		Program: program, Dir: t.TempDir(), Seed: 1, MemoryMB: memoryMB, MaxDescriptors: maxDescriptors, Patience: patience,
	})
	require.NoError(t, err)
	t.Logf("%+v", r)
	require.Empty(t, r.Breaches)
}

func TestRunSurvivesLargeBodiesThatStopShort(t *testing.T) {
	requireSurvival(t, "run-bodies")
}

func TestRunSurvivesBodiesInPiecesThatStopShort(t *testing.T) {
	requireSurvival(t, "run-pieces")
}

func TestRunSurvivesLargeChunksThatStopShort(t *testing.T) {
	requireSurvival(t, "run-large-chunks")
}

func TestRunSurvivesSmallChunksThatStopShort(t *testing.T) {
	requireSurvival(t, "run-small-chunks")
}

func TestRunSurvivesBodiesThatStopShortAgainAndAgain(t *testing.T) {
	requireSurvival(t, "run-bodies-again")
}

func TestRunSurvivesWholeBodiesOfTinySteps(t *testing.T) {
	requireSurvival(t, "run-tiny-steps")
}

func TestLeaderSurvivesJobsOfLongTextsThatWait(t *testing.T) {
	requireSurvival(t, "run-long-texts")
}

func TestLeaderSurvivesJobsOfLongListsThatWait(t *testing.T) {
	requireSurvival(t, "run-long-lists")
}

func TestRunSurvivesSilentConnections(t *testing.T) {
	requireSurvival(t, "run-silent")
}

func TestRunSurvivesHeadersWithoutEnd(t *testing.T) {
	requireSurvival(t, "run-half-headers")
}

func TestRunSurvivesCallersThatDoNotReadAnswers(t *testing.T) {
	requireSurvival(t, "run-unread")
}

func TestRunSurvivesSilentReadinessChecks(t *testing.T) {
	requireSurvival(t, "run-readiness-silent")
}

func TestRunSurvivesReadinessChecksWithBodiesThatStopShort(t *testing.T) {
	requireSurvival(t, "run-readiness-bodies")
}

func TestRunSurvivesMetricsThatAreNotRead(t *testing.T) {
	requireSurvival(t, "run-metrics-unread")
}

func TestServeSurvivesLargeBodiesThatStopShort(t *testing.T) {
	requireSurvival(t, "serve-bodies")
}

func TestServeSurvivesBodiesInPiecesThatStopShort(t *testing.T) {
	requireSurvival(t, "serve-pieces")
}

func TestServeSurvivesLargeChunksThatStopShort(t *testing.T) {
	requireSurvival(t, "serve-large-chunks")
}

func TestServeSurvivesSmallChunksThatStopShort(t *testing.T) {
	requireSurvival(t, "serve-small-chunks")
}

func TestServeSurvivesBodiesThatStopShortAgainAndAgain(t *testing.T) {
	requireSurvival(t, "serve-bodies-again")
}

func TestServeSurvivesLargeBodiesThatWait(t *testing.T) {
	requireSurvival(t, "serve-waiting-bodies")
}

func TestServeSurvivesSilentConnections(t *testing.T) {
	requireSurvival(t, "serve-silent")
}

func TestServeSurvivesHeadersWithoutEnd(t *testing.T) {
	requireSurvival(t, "serve-half-headers")
}

func TestServeSurvivesCallersThatDoNotReadAnswers(t *testing.T) {
	requireSurvival(t, "serve-unread")
}

func TestServeSurvivesOperatorsBodiesThatStopShort(t *testing.T) {
	requireSurvival(t, "serve-operators-bodies")
}

func TestServeSurvivesSilentOperators(t *testing.T) {
	requireSurvival(t, "serve-operators-silent")
}

func TestServeSurvivesMetricsThatAreNotRead(t *testing.T) {
	requireSurvival(t, "serve-metrics-unread")
}

func TestServeSurvivesPeersMessagesThatStopShort(t *testing.T) {
	requireSurvival(t, "serve-peers-messages")
}

func TestServeSurvivesSilentPeers(t *testing.T) {
	requireSurvival(t, "serve-peers-silent")
}

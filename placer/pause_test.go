package placer

import (
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
)

// TestPausedProcessRenewsLeasesOnlyAfterFreshnessCheck shows that a process that was
// paused beyond its renewals may have lost its grants, and renews no lease
// before it knows better.
func TestPausedProcessRenewsLeasesOnlyAfterFreshnessCheck(t *testing.T) {
	start := time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)
	stale := func() error { return errors.New("may have missed a change") }
	fresh := func() error { return nil }
	w := pauseDetector{maxGap: 7 * time.Second, lastCheck: start}
	require.True(t, w.mayRenew(start.Add(5*time.Second), stale), "a cut-off member goes on")
	require.False(t, w.mayRenew(start.Add(30*time.Second), stale), "it was paused")
	require.False(t, w.mayRenew(start.Add(35*time.Second), stale), "and does not know yet")
	require.True(t, w.mayRenew(start.Add(40*time.Second), fresh), "it is a member still")
	require.True(t, w.mayRenew(start.Add(45*time.Second), stale))
}

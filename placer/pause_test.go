package placer

import (
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
)

// A process that was paused for too long may have lost its grants to other
// members. It must not renew a lease before a freshness check has succeeded.
func TestPausedProcessRenewsLeasesOnlyAfterFreshnessCheck(t *testing.T) {
	start := time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)
	stale := func() error { return errors.New("may have missed a change") }
	fresh := func() error { return nil }
	w := pauseDetector{maxGap: 7 * time.Second, lastCheck: start}
	require.True(t, w.mayRenew(start.Add(5*time.Second), stale), "without a pause, leases are renewed even if the check fails")
	require.False(t, w.mayRenew(start.Add(30*time.Second), stale), "no renewal after a pause while the check fails")
	require.False(t, w.mayRenew(start.Add(35*time.Second), stale), "still no renewal until the check succeeds")
	require.True(t, w.mayRenew(start.Add(40*time.Second), fresh), "renewal resumes after the check succeeded")
	require.True(t, w.mayRenew(start.Add(45*time.Second), stale))
}

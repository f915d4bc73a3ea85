package timekeeper_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/timekeeper"
)

// machine has a clock that jumps.
type machine struct {
	uptime    time.Duration
	suspended time.Duration // part of the uptime
	ahead     time.Duration // of the true time
}

var boot = time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)

func (m *machine) trueTime() time.Time   { return boot.Add(m.uptime) }
func (m *machine) wall() time.Time       { return m.trueTime().Add(m.ahead) }
func (m *machine) steady() time.Duration { return m.uptime }

func (m *machine) monotonic() time.Duration { return m.uptime - m.suspended }

func TestJumpsAreNotFollowed(t *testing.T) {
	for _, jump := range []time.Duration{2 * time.Second, -2 * time.Second, time.Hour} {
		m := &machine{}
		c := timekeeper.New(m.wall, m.monotonic, m.steady)
		for range 300 {
			m.uptime += 100 * time.Millisecond
			m.ahead = 0
			if m.uptime > 5*time.Second && m.uptime < 20*time.Second {
				m.ahead = jump
			}
			require.Equal(t, m.trueTime(), c.Now())
		}
	}
}

func TestSuspensionIsNoJump(t *testing.T) {
	m := &machine{}
	c := timekeeper.New(m.wall, m.monotonic, m.steady)
	for range 20 {
		m.uptime += 5 * time.Second
		m.suspended += 4 * time.Second
		require.Equal(t, m.trueTime(), c.Now())
	}
}

func TestSlowCorrectionIsFollowed(t *testing.T) {
	m := &machine{}
	c := timekeeper.New(m.wall, m.monotonic, m.steady)
	for range 1000 {
		m.uptime += 100 * time.Millisecond
		m.ahead += time.Millisecond
		require.Equal(t, m.wall(), c.Now())
	}
}

func TestLastingJumpIsAdopted(t *testing.T) {
	m := &machine{ahead: -time.Hour}
	c := timekeeper.New(m.wall, m.monotonic, m.steady)
	m.ahead = 0 // the wrong clock is corrected
	require.Equal(t, m.trueTime().Add(-time.Hour), c.Now())
	m.uptime += 59 * time.Second
	require.Equal(t, m.trueTime().Add(-time.Hour), c.Now())
	m.uptime += 2 * time.Second
	require.Equal(t, m.trueTime(), c.Now())
}

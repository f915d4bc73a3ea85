package surveyor_test

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/mover"
	"github.com/coltsfootlever/coltsfootlever/parser"
	"github.com/coltsfootlever/coltsfootlever/surveyor"
)

func TestSurveyCountsOutOfServiceTimeAndMoves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var records atomic.Pointer[[]mover.Instance]
		first := []mover.Instance{
			{ID: "i-0", Pool: "cards", Phase: mover.Serving},
			{ID: "i-1", Pool: "cards", Phase: mover.Draining},
			{ID: "i-2", Pool: "reserve", Phase: mover.Serving},
			{ID: "i-3", Pool: "cards", Phase: mover.Serving, Unhealthy: "fails every task"},
			{ID: "i-4", Pool: "reserve", Phase: mover.Absent},
		}
		rules := func() *parser.Rules {
			return &parser.Rules{Pools: []parser.Pool{{Name: "cards"}, {Name: "reserve", Spare: true}}}
		}
		records.Store(&first)
		s := surveyor.New(func() []mover.Instance { return *records.Load() }, rules)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- s.Run(ctx) }()
		time.Sleep(time.Minute + time.Second)

		moved := slices.Clone(first)
		moved[1] = mover.Instance{ID: "i-1", Pool: "reserve", Phase: mover.Serving}
		records.Store(&moved)
		time.Sleep(10 * time.Second)
		records.Store(new([]mover.Instance)) // the records are being reloaded
		time.Sleep(time.Minute)

		got := s.Survey()
		cancel()
		require.NoError(t, <-ended)
		require.Equal(t, 131*time.Second, got.Until.Sub(got.Since))
		require.Equal(t, []surveyor.Pool{
			{Name: "cards", Planned: 60, Unplanned: 70, MovedOut: 1},
			{Name: "reserve", Spare: 60 + 2*10, Unplanned: 70, MovedIn: 1},
		}, got.Pools)
	})
}

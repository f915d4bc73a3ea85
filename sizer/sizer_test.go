package sizer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/sizer"
)

func ExamplePlan() {
	moves := sizer.Plan([]sizer.Pool{
		{Name: "idle", Instances: 6, Movable: 5, Cores: 32, Lasting: 20, Calm: 3 * time.Second},
		{Name: "busy", Instances: 4, Cores: 32, Asked: 250},
		{Name: "spare", Spare: true, Instances: 3, Movable: 3},
	})
	for _, m := range moves {
		fmt.Println(m.Count, m.From, m.To)
	}
	// Output:
	// 3 spare busy
	// 4 idle busy
}

// A rise must not wait until another pool has been too large for a while. The
// load is that of queues that take turns: one falls while the next one rises.
func TestRiseTakesIdleInstancesAtOnce(t *testing.T) {
	moves := sizer.Plan([]sizer.Pool{
		{Name: "falling", Instances: 20, Movable: 12, Cores: 32, Asked: 100, Calm: 0},
		{Name: "rising", Instances: 3, Cores: 32, Rate: 300},
		{Name: "spare", Spare: true},
	})
	require.Equal(t, []sizer.Move{{From: "falling", To: "rising", Count: 10}}, moves)
}

func TestSparePoolGetsOnlyWhatHasBeenTooMuchForAWhile(t *testing.T) {
	pool := sizer.Pool{Name: "p", Instances: 9, Movable: 7, Cores: 32, Lasting: 20}
	spare := sizer.Pool{Name: "spare", Spare: true}
	require.Empty(t, sizer.Plan([]sizer.Pool{pool, spare}))
	pool.Calm = 2 * time.Second
	require.Equal(t, []sizer.Move{{From: "p", To: "spare", Count: 7}}, sizer.Plan([]sizer.Pool{pool, spare}))
}

func TestPlanTakesNoMoreThanIsMovable(t *testing.T) {
	moves := sizer.Plan([]sizer.Pool{
		{Name: "a", Instances: 9, Movable: 1, Cores: 32, Calm: time.Minute},
		{Name: "b", Cores: 32, Asked: 1000},
		{Name: "spare", Spare: true, Movable: 2},
	})
	require.Equal(t, []sizer.Move{{From: "spare", To: "b", Count: 2}, {From: "a", To: "b", Count: 1}}, moves)
}

// A step that must be spread over workers needs instances, whatever their room.
func TestPoolGrowsForLastingTaskThatFindsNoWorker(t *testing.T) {
	moves := sizer.Plan([]sizer.Pool{
		{Name: "p", Instances: 3, Cores: 64, Lasting: 52, Stuck: true},
		{Name: "spare", Spare: true, Movable: 5},
	})
	require.Equal(t, []sizer.Move{{From: "spare", To: "p", Count: 1}}, moves)
}

func TestPoolHasAWorkerForEachTaskThatMustBeSpread(t *testing.T) {
	p := sizer.Pool{Name: "p", Instances: 3, Cores: 32, Lasting: 20, Least: 24}
	require.Equal(t, 25, sizer.Wanted(p))
	p.Asked = 2000
	require.Equal(t, 76, sizer.Wanted(p))
}

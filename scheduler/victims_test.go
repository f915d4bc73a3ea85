package scheduler_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/coltsfootlever/coltsfootlever/scheduler"
)

func TestChooseVictims(t *testing.T) {
	shares := map[string]int{"small": 4, "large": 4}
	bg, ug := scheduler.Background, scheduler.Urgent
	large := func(task string, class scheduler.Class, slots int, idempotent bool) scheduler.RunningTask {
		return scheduler.RunningTask{Task: task, Team: "large", Class: class, Worker: "w1", Slots: slots, Idempotent: idempotent}
	}
	need := scheduler.SlotNeed{Team: "small", Slots: 2, Free: map[string]int{"w1": 0}}
	tests := []struct {
		name    string
		running []scheduler.RunningTask
		want    []scheduler.Victim
	}{
		{"checkpoint comes before throttle", []scheduler.RunningTask{large("a", bg, 4, false), large("b", bg, 4, true)},
			[]scheduler.Victim{{Task: "b", Worker: "w1", Measure: scheduler.Checkpoint, FreedSlots: 4}}},
		{"background comes before urgent", []scheduler.RunningTask{large("a", ug, 4, true), large("b", bg, 4, true)},
			[]scheduler.Victim{{Task: "b", Worker: "w1", Measure: scheduler.Checkpoint, FreedSlots: 4}}},
		{"a task that is not idempotent is only throttled", []scheduler.RunningTask{large("a", bg, 4, false), large("b", bg, 4, false)},
			[]scheduler.Victim{{Task: "a", Worker: "w1", Measure: scheduler.Throttle, FreedSlots: 2}}},
		{"a team at its share keeps its slots", []scheduler.RunningTask{large("a", bg, 4, true)}, nil},
		{"a task to which a measure was applied is left alone", []scheduler.RunningTask{{Task: "a", Team: "large", Worker: "w1", Slots: 8, Idempotent: true, AlreadyReduced: true}}, nil},
		{"a team in need above its share takes nothing from others", []scheduler.RunningTask{
			large("a", bg, 8, true), {Task: "b", Team: "small", Class: ug, Worker: "w1", Slots: 3}}, nil},
		{"a background task of the team in need is checkpointed", []scheduler.RunningTask{
			{Task: "b", Team: "small", Class: bg, Worker: "w1", Slots: 4, Idempotent: true}},
			[]scheduler.Victim{{Task: "b", Worker: "w1", Measure: scheduler.Checkpoint, FreedSlots: 4}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			require.Equal(t, tt.want, scheduler.ChooseVictims(tt.running, shares, need))
		})
	}
}

func TestChooseVictimsLeavesOtherTeamsTheirShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		running := make([]scheduler.RunningTask, rapid.IntRange(0, 20).Draw(t, "running"))
		used := map[string]int{}
		byTask := map[string]scheduler.RunningTask{}
		for i := range running {
			running[i] = scheduler.RunningTask{
				Task:       fmt.Sprint(i),
				Team:       fmt.Sprint("t", rapid.IntRange(0, 2).Draw(t, "team")),
				Class:      rapid.SampledFrom([]scheduler.Class{scheduler.Urgent, scheduler.Background}).Draw(t, "class"),
				Worker:     fmt.Sprint("w", rapid.IntRange(0, 2).Draw(t, "worker")),
				Slots:      rapid.IntRange(1, 8).Draw(t, "slots"),
				Idempotent: rapid.Bool().Draw(t, "idempotent"),
			}
			used[running[i].Team] += running[i].Slots
			byTask[running[i].Task] = running[i]
		}
		shares := map[string]int{"t0": 10, "t1": 5, "t2": 0}
		free := map[string]int{"w0": 1, "w1": 0}
		need := scheduler.SlotNeed{Team: "t0", Slots: rapid.IntRange(2, 8).Draw(t, "need"), Free: free}
		victims := scheduler.ChooseVictims(running, shares, need)
		if victims == nil {
			return
		}
		got := free[victims[0].Worker]
		for _, v := range victims {
			r := byTask[v.Task]
			require.Equal(t, victims[0].Worker, r.Worker)
			require.Contains(t, free, r.Worker)
			require.True(t, r.Idempotent || v.Measure == scheduler.Throttle)
			used[r.Team] -= v.FreedSlots
			got += v.FreedSlots
			if r.Team != need.Team {
				require.GreaterOrEqual(t, used[r.Team], shares[r.Team])
			}
		}
		require.GreaterOrEqual(t, got, need.Slots)
	})
}

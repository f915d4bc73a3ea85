package recorder_test

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/emulator"
	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/recorder"
)

func ExampleJournal() {
	j := recorder.NewJournal(100)
	j.Record(recorder.Decision{Kind: recorder.Team, Subject: "leads", Action: "limit lowered to 80"})
	j.Record(recorder.Decision{Kind: recorder.Team, Subject: "venues", Action: "limit raised to 20"})
	for _, d := range j.Decisions(recorder.Team, "leads") {
		fmt.Println(d.Action)
	}
	// Output: limit lowered to 80
}

func TestJournalIsBounded(t *testing.T) {
	j := recorder.NewJournal(3)
	long := strings.Repeat("ñ", 10_000)
	for i := range 5 {
		facts := make([]recorder.Fact, 100)
		j.Record(recorder.Decision{Kind: recorder.Job, Subject: "a", Action: fmt.Sprint(i), Facts: facts, Alternatives: []string{long}})
	}
	found := j.Decisions(recorder.Job, "a")
	require.Len(t, found, 3)
	require.Equal(t, "2", found[0].Action)
	require.Len(t, found[0].Facts, 12)
	require.LessOrEqual(t, len(found[0].Alternatives[0]), 120)
	require.EqualValues(t, 2, j.Overwritten())
}

func startRecorder(t *testing.T, store recorder.Store, self string) *recorder.Recorder {
	r := recorder.New(self, recorder.NewJournal(64), recorder.NewRing(store, slog.New(slog.DiscardHandler)))
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go func() { _ = r.Run(ctx) }() // it returns only when ctx ends
	return r
}

func TestSharedDecisionsSurviveEntriesAndOutages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := emulator.NewStore()
		a, b := startRecorder(t, store, "entry-a.1"), startRecorder(t, store, "entry-b.1")
		for i := range 100 {
			if i%7 == 0 {
				store.LoseNextWriteResponses(2)
			}
			a.Record(recorder.Decision{Kind: recorder.Move, Subject: "move-1", Action: fmt.Sprint("a", i)})
			b.Record(recorder.Decision{Kind: recorder.Move, Subject: "move-1", Action: fmt.Sprint("b", i)})
			a.Record(recorder.Decision{Kind: recorder.Job, Subject: "job-1", Action: "started"})
			time.Sleep(300 * time.Millisecond)
		}
		store.SetDown(true)
		a.Record(recorder.Decision{Kind: recorder.Move, Subject: "move-1", Action: "during the outage"})
		time.Sleep(time.Minute)
		_, err := b.Decisions(t.Context(), recorder.Move, "move-1")
		require.ErrorIs(t, err, keeper.ErrUnavailable)
		store.SetDown(false)
		time.Sleep(time.Minute)
		c := startRecorder(t, store, "entry-c.1")
		found, err := c.Decisions(t.Context(), recorder.Move, "move-1")
		require.NoError(t, err)
		require.Len(t, found, 201)
		require.Equal(t, "during the outage", found[200].Action)
		jobs, err := c.Decisions(t.Context(), recorder.Job, "job-1")
		require.NoError(t, err)
		require.Empty(t, jobs, "decisions on jobs are kept only in the journal of their entry")
	})
}

func TestRingIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := emulator.NewStore()
		a, b := startRecorder(t, store, "entry-a.1"), startRecorder(t, store, "entry-b.1")
		const slots = 2 * recorder.RingSlots
		for i := range slots * recorder.SlotDecisions {
			r := a
			if i%1000 == 0 {
				r = b
			}
			r.Record(recorder.Decision{Kind: recorder.Instance, Subject: "i-1", Action: fmt.Sprint(i)})
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(time.Minute)
		records, _, err := store.List(t.Context(), keeper.JournalPrefix)
		require.NoError(t, err)
		require.Len(t, records, recorder.RingSlots)
		found, err := startRecorder(t, store, "entry-c.1").Decisions(t.Context(), recorder.Instance, "i-1")
		require.NoError(t, err)
		require.Equal(t, fmt.Sprint(slots*recorder.SlotDecisions-1), found[len(found)-1].Action)
		require.Greater(t, len(found), (recorder.RingSlots-2)*recorder.SlotDecisions)
	})
}

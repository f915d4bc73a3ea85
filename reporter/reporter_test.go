package reporter_test

import (
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/messenger"
	"github.com/coltsfootlever/coltsfootlever/parser"
	"github.com/coltsfootlever/coltsfootlever/reporter"
)

var (
	update = flag.Bool("update", false, "rewrite the golden files")
	noon   = time.Date(2026, 2, 14, 12, 0, 0, 0, time.UTC)
)

func requireGolden(t *testing.T, name string, got any) {
	text, err := json.MarshalIndent(got, "", "  ")
	require.NoError(t, err)
	file := filepath.Join("testdata", name)
	if *update {
		require.NoError(t, os.WriteFile(file, append(text, '\n'), 0o644))
	}
	want, err := os.ReadFile(file)
	require.NoError(t, err)
	require.JSONEq(t, string(want), string(text))
}

func TestBurnReport(t *testing.T) {
	objectives := []parser.Objective{
		{Queue: "inquiries", Within: 2 * time.Second, Target: 0.99},
		{Queue: "renewals", Within: 5 * time.Second, Target: 0.95},
		{Queue: "cleanup", Within: time.Hour, Target: 0.9},
		{Queue: "passes", Within: time.Second, Target: 0.999},
	}
	meters := []*reporter.Meter{reporter.NewMeter(), reporter.NewMeter()}
	for i, m := range meters {
		m.SetObjectives(map[string]time.Duration{"inquiries": 2 * time.Second})
		for n := range 360 {
			now := noon.Add(time.Duration(n) * 10 * time.Second)
			m.RecordAnswer(now, "inquiries", time.Second, nil)
			m.RecordAnswer(now, "inquiries", time.Second, classifier.Refuse(classifier.BadRequest, "not counted"))
			m.RecordAnswer(now, "renewals", time.Second, nil)
			m.RecordAnswer(now, "cleanup", time.Minute, nil)
			if i == 0 && n%3 == 0 {
				m.RecordAnswer(now, "inquiries", 3*time.Second, nil)
			}
			if n < 60 {
				m.RecordAnswer(now, "renewals", 0, classifier.Refuse(classifier.QueueFull, "full"))
			}
			if n > 200 && n%4 == 0 {
				m.RecordAnswer(now, "cleanup", 0, classifier.Uncertain(classifier.WorkerLost, "lost"))
			}
		}
	}
	end := noon.Add(359 * 10 * time.Second)
	requireGolden(t, "burn.golden", reporter.BurnReport(objectives, reporter.MergeCounts(meters[0].Counts(end), meters[1].Counts(end))))
	require.Empty(t, meters[0].Counts(end.Add(2*time.Hour)))
}

func TestShareReport(t *testing.T) {
	rules := &parser.Rules{Teams: []parser.Team{
		{Name: "leads", Customer: "kasal", Share: 40, Limit: 120},
		{Name: "venues", Customer: "kasal", Share: 20, Limit: 4},
		{Name: "cleanup", Customer: "kasal", Share: 20, Limit: 120},
		{Name: "idle", Customer: "kasal", Share: 20, Limit: 120},
	}}
	loads := []messenger.Heartbeat{
		{From: "a", Pools: []messenger.PoolLoad{{Pool: "match", Slots: 16}}, Teams: []messenger.TeamLoad{
			{Team: "leads", Pool: "match", Running: 6, Waiting: 30}, {Team: "cleanup", Pool: "match", Running: 10, Waiting: 5}}},
		{From: "b", Pools: []messenger.PoolLoad{{Pool: "match", Slots: 16}, {Pool: "score", Slots: 8}}, Teams: []messenger.TeamLoad{
			{Team: "leads", Pool: "match", Running: 9, Waiting: 9}, {Team: "venues", Pool: "match", Running: 4, Waiting: 9},
			{Team: "cleanup", Pool: "match", Running: 3}, {Team: "cleanup", Pool: "score", Running: 2}, {Team: "gone", Pool: "score", Running: 1}}},
	}
	requireGolden(t, "share.golden", reporter.ShareReport(rules, loads))
}

// The merged counts of several entries equal those of one entry that counts all
// answers.
func TestMergeEqualsOneMeter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole := reporter.NewMeter()
		parts := []*reporter.Meter{reporter.NewMeter(), reporter.NewMeter(), reporter.NewMeter()}
		now := noon
		for range rapid.IntRange(0, 100).Draw(t, "answers") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "seconds")) * time.Second)
			queue := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "queue")
			var err error
			if code := rapid.SampledFrom([]classifier.Code{"", classifier.QueueFull, classifier.WorkerLost}).Draw(t, "code"); code != "" {
				err = classifier.Refuse(code, "bad")
			}
			whole.RecordAnswer(now, queue, time.Second, err)
			rapid.SampledFrom(parts).Draw(t, "entry").RecordAnswer(now, queue, time.Second, err)
		}
		merged := reporter.MergeCounts(parts[0].Counts(now), parts[1].Counts(now), parts[2].Counts(now))
		require.Equal(t, append([]reporter.QueueCount{}, whole.Counts(now)...), merged)
	})
}

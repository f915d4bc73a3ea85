package parser_test

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/coltsfootlever/coltsfootlever/parser"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func ExampleParse() {
	text := "team leads customer foundation share 40 limit -1 # asked by Ana\n"
	_, err := parser.Parse("team.rules", strings.NewReader(text))
	fmt.Println(err)
	// Output: team.rules:1:47: found "-1"; allowed: a whole number from 0 to 1000000, without sign or leading zero
}

func TestParseAndFormatMatchGoldenFiles(t *testing.T) {
	files, err := filepath.Glob("testdata/*.rules")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			data, err := os.ReadFile(file)
			require.NoError(t, err)
			golden := strings.TrimSuffix(file, ".rules") + ".golden"
			got := parseAndFormat(filepath.Base(file), data)
			if *update {
				require.NoError(t, os.WriteFile(golden, []byte(got), 0o644))
			}
			want, err := os.ReadFile(golden)
			require.NoError(t, err)
			require.Equal(t, string(want), got)
		})
	}
}

func parseAndFormat(name string, data []byte) string {
	rules, err := parser.Parse(name, bytes.NewReader(data))
	if err != nil {
		return err.Error() + "\n"
	}
	return string(parser.Format(rules))
}

func TestParseReportsPositionOfFileErrors(t *testing.T) {
	rule := "team a customer c share 1 limit 1 # asked by Ana\n"
	tests := []struct {
		name   string
		text   string
		line   int
		column int
		found  string
	}{
		{"empty", "", 1, 1, "an empty file"},
		{"comments only", "# nothing\n", 1, 1, "no rule"},
		{"NUL", rule + "team\x00", 2, 5, "binary data"},
		{"not UTF-8", "é\xff", 1, 2, "binary data"},
		{"control character", "team a customer c share 1 limit 1 # Ana\x1b[31m", 1, 40, "control character U+001B"},
		{"line of 1 MB", rule + strings.Repeat("x", 1_000_000), 2, parser.MaxLineBytes + 1, "a line of 1000000 bytes"},
		{"file above 1 MiB", strings.Repeat("#\n", 1<<19) + rule, 1<<19 + 1, 1, "a file of more than 1 MiB"},
		{"long comment", "pool p # " + strings.Repeat("x", 4000), 1, 8, "a comment of 4000 bytes"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := parser.Parse("f", strings.NewReader(tt.text))
			var faults parser.Errors
			require.ErrorAs(t, err, &faults)
			require.Len(t, faults, 1)
			require.Equal(t, tt.line, faults[0].Line)
			require.Equal(t, tt.column, faults[0].Column)
			require.Equal(t, tt.found, faults[0].Found)
		})
	}
}

func TestParseCountsErrorsAboveMaximum(t *testing.T) {
	_, err := parser.Parse("f", strings.NewReader(strings.Repeat("x\n", 5000)))
	var faults parser.Errors
	require.ErrorAs(t, err, &faults)
	require.Len(t, faults, 1001)
	require.Equal(t, "9000 more faults from here on", faults[1000].Found)
}

func TestParseSkipsByteOrderMarkAndCarriageReturns(t *testing.T) {
	rules, err := parser.Parse("f", strings.NewReader("\ufeffpool p # Ana\r\npool q # Ben\r\n"))
	require.NoError(t, err)
	require.Equal(t, "pool p # Ana\npool q # Ben\n", string(parser.Format(rules)))
}

func TestCheckRejectsRulesThatParseWouldReject(t *testing.T) {
	good := parser.Rules{Pools: []parser.Pool{{Name: "p", Comment: "Ana"}}}
	require.NoError(t, parser.Check(&good))
	injected := parser.Rules{Pools: []parser.Pool{{Name: "p", Comment: "Ana\npool q # Eve"}}}
	require.Error(t, parser.Check(&injected))
	absent := parser.Rules{Queues: []parser.Queue{{Name: "q", Team: "t", Service: "s", Pool: "p", Bound: 1, Comment: "Ana"}}}
	require.Error(t, parser.Check(&absent))
}

func TestDiffAndPatch(t *testing.T) {
	old := parse(t, "pool p # Ana\npool q # Ben\nbudget zone a max-absent 1 # Eva\n")
	next := parse(t, "pool r # Cora\npool p spare # Ana\nbudget zone a max-absent 1 # Eva\n")
	differences := parser.Diff(old, next)
	require.Equal(t, []parser.Difference{
		{Action: parser.Changed, Kind: "pool", Name: "p", Before: "pool p # Ana", After: "pool p spare # Ana"},
		{Action: parser.Added, Kind: "pool", Name: "r", After: "pool r # Cora"},
		{Action: parser.Removed, Kind: "pool", Name: "q", Before: "pool q # Ben"},
	}, differences)
	_, err := parser.Patch(next, differences)
	require.ErrorIs(t, err, parser.ErrMismatch)
}

func TestPatchAppliesDiff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old, next := drawRules(t, "old"), drawRules(t, "next")
		got, err := parser.Patch(old, parser.Diff(old, next))
		require.NoError(t, err)
		require.Equal(t, parser.Sorted(next), got)
		require.Empty(t, parser.Diff(next, got))
	})
}

func drawRules(t *rapid.T, label string) *parser.Rules {
	r := &parser.Rules{}
	comment := rapid.StringMatching(`[a-z]([ #a-zé]{0,8}[a-z])?`)
	for _, name := range rapid.SliceOfNDistinct(rapid.StringMatching(`[a-c]`), 1, 3, rapid.ID).Draw(t, label) {
		r.Pools = append(r.Pools, parser.Pool{
			Name:          name,
			Spare:         rapid.Bool().Draw(t, "spare"),
			MoveLimit:     time.Duration(rapid.Int64Range(1, 86_400_000).Draw(t, "ms")) * time.Millisecond,
			OnMoveTimeout: parser.UndoMove,
			Comment:       comment.Draw(t, "comment"),
		})
		r.Teams = append(r.Teams, parser.Team{Name: name, Customer: "c", Share: rapid.IntRange(1, 9).Draw(t, "share"), Comment: "Ana"})
		r.Queues = append(r.Queues, parser.Queue{Name: name, Team: name, Service: "s", Pool: name, Bound: 1, Comment: "Ana"})
		r.Objectives = append(r.Objectives, parser.Objective{
			Queue:   name,
			Within:  time.Second,
			Target:  float64(rapid.IntRange(1, 999_999).Draw(t, "target")) / 1e4 / 100,
			Comment: "Ana",
		})
	}
	return r
}

func parse(t *testing.T, text string) *parser.Rules {
	t.Helper()
	rules, err := parser.Parse("test", strings.NewReader(text))
	require.NoError(t, err)
	return rules
}

func FuzzParse(f *testing.F) {
	for _, name := range []string{"good", "values", "whole"} {
		data, err := os.ReadFile("testdata/" + name + ".rules")
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		rules, err := parser.Parse("f", bytes.NewReader(data))
		if err != nil {
			require.IsType(t, parser.Errors{}, err)
			return
		}
		text := parser.Format(rules)
		if len(text) > parser.MaxFileBytes {
			return
		}
		again, err := parser.Parse("f", bytes.NewReader(text))
		require.NoError(t, err)
		require.Equal(t, parser.Sorted(rules), again)
		require.NoError(t, parser.Check(rules))
	})
}

package reviewer_test

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/parser"
	"github.com/coltsfootlever/coltsfootlever/reviewer"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// readInput reads NAME.rules and, if they exist, NAME.inforce with the rules in
// force and NAME.fleet with the pool, zone and rack of one instance a line.
func readInput(t *testing.T, name string) reviewer.Input {
	text, err := os.ReadFile(name)
	require.NoError(t, err)
	in := reviewer.Input{File: filepath.Base(name)}
	in.Rules, in.Lines, err = parser.ParseWithLines(in.File, bytes.NewReader(text))
	require.NoError(t, err)
	n, _ := fmt.Sscanf(string(text), "# rules number %d", &in.Base)
	in.HasBase = n == 1
	if current, err := os.ReadFile(strings.TrimSuffix(name, ".rules") + ".inforce"); err == nil {
		in.InForce, err = parser.Parse("in force", bytes.NewReader(current))
		require.NoError(t, err)
		in.Number = 7
	}
	if fleet, err := os.ReadFile(strings.TrimSuffix(name, ".rules") + ".fleet"); err == nil {
		in.Fleet = []reviewer.Instance{}
		for _, line := range strings.Split(strings.TrimSpace(string(fleet)), "\n") {
			words := strings.Fields(line)
			in.Fleet = append(in.Fleet, reviewer.Instance{Pool: words[0], Zone: words[1], Rack: words[2]})
		}
	}
	return in
}

// Guards against warnings that are missing, that name the wrong line, or that are
// given for rules that make sense (testdata/sound.rules).
func TestGolden(t *testing.T) {
	files, err := filepath.Glob("testdata/*.rules")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, name := range files {
		t.Run(filepath.Base(name), func(t *testing.T) {
			var got strings.Builder
			report := reviewer.Review(readInput(t, name))
			for _, w := range report.Warnings {
				fmt.Fprintln(&got, w)
			}
			for _, d := range report.Differences {
				fmt.Fprintf(&got, "difference in line %d: %s %s %s\n", d.Line, d.Action, d.Kind, d.Name)
			}
			golden := strings.TrimSuffix(name, ".rules") + ".golden"
			if *update {
				require.NoError(t, os.WriteFile(golden, []byte(got.String()), 0o644))
			}
			want, err := os.ReadFile(golden)
			require.NoError(t, err)
			require.Equal(t, string(want), got.String())
		})
	}
}

func ExampleReview() {
	text := "pool inquiries # asked by Cora\n" +
		"team leads customer foundation share 40 limit 0 # asked by Ana\n" +
		"queue inquiry team leads open service router pool inquiries bound 500 # asked by Ana\n"
	rules, lines, err := parser.ParseWithLines("fleet.rules", strings.NewReader(text))
	if err != nil {
		panic(err)
	}
	for _, w := range reviewer.Review(reviewer.Input{File: "fleet.rules", Rules: rules, Lines: lines}).Warnings {
		fmt.Println(w)
	}
	// Output: fleet.rules:2: warning (contradiction): team leads: limit 0 lets nothing start, but these queues take its work: inquiry
}

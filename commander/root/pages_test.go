package root_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/commander"
	"github.com/coltsfootlever/coltsfootlever/commander/root"
)

var (
	onPage = regexp.MustCompile("(?m)(?:^|[`$ ])coltsfootlever ([a-z][^`\n]*)")
	flagOf = regexp.MustCompile(`--[a-z-]+`)
)

// TestPagesNameOnlyCommandsThatExist looks for commands and their flags on the
// operators' pages.
func TestPagesNameOnlyCommandsThatExist(t *testing.T) {
	pages, err := filepath.Glob("../../docs/operating/*.md")
	require.NoError(t, err)
	require.NotEmpty(t, pages)
	for _, page := range pages {
		text, err := os.ReadFile(page)
		require.NoError(t, err)
		for _, found := range onPage.FindAllStringSubmatch(string(text), -1) {
			line, _, _ := strings.Cut(found[1], "#")
			checkCommand(t, filepath.Base(page), line)
		}
	}
}

func checkCommand(t *testing.T, page, line string) {
	var out strings.Builder
	f := &commander.Factory{Out: &out}
	words := strings.Fields(line)
	n := 0
	for cmd := root.New(f); n < len(words) && len(cmd.Commands) > 0; n++ {
		at := -1
		for i, sub := range cmd.Commands {
			if sub.Name == words[n] {
				at = i
			}
		}
		require.GreaterOrEqual(t, at, 0, "%s: no command %q in %q", page, words[n], line)
		cmd = cmd.Commands[at]
	}
	args := append(append([]string{}, words[:n]...), "--help")
	require.NoError(t, commander.Execute(t.Context(), f, root.New(f), args))
	for _, flag := range flagOf.FindAllString(line, -1) {
		require.Contains(t, out.String(), flag, "%s: %q", page, line)
	}
}

// TestEveryCommandHasHelp finds options that cannot be read.
func TestEveryCommandHasHelp(t *testing.T) {
	var check func(cmd *commander.Command, words []string)
	check = func(cmd *commander.Command, words []string) {
		f := &commander.Factory{Out: &strings.Builder{}}
		require.NoError(t, commander.Execute(t.Context(), f, root.New(f), append(words, "--help")), words)
		for _, sub := range cmd.Commands {
			check(sub, append(append([]string{}, words...), sub.Name))
		}
	}
	check(root.New(&commander.Factory{}), nil)
}

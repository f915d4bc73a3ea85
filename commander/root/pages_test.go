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
	commandInBlock = regexp.MustCompile(`(?m)(?:^|[ $;|&])coltsfootlever ([a-z][^\n]*)`)
	commandInText  = regexp.MustCompile("`coltsfootlever ([a-z][^`]*)`")
	flagPattern    = regexp.MustCompile(`--[a-z-]+`)
)

// TestPagesNameOnlyCommandsThatExist checks that the commands and flags on all
// documentation pages exist.
func TestPagesNameOnlyCommandsThatExist(t *testing.T) {
	pages := []string{"../../README.md"}
	for _, pattern := range []string{"../../docs/*.md", "../../docs/*/*.md"} {
		found, err := filepath.Glob(pattern)
		require.NoError(t, err)
		pages = append(pages, found...)
	}
	for _, page := range pages {
		text, err := os.ReadFile(page)
		require.NoError(t, err)
		for _, line := range commandsOn(string(text)) {
			checkCommand(t, filepath.Base(page), line)
		}
	}
}

// commandsOn returns the command lines in the code blocks and code spans of a
// page.
func commandsOn(text string) []string {
	var lines []string
	for n, part := range strings.Split(text, "```") {
		pattern := commandInText
		if n%2 == 1 {
			pattern = commandInBlock
		}
		for _, found := range pattern.FindAllStringSubmatch(part, -1) {
			line, _, _ := strings.Cut(found[1], "#")
			lines = append(lines, strings.ReplaceAll(line, "\n", " "))
		}
	}
	return lines
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
	for _, flag := range flagPattern.FindAllString(line, -1) {
		require.Contains(t, out.String(), flag, "%s: %q", page, line)
	}
}

// TestEveryCommandHasHelp checks that the options of every command can be
// parsed and that its help can be printed.
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

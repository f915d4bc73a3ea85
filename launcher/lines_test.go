package launcher_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var (
	logCall = regexp.MustCompile(`[lL]og\.(?:Info|Warn|Error|Debug)\("([^"]+)"`)

	// loggers are the packages that an entry on the platform logs from.
	loggers = []string{"acceptor", "elector", "launcher", "logger", "orchestrator", "platform", "supervisor"}
)

// TestEveryLogLineIsOnTheOperationsPage keeps the page complete: an engineer who
// meets a line must find out what it means.
func TestEveryLogLineIsOnTheOperationsPage(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	require.NoError(t, err)
	lines := 0
	for _, dir := range loggers {
		files, err := filepath.Glob("../" + dir + "/*.go")
		require.NoError(t, err)
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			text, err := os.ReadFile(file)
			require.NoError(t, err)
			for _, found := range logCall.FindAllStringSubmatch(string(text), -1) {
				lines++
				require.Contains(t, string(page), "`"+found[1]+"`", file)
			}
		}
	}
	require.Greater(t, lines, 40)
}

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

	// loggingPackages are the packages whose log lines an entry node writes.
	loggingPackages = []string{"acceptor", "elector", "launcher", "logger", "orchestrator", "platform", "relayer", "supervisor"}
)

// TestEveryLogLineIsOnTheOperationsPage checks that the operations page names
// every log message, so that an engineer can look up what it means.
func TestEveryLogLineIsOnTheOperationsPage(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	require.NoError(t, err)
	count := 0
	for _, dir := range loggingPackages {
		files, err := filepath.Glob("../" + dir + "/*.go")
		require.NoError(t, err)
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			text, err := os.ReadFile(file)
			require.NoError(t, err)
			for _, match := range logCall.FindAllStringSubmatch(string(text), -1) {
				count++
				require.Contains(t, string(page), "`"+match[1]+"`", file)
			}
		}
	}
	require.Greater(t, count, 40)
}

package root_test

import (
	"bytes"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/authenticator"
	"github.com/coltsfootlever/coltsfootlever/commander"
	"github.com/coltsfootlever/coltsfootlever/commander/root"
	"github.com/coltsfootlever/coltsfootlever/distributor"
	"github.com/coltsfootlever/coltsfootlever/emulator"
	"github.com/coltsfootlever/coltsfootlever/operator"
	"github.com/coltsfootlever/coltsfootlever/registrar"
)

const operatorKey = "operator-key-for-tests-0123456789"

var (
	update = flag.Bool("update", false, "rewrite the golden files")
	secret = regexp.MustCompile(`cfl-[A-Za-z0-9_-]{43}`)
)

// entry answers calls in process, at one address only.
type entry struct {
	handler http.Handler
}

func (e entry) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.URL.Host != commander.DefaultEntry {
		return nil, errors.New("connection refused")
	}
	w := httptest.NewRecorder()
	e.handler.ServeHTTP(w, r)
	return w.Result(), nil
}

func members() registrar.View {
	return registrar.View{Members: []registrar.Member{{ID: "entry-a1.1"}}}
}

func newEntry() entry {
	rules := distributor.New(emulator.NewStore(), nil, distributor.WithMembers("entry-a1.1", members))
	h := operator.New(rules, operator.WithBootstrap(authenticator.Hash(operatorKey)))
	h.Register(
		operator.RulesNoun(rules),
		operator.KeysNoun(rules),
		operator.TeamsNoun(rules, nil),
		operator.StatusNoun(func() operator.Status {
			return operator.Status{
				Entry:    "entry-a1.1",
				Zone:     "a",
				Standing: "connected",
				Rules:    rules.Number(),
				View:     7,
				Members:  []operator.MemberStatus{{ID: "entry-a1.1", Zone: "a", Address: "10.0.0.1:9000", State: "active"}},
				Pools:    []operator.PoolStatus{{Pool: "inquiries", Slots: 64, Running: 3}},
			}
		}),
	)
	return entry{h}
}

// TestGolden runs the command lines of a script one after the other and
// compares all that they print.
func TestGolden(t *testing.T) {
	scripts, err := filepath.Glob("testdata/*.script")
	require.NoError(t, err)
	require.NotEmpty(t, scripts)
	for _, script := range scripts {
		t.Run(filepath.Base(script), func(t *testing.T) {
			text, err := os.ReadFile(script)
			require.NoError(t, err)
			golden, err := filepath.Abs(strings.TrimSuffix(script, ".script") + ".golden")
			require.NoError(t, err)
			got := play(t, string(text))
			if *update {
				require.NoError(t, os.WriteFile(golden, []byte(got), 0o644))
			}
			want, err := os.ReadFile(golden)
			require.NoError(t, err)
			require.Equal(t, string(want), got)
		})
	}
}

func play(t *testing.T, script string) string {
	dir := t.TempDir()
	require.NoError(t, os.CopyFS(dir, os.DirFS("testdata")))
	t.Chdir(dir)
	e := newEntry()
	var all strings.Builder
	for _, command := range strings.Split(strings.TrimSuffix(script, "\n"), "\n") {
		fmt.Fprintf(&all, "$ %s\n%s\n", command, execute(t, e, command))
	}
	return secret.ReplaceAllString(all.String(), "cfl-SECRET")
}

// execute runs one command line. The words terminal and nokey in front of it
// set its surroundings.
func execute(t *testing.T, e entry, command string) string {
	var out, remarks bytes.Buffer
	f := &commander.Factory{In: strings.NewReader(""), Out: &out, Err: &remarks, HTTP: &http.Client{Transport: e}}
	command, f.Terminal = strings.CutPrefix(command, "terminal ")
	command, keyless := strings.CutPrefix(command, "nokey ")
	t.Setenv("COLTSFOOTLEVER_KEY", operatorKey)
	if keyless {
		t.Setenv("COLTSFOOTLEVER_KEY", "")
	}
	err := commander.Execute(t.Context(), f, root.New(f), words(command))
	if err != nil {
		fmt.Fprintln(&remarks, commander.Message(err))
	}
	result := out.String()
	for _, text := range strings.Split(strings.TrimSuffix(remarks.String(), "\n"), "\n") {
		if text != "" {
			result += "! " + text + "\n"
		}
	}
	return result + fmt.Sprintf("exit %d\n", commander.ExitCode(err))
}

var word = regexp.MustCompile(`"[^"]*"|\S+`)

func words(command string) []string {
	all := word.FindAllString(command, -1)
	for i, w := range all {
		all[i] = strings.Trim(w, `"`)
	}
	return all
}

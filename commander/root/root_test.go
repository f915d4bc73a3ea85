package root_test

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/authenticator"
	"github.com/coltsfootlever/coltsfootlever/budgeter"
	"github.com/coltsfootlever/coltsfootlever/collector"
	"github.com/coltsfootlever/coltsfootlever/commander"
	"github.com/coltsfootlever/coltsfootlever/commander/root"
	"github.com/coltsfootlever/coltsfootlever/distributor"
	"github.com/coltsfootlever/coltsfootlever/emulator"
	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/mover"
	"github.com/coltsfootlever/coltsfootlever/operator"
	"github.com/coltsfootlever/coltsfootlever/parser"
	"github.com/coltsfootlever/coltsfootlever/recorder"
	"github.com/coltsfootlever/coltsfootlever/registrar"
	"github.com/coltsfootlever/coltsfootlever/reporter"
	"github.com/coltsfootlever/coltsfootlever/surveyor"
)

const operatorKey = "operator-key-for-tests-0123456789"

var (
	update = flag.Bool("update", false, "rewrite the golden files")
	// random matches what differs from run to run.
	random = []struct {
		found *regexp.Regexp
		shown string
	}{
		{regexp.MustCompile(`cfl-[A-Za-z0-9_-]{43}`), "cfl-SECRET"},
		{regexp.MustCompile(`(drain|move|reboot|wave)-[0-9a-f]{8}\b`), "$1-ID"},
		{regexp.MustCompile(`asked by (\S+) at \S+`), "asked by $1 at TIME"},
		{regexp.MustCompile(`"\d{4}-\d\d-\d\dT[0-9:.]+(Z|[+-]\d\d:\d\d)"`), `"TIME"`},
	}
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

// membership is an operator.Membership without a store.
type membership struct {
	view registrar.View
}

func newMembership() *membership {
	return &membership{registrar.View{Number: 7, Members: []registrar.Member{
		{ID: "entry-a1.1", Instance: "entry-a1"},
		{ID: "entry-b1.2", Instance: "entry-b1"},
	}}}
}

func (m *membership) View() registrar.View   { return m.view }
func (m *membership) Self() registrar.Member { return m.view.Members[0] }

func (m *membership) Evict(context.Context, string, string) error {
	m.view = registrar.View{Number: m.view.Number + 1, Members: m.view.Members[:1]}
	return nil
}

func members() registrar.View {
	return registrar.View{Members: []registrar.Member{{ID: "entry-a1.1"}}}
}

// journal is an operator.Explainer that remembers one move.
type journal struct{}

func (journal) Explain(_ context.Context, kind recorder.Kind, subject string) (operator.Explanation, error) {
	e := operator.Explanation{Kind: kind, Subject: subject}
	e.Missing = []collector.Missing{{Entry: "entry-b1.2", Reason: "no connection to 10.0.0.2:9000"}}
	if subject != "move-7f3a09c1" {
		return e, nil
	}
	at := time.Date(2026, 3, 2, 10, 0, 0, 0, time.UTC)
	e.Decisions = []recorder.Decision{
		{
			Time: at, Entry: "entry-a1.1", Kind: kind, Subject: subject, Action: "ordered: move",
			Facts:   []recorder.Fact{{Name: "pool", Value: "inquiries"}, {Name: "asked", Value: "night"}},
			Alternatives: []string{"undo: the rule of the pool says continue"},
		},
		{Time: at.Add(90 * time.Second), Entry: "entry-c1.3", Kind: kind, Subject: subject, Action: "moved to pool consent"},
	}
	return e, nil
}

// figures are operator.Reports with fixed figures.
type figures struct{}

func coverage() operator.Coverage {
	return operator.Coverage{
		Entries: []string{"entry-a1.1"},
		Missing: []collector.Missing{{Entry: "entry-b1.2", Reason: "no connection to 10.0.0.2:9000"}},
	}
}

func (figures) Burn(context.Context) (operator.BurnReply, error) {
	objectives := []parser.Objective{
		{Queue: "inquiry", Within: 2200 * time.Millisecond, Target: 0.99},
		{Queue: "cleanup", Within: time.Minute, Target: 0.9},
	}
	m := reporter.NewMeter()
	m.SetObjectives(map[string]time.Duration{"inquiry": objectives[0].Within})
	now := time.Date(2026, 3, 2, 10, 0, 0, 0, time.UTC)
	for n := range 100 {
		m.Answered(now, "inquiry", time.Duration(n)*25*time.Millisecond, nil)
	}
	m.Answered(now, "cleanup", time.Second, nil)
	return operator.BurnReply{
		Coverage: coverage(),
		Short:    reporter.ShortWindow,
		Long:     reporter.LongWindow,
		Queues:   reporter.BurnReport(objectives, m.Counts(now)),
	}, nil
}

func (figures) Share(context.Context) (operator.ShareReply, error) {
	return operator.ShareReply{Coverage: coverage(), Teams: []reporter.ShareRow{
		{Team: "leads", Customer: "foundation", Pool: "inquiries", Share: 40, Limit: 120, Running: 30, Waiting: 20, Fair: 40, Distance: -0.25},
	}}, nil
}

func (figures) Fleet(context.Context) (operator.FleetReply, error) {
	since := time.Date(2026, 3, 2, 10, 0, 0, 0, time.UTC)
	return operator.FleetReply{
		Coverage: coverage(),
		Watched:  "entry-a1.1",
		Survey: surveyor.Survey{Since: since, Until: since.Add(90 * time.Minute), Pools: []surveyor.Pool{
			{Name: "inquiries", Planned: 5400, Unplanned: 900, MovedOut: 1},
			{Name: "reserve", Spare: 10800, MovedIn: 1},
		}},
		Rollout: operator.FiguresOf(mover.Rollout{ID: "wave-5b1e09c7", State: mover.RolloutRunning, Since: since, Total: 12}, since.Add(time.Hour)),
	}, nil
}

// addInstances writes the records of three instances in one pool.
func addInstances(t *testing.T, store *emulator.Store) {
	for n := range 3 {
		i := mover.Instance{
			ID: fmt.Sprintf("i-%d", n), Address: fmt.Sprintf("10.0.1.%d:9100", n), Zone: "a", Rack: fmt.Sprintf("a%d", n/2),
			Pool: "inquiries", Home: "inquiries", Slots: 8, Phase: mover.Serving, Owner: "entry-a1.1", Epoch: 1,
		}
		value, err := keeper.Encode("test", i)
		require.NoError(t, err)
		_, err = store.Swap(t.Context(), keeper.InstancePrefix+i.ID, value, 0, 0)
		require.NoError(t, err)
	}
}

func newEntry(t *testing.T) entry {
	store := emulator.NewStore()
	addInstances(t, store)
	rules := distributor.New(store, nil, distributor.WithMembers("entry-a1.1", members))
	budgets := budgeter.New(store, rules.Rules)
	orders := mover.NewOrders(store, "entry-a1.1", rules.Rules, budgets, nil)
	h := operator.New(rules, operator.WithBootstrap(authenticator.Hash(operatorKey)))
	h.Register(
		operator.RulesNoun(rules),
		operator.KeysNoun(rules),
		operator.TeamsNoun(rules, nil),
		operator.PoolsNoun(rules, orders, budgets),
		operator.InstancesNoun(orders),
		operator.EntriesNoun(newMembership()),
		operator.MaintenanceNoun(orders),
		operator.ExplainNoun(journal{}),
		operator.ReportsNoun(figures{}),
		operator.StatusNoun(func() operator.Status {
			return operator.Status{
				Entry:    "entry-a1.1",
				Zone:     "a",
				Standing: "connected",
				Rules:    rules.RulesNumber(),
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
	e := newEntry(t)
	var all strings.Builder
	for _, command := range strings.Split(strings.TrimSuffix(script, "\n"), "\n") {
		fmt.Fprintf(&all, "$ %s\n%s\n", command, execute(t, e, command))
	}
	text := all.String()
	for _, r := range random {
		text = r.found.ReplaceAllString(text, r.shown)
	}
	return text
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

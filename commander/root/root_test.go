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
	"github.com/coltsfootlever/coltsfootlever/excluder"
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
	// variableOutput matches text that differs between runs, and its
	// replacement.
	variableOutput = []struct {
		found *regexp.Regexp
		shown string
	}{
		{regexp.MustCompile(`cfl-[A-Za-z0-9_-]{43}`), "cfl-SECRET"},
		{regexp.MustCompile(`(drain|move|reboot|wave)-[0-9a-f]{8}\b`), "$1-ID"},
		{regexp.MustCompile(`asked by (\S+) at \S+`), "asked by $1 at TIME"},
		{regexp.MustCompile(`"op": "[^"]+"`), `"op": "ID"`},
		{regexp.MustCompile(`(since |confirmed at |bootstrap\s+)20\d\d-[0-9T:-]+Z`), "${1}TIME"},
		{regexp.MustCompile(`"\d{4}-\d\d-\d\dT[0-9:.]+(Z|[+-]\d\d:\d\d)"`), `"TIME"`},
	}
)

// entryTransport serves requests to DefaultEntry in process and refuses
// connections to any other address.
type entryTransport struct {
	handler http.Handler
}

func (e entryTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.URL.Host != commander.DefaultEntry {
		return nil, errors.New("connection refused")
	}
	w := httptest.NewRecorder()
	e.handler.ServeHTTP(w, r)
	return w.Result(), nil
}

// stubMembership is an operator.Membership that needs no store.
type stubMembership struct {
	view registrar.View
}

func newStubMembership() *stubMembership {
	return &stubMembership{registrar.View{Number: 7, Members: []registrar.Member{
		{ID: "entry-a1.1", Instance: "entry-a1"},
		{ID: "entry-b1.2", Instance: "entry-b1"},
	}}}
}

func (m *stubMembership) View() registrar.View   { return m.view }
func (m *stubMembership) Self() registrar.Member { return m.view.Members[0] }

func (m *stubMembership) Evict(context.Context, string, string) error {
	m.view = registrar.View{Number: m.view.Number + 1, Members: m.view.Members[:1]}
	return nil
}

func oneMemberView() registrar.View {
	return registrar.View{Members: []registrar.Member{{ID: "entry-a1.1"}}}
}

// stubExplainer is an operator.Explainer that knows the decisions on one move
// only.
type stubExplainer struct{}

func (stubExplainer) Explain(_ context.Context, kind recorder.Kind, subject string) (operator.Explanation, error) {
	e := operator.Explanation{Kind: kind, Subject: subject}
	e.Missing = []collector.Missing{{Entry: "entry-b1.2", Reason: "no connection to 10.0.0.2:9000"}}
	if subject != "move-7f3a09c1" {
		return e, nil
	}
	at := time.Date(2026, 3, 2, 10, 0, 0, 0, time.UTC)
	e.Decisions = []recorder.Decision{
		{
			Time: at, Entry: "entry-a1.1", Kind: kind, Subject: subject, Action: "ordered: move",
			Facts:        []recorder.Fact{{Name: "pool", Value: "inquiries"}, {Name: "asked", Value: "night"}},
			Alternatives: []string{"undo: the rule of the pool says continue"},
		},
		{Time: at.Add(90 * time.Second), Entry: "entry-c1.3", Kind: kind, Subject: subject, Action: "moved to pool consent"},
	}
	return e, nil
}

// stubReports is an operator.Reports with fixed figures.
type stubReports struct{}

func coverage() operator.Coverage {
	return operator.Coverage{
		Entries: []string{"entry-a1.1"},
		Missing: []collector.Missing{{Entry: "entry-b1.2", Reason: "no connection to 10.0.0.2:9000"}},
	}
}

func (stubReports) BurnReport(context.Context) (operator.BurnReply, error) {
	objectives := []parser.Objective{
		{Queue: "inquiry", Within: 2200 * time.Millisecond, Target: 0.99},
		{Queue: "cleanup", Within: time.Minute, Target: 0.9},
	}
	m := reporter.NewMeter()
	m.SetObjectives(map[string]time.Duration{"inquiry": objectives[0].Within})
	now := time.Date(2026, 3, 2, 10, 0, 0, 0, time.UTC)
	for n := range 100 {
		m.RecordAnswer(now, "inquiry", time.Duration(n)*25*time.Millisecond, nil)
	}
	m.RecordAnswer(now, "cleanup", time.Second, nil)
	return operator.BurnReply{
		Coverage: coverage(),
		Short:    reporter.ShortWindow,
		Long:     reporter.LongWindow,
		Queues:   reporter.BurnReport(objectives, m.Counts(now)),
	}, nil
}

func (stubReports) ShareReport(context.Context) (operator.ShareReply, error) {
	return operator.ShareReply{Coverage: coverage(), Teams: []reporter.ShareRow{
		{Team: "leads", Customer: "foundation", Pool: "inquiries", Share: 40, Limit: 120, Running: 30, Waiting: 20, Fair: 40, Distance: -0.25},
	}}, nil
}

func (stubReports) FleetReport(context.Context) (operator.FleetReply, error) {
	since := time.Date(2026, 3, 2, 10, 0, 0, 0, time.UTC)
	return operator.FleetReply{
		Coverage:  coverage(),
		WatchedBy: "entry-a1.1",
		Survey: surveyor.Survey{Since: since, Until: since.Add(90 * time.Minute), Pools: []surveyor.Pool{
			{Name: "inquiries", Planned: 5400, Unplanned: 900, MovedOut: 1},
			{Name: "reserve", Spare: 10800, MovedIn: 1},
		}},
		Rollout: operator.NewRolloutFigures(mover.Rollout{ID: "wave-5b1e09c7", State: mover.RolloutRunning, Since: since, Total: 12}, since.Add(time.Hour)),
	}, nil
}

// addInstances writes the records of three instances of one pool to the store.
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

// stubPeers is an excluder.Peers with one other entry, which confirms the first two
// changes only.
type stubPeers struct{}

func (stubPeers) Self() string            { return "entry-a1.1" }
func (stubPeers) Registered() []string    { return []string{"entry-b1.2"} }
func (stubPeers) Refresh(context.Context) {}
func (stubPeers) Heard() []string         { return nil }
func (stubPeers) Outage() bool            { return false }

func (stubPeers) Reports(_ context.Context, number uint64) map[string]excluder.Report {
	return map[string]excluder.Report{"entry-b1.2": {Record: excluder.Record{Number: min(number, 2)}}}
}

// stubZones is an operator.Zones with fixed counts of what is left in a zone.
type stubZones struct{ *excluder.Excluder }

func newStubZones(store keeper.SwapStore) stubZones {
	inService := func(context.Context) (excluder.InService, error) { return excluder.InService{"a": 3, "b": 0}, nil }
	return stubZones{excluder.New(store, stubPeers{}, inService, excluder.WithConfirmTimeout(time.Millisecond))}
}

func (z stubZones) List(context.Context) (operator.ZonesReply, error) {
	record := z.Record()
	reply := operator.ZonesReply{Number: record.Number, AsOf: time.Now(), Current: record.Number < 3, Zones: []operator.ZoneReply{}}
	for _, e := range record.Zones {
		reply.Zones = append(reply.Zones, operator.ZoneReply{Evacuation: e, Workers: 3, BusyWorkers: 1, RunningTasks: 2})
	}
	if record.Number > 2 {
		reply.Unconfirmed = []string{"entry-b1.2"}
	}
	return reply, nil
}

func newEntryTransport(t *testing.T) entryTransport {
	store := emulator.NewStore()
	addInstances(t, store)
	rules := distributor.New(store, nil, distributor.WithMembers("entry-a1.1", oneMemberView))
	budgets := budgeter.New(store, rules.Rules)
	orders := mover.NewOrders(store, "entry-a1.1", rules.Rules, budgets, nil)
	h := operator.New(rules, operator.WithBootstrapHash(authenticator.Hash(operatorKey)))
	h.Register(
		operator.RulesResource(rules),
		operator.KeysResource(rules),
		operator.TeamsResource(rules, nil),
		operator.PoolsResource(rules, orders, budgets),
		operator.InstancesResource(orders),
		operator.EntriesResource(newStubMembership()),
		operator.ZonesResource(newStubZones(store)),
		operator.MaintenanceResource(orders),
		operator.ExplainResource(stubExplainer{}),
		operator.ReportsResource(stubReports{}),
		operator.StatusResource(func() operator.Status {
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
	return entryTransport{h}
}

// TestGolden runs the command lines of each script in order and compares all
// that they print with the golden file.
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
			got := runScript(t, string(text))
			if *update {
				require.NoError(t, os.WriteFile(golden, []byte(got), 0o644))
			}
			want, err := os.ReadFile(golden)
			require.NoError(t, err)
			require.Equal(t, string(want), got)
		})
	}
}

func runScript(t *testing.T, script string) string {
	dir := t.TempDir()
	require.NoError(t, os.CopyFS(dir, os.DirFS("testdata")))
	t.Chdir(dir)
	e := newEntryTransport(t)
	var all strings.Builder
	for _, command := range strings.Split(strings.TrimSuffix(script, "\n"), "\n") {
		fmt.Fprintf(&all, "$ %s\n%s\n", command, runCommand(t, e, command))
	}
	text := all.String()
	for _, r := range variableOutput {
		text = r.found.ReplaceAllString(text, r.shown)
	}
	return text
}

// runCommand runs one command line and returns what it prints. The prefix
// "terminal" makes the output a terminal; the prefix "nokey" unsets the
// operator key.
func runCommand(t *testing.T, e entryTransport, command string) string {
	var out, remarks bytes.Buffer
	f := &commander.Factory{In: strings.NewReader(""), Out: &out, Err: &remarks, HTTP: &http.Client{Transport: e}}
	command, f.Terminal = strings.CutPrefix(command, "terminal ")
	command, keyless := strings.CutPrefix(command, "nokey ")
	t.Setenv("COLTSFOOTLEVER_KEY", operatorKey)
	if keyless {
		t.Setenv("COLTSFOOTLEVER_KEY", "")
	}
	err := commander.Execute(t.Context(), f, root.New(f), splitWords(command))
	if err != nil {
		fmt.Fprintln(&remarks, commander.ErrorMessage(err))
	}
	result := out.String()
	for _, text := range strings.Split(strings.TrimSuffix(remarks.String(), "\n"), "\n") {
		if text != "" {
			result += "! " + text + "\n"
		}
	}
	return result + fmt.Sprintf("exit %d\n", commander.ExitCode(err))
}

var wordPattern = regexp.MustCompile(`"[^"]*"|\S+`)

func splitWords(command string) []string {
	all := wordPattern.FindAllString(command, -1)
	for i, w := range all {
		all[i] = strings.Trim(w, `"`)
	}
	return all
}

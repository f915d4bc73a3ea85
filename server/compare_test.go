package server_test

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/authenticator"
	"github.com/coltsfootlever/coltsfootlever/caller"
	"github.com/coltsfootlever/coltsfootlever/emulator"
	"github.com/coltsfootlever/coltsfootlever/granter"
	"github.com/coltsfootlever/coltsfootlever/lister"
	"github.com/coltsfootlever/coltsfootlever/operator"
	"github.com/coltsfootlever/coltsfootlever/scheduler"
	"github.com/coltsfootlever/coltsfootlever/server"
)

const (
	compareEntries        = 4
	compareWorkers        = 12
	compareWorkerSlots    = 8 // of each worker
	compareWarmUp         = 30 * time.Second
	compareDuration       = 60 * time.Second
	compareSampleInterval = 100 * time.Millisecond
	threeTeamsRules       = `pool all # measurement
team alpha customer a share 3 limit 60 # measurement
team beta customer b share 2 limit 60 # measurement
team gamma customer c share 1 limit 60 # measurement
queue alpha team alpha open service s pool all bound 1000 # measurement
queue beta team beta open service s pool all bound 1000 # measurement
queue gamma team gamma open service s pool all bound 1000 # measurement
`
	oneTeamRules = `pool all # measurement
team one customer a share 1 limit 180 # measurement
queue one team one open service s pool all bound 3000 # measurement
`
)

var compare = flag.Bool("compare", false, "run the measurements that compare variants of the system")

type (
	// callerGroup is a group of callers of one team. They send to one entry or
	// are spread over all entries.
	callerGroup struct {
		team              string
		share             int
		backgroundCallers int // callers that send the next request right after each answer
		urgentCallers     int // callers that send an urgent request once a second
		entry             int // index of the entry that they send to, -1 for all entries
	}

	// requestTrace is what the test recorded about one request.
	requestTrace struct {
		team     string
		class    scheduler.Class
		sent     time.Time
		starts   []emulator.Execution
		answer   error
		answered bool
	}

	// loadMeter measures slot use and delays from the executions that the
	// workers report.
	loadMeter struct {
		groups       []callerGroup
		taskMillis   int // run time of each task, in ms
		mu           sync.Mutex
		requests     map[string]*requestTrace   // by request name
		slotsInUse   map[string]int             // by team
		runningOn    map[string]map[string]bool // names of the running requests, by worker
		slotSum      map[string]float64         // sum over all samples of the slots in use, by team
		sampleCount  int
		completed    int // requests answered without an error
		measuring    bool
		urgentDelays map[string][]time.Duration // times from sending a request to its first start, by team
	}
)

// newCallerGroups returns three teams with equal demand and different shares. All
// callers of alpha send to entry 0 and all of gamma to entry 1.
func newCallerGroups() []callerGroup {
	return []callerGroup{
		{team: "alpha", share: 3, backgroundCallers: 120, urgentCallers: 5, entry: 0},
		{team: "beta", share: 2, backgroundCallers: 120, urgentCallers: 5, entry: -1},
		{team: "gamma", share: 1, backgroundCallers: 120, urgentCallers: 5, entry: 1},
	}
}

func newLoadMeter() *loadMeter {
	return &loadMeter{groups: newCallerGroups(), taskMillis: 300, requests: map[string]*requestTrace{}, slotsInUse: map[string]int{}, runningOn: map[string]map[string]bool{}, slotSum: map[string]float64{}, urgentDelays: map[string][]time.Duration{}}
}

// recordExecution takes the start or the end of an execution from a worker.
func (g *loadMeter) recordExecution(x emulator.Execution) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.requests[x.Order.Name]
	if s == nil {
		return
	}
	if g.runningOn[x.Worker] == nil {
		g.runningOn[x.Worker] = make(map[string]bool)
	}
	if !x.End.IsZero() {
		g.slotsInUse[s.team] -= x.Order.Slots
		delete(g.runningOn[x.Worker], x.Order.Name)
		return
	}
	g.slotsInUse[s.team] += x.Order.Slots
	g.runningOn[x.Worker][x.Order.Name] = true
	s.starts = append(s.starts, x)
	if g.measuring && s.class == scheduler.Urgent && len(s.starts) == 1 {
		g.urgentDelays[s.team] = append(g.urgentDelays[s.team], x.Start.Sub(s.sent))
	}
}

func (g *loadMeter) recordSent(name string, s *requestTrace) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.requests[name] = s
}

// recordAnswer takes the answer to a request and drops the request's trace.
func (g *loadMeter) recordAnswer(name string, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.requests[name]; s != nil {
		s.answer, s.answered = err, true
	}
	delete(g.requests, name)
	if g.measuring && err == nil {
		g.completed++
	}
}

// measure samples the slots in use of each team for the duration d.
func (g *loadMeter) measure(d time.Duration) {
	g.setMeasuring(true)
	for range int(d / compareSampleInterval) {
		time.Sleep(compareSampleInterval)
		g.mu.Lock()
		for _, c := range g.groups {
			g.slotSum[c.team] += float64(g.slotsInUse[c.team])
		}
		g.sampleCount++
		g.mu.Unlock()
	}
	g.setMeasuring(false)
}

func (g *loadMeter) setMeasuring(on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.measuring = on
}

// shareError returns the largest relative deviation of a team's mean slots from
// its fair share, and the fraction of all slots that was in use.
func (g *loadMeter) shareError() (worstError, used float64) {
	var demands []granter.Demand
	total := compareWorkers * compareWorkerSlots
	for _, c := range g.groups {
		demands = append(demands, granter.Demand{Team: c.team, Weight: c.share, Limit: 60, Demand: total})
	}
	for team, fair := range granter.Shares(total, demands) {
		had := g.slotSum[team] / float64(g.sampleCount)
		used += had / float64(total)
		worstError = max(worstError, had/float64(fair)-1, 1-had/float64(fair))
	}
	return worstError, used
}

// percentile returns the n-th percentile of the times, rounded to milliseconds.
func percentile(times []time.Duration, n int) time.Duration {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[min(len(times)-1, len(times)*n/100)].Round(time.Millisecond)
}

// newMeasuredFleet returns a fleet with one pool whose workers report their
// executions to the meter.
func newMeasuredFleet(t *testing.T, v server.Variant, g *loadMeter) (*fleet, map[string]*emulator.Worker) {
	f := &fleet{store: emulator.NewStore(), platform: emulator.NewPlatform(0, time.Second, nil), workers: &emulator.Fleet{}}
	workers := make(map[string]*emulator.Worker)
	for n := range compareWorkers {
		id, address := fmt.Sprintf("w%02d", n), fmt.Sprintf("10.0.1.%d:9000", n+1)
		zone := []string{"a", "b", "c"}[n%3]
		rack := fmt.Sprintf("%s%d", zone, n/6)
		f.platform.Add(lister.Listing{ID: id, Kind: lister.WorkerKind, Address: address, Zone: zone, Rack: rack, Slots: compareWorkerSlots, Pool: "all", State: lister.Live})
		workers[id] = emulator.NewWorker(id, compareWorkerSlots, g.recordExecution)
		f.workers.Add(address, workers[id])
	}
	for n := range compareEntries {
		cfg := server.DefaultSettings()
		cfg.Instance, cfg.Zone = fmt.Sprintf("entry-%d", n), []string{"a", "b", "c"}[n%3]
		cfg.PeersAddress, cfg.CallersAddress = entryAddress(n), fmt.Sprintf("10.0.0.%d:7000", n+1)
		cfg.OperatorHash = authenticator.Hash(operatorKey)
		cfg.Log = slog.New(slog.DiscardHandler)
		cfg.Assert = func(ok bool, format string, args ...any) { require.True(t, ok, format, args) }
		f.platform.Add(lister.Listing{ID: cfg.Instance, Kind: lister.EntryKind, Address: cfg.PeersAddress, Zone: cfg.Zone, State: lister.Live})
		e, err := server.NewVariant(cfg, server.Platform{Store: f.store, Instances: f.platform, Workers: f.workers, Peers: peers{f}}, v)
		require.NoError(t, err)
		f.entries = append(f.entries, e)
	}
	return f, workers
}

// withMeasuredFleet runs fn with a running fleet to which the rules are applied. It
// skips the test unless the flag -compare is set, since these tests are long.
func withMeasuredFleet(t *testing.T, v server.Variant, rules string, fn func(t *testing.T, f *fleet, g *loadMeter, workers map[string]*emulator.Worker)) {
	if !*compare {
		t.Skip("measurement: set -compare to run it")
	}
	synctest.Test(t, func(t *testing.T) {
		g := newLoadMeter()
		f, workers := newMeasuredFleet(t, v, g)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, len(f.entries))
		for _, e := range f.entries {
			go func() { ended <- e.Run(ctx) }()
		}
		time.Sleep(settleDelay)
		_, err := f.client(0).Apply(ctx, operator.ApplyRequest{Text: rules})
		require.NoError(t, err)
		time.Sleep(settleDelay)
		fn(t, f, g, workers)
		cancel()
		for range f.entries {
			require.NoError(t, <-ended)
		}
	})
}

// startCallers starts the callers and returns a function that stops them. If
// sharedQueue is not empty, all callers send background tasks to that queue.
func (f *fleet) startCallers(ctx context.Context, g *loadMeter, sharedQueue string) func() {
	ctx, stop := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for _, c := range g.groups {
		for n := range c.backgroundCallers + c.urgentCallers {
			class, every := scheduler.Background, time.Duration(0)
			if n >= c.backgroundCallers {
				class, every = scheduler.Urgent, time.Second
			}
			entry := c.entry
			if entry < 0 {
				entry = n % compareEntries
			}
			callers.Go(func() { f.runCaller(ctx, g, c, n, entry, class, every, sharedQueue) })
		}
	}
	return func() {
		stop()
		callers.Wait()
	}
}

// runCaller sends the requests of one caller until ctx ends.
func (f *fleet) runCaller(ctx context.Context, g *loadMeter, group callerGroup, n, entry int, class scheduler.Class, interval time.Duration, sharedQueue string) {
	client := caller.New("http://entry", &http.Client{Transport: handlerTransport{f.entries[entry].Callers()}})
	r := caller.Request{Queue: group.team, Class: class, Idempotent: true, Deadline: 2 * time.Minute}
	if sharedQueue != "" {
		r.Queue, r.Class = sharedQueue, scheduler.Background
	}
	time.Sleep(time.Duration(n) * 7 * time.Millisecond)
	for i := 0; ctx.Err() == nil; i++ {
		r.Name = fmt.Sprintf("%s-%d-%d", group.team, n, i)
		r.Body = fmt.Appendf(nil, `{"sleep-ms":%d}`, g.taskMillis)
		g.recordSent(r.Name, &requestTrace{team: group.team, class: class, sent: time.Now()})
		_, err := client.Submit(context.WithoutCancel(ctx), r)
		g.recordAnswer(r.Name, err)
		time.Sleep(max(interval, time.Millisecond))
	}
}

// comparedVariant is a variant of the system, with the rules and the shared queue
// that it is measured with.
type comparedVariant struct {
	name        string
	variant     server.Variant
	rules       string
	sharedQueue string
}

// TestCompare measures how close each variant of the system comes to the teams'
// shares, and its slot use, urgent delays and calls to the store. It asserts no
// limits on them.
func TestCompare(t *testing.T) {
	for _, taskMillis := range []int{300, 3000} {
		for _, gammaEntry := range []int{-1, 1} {
			for _, c := range []comparedVariant{
				{name: "coltsfootlever", rules: threeTeamsRules},
				{name: "never forwards", variant: server.Variant{NeverForwards: true}, rules: threeTeamsRules},
				{name: "even split", variant: server.Variant{EvenSplit: true}, rules: threeTeamsRules},
				{name: "even split, never forwards", variant: server.Variant{NeverForwards: true, EvenSplit: true}, rules: threeTeamsRules},
				{name: "FIFO", rules: oneTeamRules, sharedQueue: "one"},
			} {
				t.Run(fmt.Sprintf("%dms/gamma at %d/%s", taskMillis, gammaEntry, c.name), func(t *testing.T) { c.run(t, taskMillis, gammaEntry) })
			}
		}
	}
}

// run measures the variant with tasks of taskMillis. The callers of team gamma send
// to entry number gammaEntry, or to all entries if it is -1.
func (c comparedVariant) run(t *testing.T, taskMillis, gammaEntry int) {
	withMeasuredFleet(t, c.variant, c.rules, func(t *testing.T, f *fleet, g *loadMeter, _ map[string]*emulator.Worker) {
		g.taskMillis, g.groups[2].entry = taskMillis, gammaEntry
		before := storeCalls(f.store)
		time.Sleep(compareDuration)
		idle := storeCalls(f.store) - before
		stop := f.startCallers(t.Context(), g, c.sharedQueue)
		time.Sleep(compareWarmUp)
		before = storeCalls(f.store)
		g.measure(compareDuration)
		loaded := storeCalls(f.store) - before
		stop()
		worst, used := g.shareError()
		urgent := slices.Concat(g.urgentDelays["alpha"], g.urgentDelays["beta"], g.urgentDelays["gamma"])
		t.Logf("share-error %.3f slots-used %.3f %s urgent p50 %v p99 %v (%d) requests %d; store calls/s idle %.1f loaded %.1f, per 1000 requests %.1f, above idle %.1f",
			worst, used, g.teamSummary(), percentile(urgent, 50), percentile(urgent, 99), len(urgent), g.completed, float64(idle)/compareDuration.Seconds(),
			float64(loaded)/compareDuration.Seconds(), float64(loaded)*1000/float64(max(g.completed, 1)), float64(loaded-idle)*1000/float64(max(g.completed, 1)))
	})
}

// teamSummary returns a text with the mean slots in use and the 99th percentile of
// the urgent delays of each team.
func (g *loadMeter) teamSummary() (text string) {
	for _, c := range g.groups {
		text += fmt.Sprintf("%s %.1f (urgent p99 %v) ", c.team, g.slotSum[c.team]/float64(g.sampleCount), percentile(g.urgentDelays[c.team], 99))
	}
	return text
}

// storeCalls returns the number of calls that the store has served so far.
func storeCalls(s *emulator.Store) int {
	sum := 0
	for _, n := range s.CallCounts() {
		sum += n
	}
	return sum
}

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
	compareWorkerSlots    = 8 // of a worker
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

var compare = flag.Bool("compare", false, "measure against the baselines")

type (
	// crowd are callers of one team at one entry, or spread over all.
	callerGroup struct {
		team              string
		share             int
		backgroundCallers int // callers that send again at once
		urgentCallers     int // callers that send once a second
		entry             int // -1 for all
	}

	// sighting is what the workers saw of one request.
	requestTrace struct {
		team     string
		class    scheduler.Class
		sent     time.Time
		starts   []emulator.Execution
		answer   error
		answered bool
	}

	// gauge measures by what the workers see.
	loadMeter struct {
		groups       []callerGroup
		taskMillis   int // length of a task
		mu           sync.Mutex
		requests     map[string]*requestTrace // by the name in the request
		slotsInUse   map[string]int           // slots by crowd
		runningOn    map[string]map[string]bool
		slotSum      map[string]float64
		sampleCount  int
		completed    int
		measuring    bool
		urgentDelays map[string][]time.Duration // from sending to the first start, by crowd
	}
)

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

// measure samples for a time.
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

// shareError returns the largest distance of a team from its share of all
// slots, and the part of the slots that ran work.
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

// percentile returns a percentile of the times.
func percentile(times []time.Duration, n int) time.Duration {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[min(len(times)-1, len(times)*n/100)].Round(time.Millisecond)
}

// newCompared returns a fleet of one pool whose workers tell the gauge.
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

// withCompared runs fn with a fleet under the rules.
func withMeasuredFleet(t *testing.T, v server.Variant, rules string, fn func(t *testing.T, f *fleet, g *loadMeter, workers map[string]*emulator.Worker)) {
	if !*compare {
		t.Skip("set -compare")
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

// load starts the callers and returns a function that ends them. With shared
// set, all send background work to that queue.
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

// call is one caller that sends until ctx ends.
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

type comparedVariant struct {
	name        string
	variant     server.Variant
	rules       string
	sharedQueue string
}

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

// run measures with tasks of a length and the callers of gamma at an entry.
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

// slots returns the mean slots and the urgent delay of each team.
func (g *loadMeter) teamSummary() (text string) {
	for _, c := range g.groups {
		text += fmt.Sprintf("%s %.1f (urgent p99 %v) ", c.team, g.slotSum[c.team]/float64(g.sampleCount), percentile(g.urgentDelays[c.team], 99))
	}
	return text
}

func storeCalls(s *emulator.Store) int {
	sum := 0
	for _, n := range s.Calls() {
		sum += n
	}
	return sum
}

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
	compareEntries = 4
	compareWorkers = 12
	compareSlots   = 8 // of a worker
	compareWarm    = 30 * time.Second
	compareTime    = 60 * time.Second
	compareSample  = 100 * time.Millisecond
	compareTeams   = `pool all # measurement
team alpha customer a share 3 limit 60 # measurement
team beta customer b share 2 limit 60 # measurement
team gamma customer c share 1 limit 60 # measurement
queue alpha team alpha open service s pool all bound 1000 # measurement
queue beta team beta open service s pool all bound 1000 # measurement
queue gamma team gamma open service s pool all bound 1000 # measurement
`
	compareOne = `pool all # measurement
team one customer a share 1 limit 180 # measurement
queue one team one open service s pool all bound 3000 # measurement
`
)

var compare = flag.Bool("compare", false, "measure against the baselines")

type (
	// crowd are callers of one team at one entry, or spread over all.
	crowd struct {
		team       string
		share      int
		background int // callers that send again at once
		urgent     int // callers that send once a second
		entry      int // -1 for all
	}

	// sighting is what the workers saw of one request.
	sighting struct {
		crowd    string
		class    scheduler.Class
		sent     time.Time
		starts   []emulator.Execution
		answer   error
		answered bool
	}

	// gauge measures by what the workers see.
	gauge struct {
		crowds  []crowd
		millis  int // length of a task
		mu      sync.Mutex
		seen    map[string]*sighting // by the name in the request
		running map[string]int       // slots by crowd
		busy    map[string]map[string]bool
		had     map[string]float64
		samples int
		ended   int
		on      bool
		urgent  map[string][]time.Duration // from sending to the first start, by crowd
	}
)

func newCrowds() []crowd {
	return []crowd{
		{team: "alpha", share: 3, background: 120, urgent: 5, entry: 0},
		{team: "beta", share: 2, background: 120, urgent: 5, entry: -1},
		{team: "gamma", share: 1, background: 120, urgent: 5, entry: 1},
	}
}

func newGauge() *gauge {
	return &gauge{crowds: newCrowds(), millis: 300, seen: map[string]*sighting{}, running: map[string]int{}, busy: map[string]map[string]bool{}, had: map[string]float64{}, urgent: map[string][]time.Duration{}}
}

func (g *gauge) observe(x emulator.Execution) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.seen[x.Order.Name]
	if s == nil {
		return
	}
	if g.busy[x.Worker] == nil {
		g.busy[x.Worker] = make(map[string]bool)
	}
	if !x.End.IsZero() {
		g.running[s.crowd] -= x.Order.Slots
		delete(g.busy[x.Worker], x.Order.Name)
		return
	}
	g.running[s.crowd] += x.Order.Slots
	g.busy[x.Worker][x.Order.Name] = true
	s.starts = append(s.starts, x)
	if g.on && s.class == scheduler.Urgent && len(s.starts) == 1 {
		g.urgent[s.crowd] = append(g.urgent[s.crowd], x.Start.Sub(s.sent))
	}
}

func (g *gauge) send(name string, s *sighting) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.seen[name] = s
}

func (g *gauge) answered(name string, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.seen[name]; s != nil {
		s.answer, s.answered = err, true
	}
	delete(g.seen, name)
	if g.on && err == nil {
		g.ended++
	}
}

// measure samples for a time.
func (g *gauge) measure(d time.Duration) {
	g.set(true)
	for range int(d / compareSample) {
		time.Sleep(compareSample)
		g.mu.Lock()
		for _, c := range g.crowds {
			g.had[c.team] += float64(g.running[c.team])
		}
		g.samples++
		g.mu.Unlock()
	}
	g.set(false)
}

func (g *gauge) set(on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.on = on
}

// shareError returns the largest distance of a team from its share of all
// slots, and the part of the slots that ran work.
func (g *gauge) shareError() (worst, used float64) {
	var demands []granter.Demand
	total := compareWorkers * compareSlots
	for _, c := range g.crowds {
		demands = append(demands, granter.Demand{Team: c.team, Weight: c.share, Limit: 60, Demand: total})
	}
	for team, fair := range granter.Shares(total, demands) {
		had := g.had[team] / float64(g.samples)
		used += had / float64(total)
		worst = max(worst, had/float64(fair)-1, 1-had/float64(fair))
	}
	return worst, used
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
func newCompared(t *testing.T, v server.Variant, g *gauge) (*fleet, map[string]*emulator.Worker) {
	f := &fleet{store: emulator.NewStore(), platform: emulator.NewPlatform(0, time.Second, nil), workers: &emulator.Fleet{}}
	workers := make(map[string]*emulator.Worker)
	for n := range compareWorkers {
		id, address := fmt.Sprintf("w%02d", n), fmt.Sprintf("10.0.1.%d:9000", n+1)
		zone := []string{"a", "b", "c"}[n%3]
		rack := fmt.Sprintf("%s%d", zone, n/6)
		f.platform.Add(lister.Listing{ID: id, Kind: lister.WorkerKind, Address: address, Zone: zone, Rack: rack, Slots: compareSlots, Pool: "all", State: lister.Live})
		workers[id] = emulator.NewWorker(id, compareSlots, g.observe)
		f.workers.Add(address, workers[id])
	}
	for n := range compareEntries {
		cfg := server.DefaultSettings()
		cfg.Instance, cfg.Zone = fmt.Sprintf("entry-%d", n), []string{"a", "b", "c"}[n%3]
		cfg.Peers, cfg.Callers = entryAddress(n), fmt.Sprintf("10.0.0.%d:7000", n+1)
		cfg.OperatorHash = authenticator.Hash(operatorKey)
		cfg.Log = slog.New(slog.DiscardHandler)
		cfg.Assert = func(ok bool, format string, args ...any) { require.True(t, ok, format, args) }
		f.platform.Add(lister.Listing{ID: cfg.Instance, Kind: lister.EntryKind, Address: cfg.Peers, Zone: cfg.Zone, State: lister.Live})
		e, err := server.NewVariant(cfg, server.Platform{Store: f.store, Instances: f.platform, Workers: f.workers, Peers: peers{f}}, v)
		require.NoError(t, err)
		f.entries = append(f.entries, e)
	}
	return f, workers
}

// withCompared runs fn with a fleet under the rules.
func withCompared(t *testing.T, v server.Variant, rules string, fn func(t *testing.T, f *fleet, g *gauge, workers map[string]*emulator.Worker)) {
	if !*compare {
		t.Skip("set -compare")
	}
	synctest.Test(t, func(t *testing.T) {
		g := newGauge()
		f, workers := newCompared(t, v, g)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, len(f.entries))
		for _, e := range f.entries {
			go func() { ended <- e.Run(ctx) }()
		}
		time.Sleep(settleTime)
		_, err := f.client(0).Apply(ctx, operator.ApplyRequest{Text: rules})
		require.NoError(t, err)
		time.Sleep(settleTime)
		fn(t, f, g, workers)
		cancel()
		for range f.entries {
			require.NoError(t, <-ended)
		}
	})
}

// load starts the callers and returns a function that ends them. With shared
// set, all send background work to that queue.
func (f *fleet) load(ctx context.Context, g *gauge, shared string) func() {
	ctx, stop := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for _, c := range g.crowds {
		for n := range c.background + c.urgent {
			class, every := scheduler.Background, time.Duration(0)
			if n >= c.background {
				class, every = scheduler.Urgent, time.Second
			}
			entry := c.entry
			if entry < 0 {
				entry = n % compareEntries
			}
			callers.Go(func() { f.call(ctx, g, c, n, entry, class, every, shared) })
		}
	}
	return func() {
		stop()
		callers.Wait()
	}
}

// call is one caller that sends until ctx ends.
func (f *fleet) call(ctx context.Context, g *gauge, c crowd, n, entry int, class scheduler.Class, every time.Duration, shared string) {
	client := caller.New("http://entry", &http.Client{Transport: transport{f.entries[entry].Callers()}})
	r := caller.Request{Queue: c.team, Class: class, Idempotent: true, Deadline: 2 * time.Minute}
	if shared != "" {
		r.Queue, r.Class = shared, scheduler.Background
	}
	time.Sleep(time.Duration(n) * 7 * time.Millisecond)
	for i := 0; ctx.Err() == nil; i++ {
		r.Name = fmt.Sprintf("%s-%d-%d", c.team, n, i)
		r.Body = fmt.Appendf(nil, `{"sleep-ms":%d}`, g.millis)
		g.send(r.Name, &sighting{crowd: c.team, class: class, sent: time.Now()})
		_, err := client.Submit(context.WithoutCancel(ctx), r)
		g.answered(r.Name, err)
		time.Sleep(max(every, time.Millisecond))
	}
}

type comparison struct {
	name   string
	v      server.Variant
	rules  string
	shared string
}

func TestCompare(t *testing.T) {
	for _, millis := range []int{300, 3000} {
		for _, gamma := range []int{-1, 1} {
			for _, c := range []comparison{
				{name: "coltsfootlever", rules: compareTeams},
				{name: "never forwards", v: server.Variant{Alone: true}, rules: compareTeams},
				{name: "even split", v: server.Variant{EvenSplit: true}, rules: compareTeams},
				{name: "even split, never forwards", v: server.Variant{Alone: true, EvenSplit: true}, rules: compareTeams},
				{name: "FIFO", rules: compareOne, shared: "one"},
			} {
				t.Run(fmt.Sprintf("%dms/gamma at %d/%s", millis, gamma, c.name), func(t *testing.T) { c.run(t, millis, gamma) })
			}
		}
	}
}

// run measures with tasks of a length and the callers of gamma at an entry.
func (c comparison) run(t *testing.T, millis, gamma int) {
	withCompared(t, c.v, c.rules, func(t *testing.T, f *fleet, g *gauge, _ map[string]*emulator.Worker) {
		g.millis, g.crowds[2].entry = millis, gamma
		before := calls(f.store)
		time.Sleep(compareTime)
		idle := calls(f.store) - before
		stop := f.load(t.Context(), g, c.shared)
		time.Sleep(compareWarm)
		before = calls(f.store)
		g.measure(compareTime)
		loaded := calls(f.store) - before
		stop()
		worst, used := g.shareError()
		urgent := slices.Concat(g.urgent["alpha"], g.urgent["beta"], g.urgent["gamma"])
		t.Logf("share-error %.3f slots-used %.3f %s urgent p50 %v p99 %v (%d) requests %d; store calls/s idle %.1f loaded %.1f, per 1000 requests %.1f, above idle %.1f",
			worst, used, g.slots(), percentile(urgent, 50), percentile(urgent, 99), len(urgent), g.ended, float64(idle)/compareTime.Seconds(),
			float64(loaded)/compareTime.Seconds(), float64(loaded)*1000/float64(max(g.ended, 1)), float64(loaded-idle)*1000/float64(max(g.ended, 1)))
	})
}

// slots returns the mean slots and the urgent delay of each team.
func (g *gauge) slots() (text string) {
	for _, c := range g.crowds {
		text += fmt.Sprintf("%s %.1f (urgent p99 %v) ", c.team, g.had[c.team]/float64(g.samples), percentile(g.urgent[c.team], 99))
	}
	return text
}

func calls(s *emulator.Store) int {
	sum := 0
	for _, n := range s.Calls() {
		sum += n
	}
	return sum
}

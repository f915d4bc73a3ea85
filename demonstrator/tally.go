package demonstrator

import (
	"sort"
	"sync"
	"time"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/emulator"
	"github.com/coltsfootlever/coltsfootlever/granter"
	"github.com/coltsfootlever/coltsfootlever/scheduler"
)

type (
	// tally counts what the stand-in workers and the callers saw.
	tally struct {
		mu       sync.Mutex
		teams    []teamSpec
		pools    map[string]int            // slots that take work, by pool
		requests map[string]*request       // by name
		runs     map[string]int            // complete or broken runs, by name
		starts   map[string]time.Time      // first start, by task
		running  map[string]map[string]int // by team, then pool
		pending  map[string]map[string]int // unanswered requests, by team, then pool
		shares   map[string]*shareSum      // by team
		used     int                       // slots running in pools while they are sampled
		sampled  int                       // slots of pools while they are sampled
		over     int                       // starts above a team's limit
		crossed  int                       // answers of other requests
		jobs     map[string]*request       // by task
	}

	// request is one request as its caller saw it.
	request struct {
		name       string
		team, pool string
		class      scheduler.Class
		idempotent bool
		sent       time.Time
		ended      bool
		err        *classifier.Error
		job        string
	}

	// shareSum adds up what a team had and what was its fair share while it
	// had more requests than it could run.
	shareSum struct {
		had     float64
		fair    float64
		samples int
	}
)

// minSamples is the number of samples below which a team's share says nothing:
// a second of backlog.
const minSamples = 10

func newTally(teams []teamSpec, pools map[string]int) *tally {
	return &tally{
		teams:    teams,
		pools:    pools,
		requests: make(map[string]*request),
		runs:     make(map[string]int),
		starts:   make(map[string]time.Time),
		running:  make(map[string]map[string]int),
		pending:  make(map[string]map[string]int),
		shares:   make(map[string]*shareSum),
		jobs:     make(map[string]*request),
	}
}

// observe takes the start or the end of a task on a worker.
func (t *tally) observe(pool string, e emulator.Execution) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change := e.Order.Slots
	if !e.End.IsZero() {
		change = -change
	}
	add(t.running, e.Order.Team, pool, change)
	if change < 0 {
		return
	}
	if _, again := t.starts[e.Order.Task]; !again {
		t.starts[e.Order.Task] = e.Start
	}
	t.runs[e.Order.Name]++
	if sum(t.running[e.Order.Team]) > t.limit(e.Order.Team) {
		t.over++
	}
}

func (t *tally) limit(team string) int {
	for _, spec := range t.teams {
		if spec.name == team {
			return spec.limit
		}
	}
	return 0
}

func (t *tally) submitted(r *request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests[r.name] = r
	add(t.pending, r.team, r.pool, 1)
}

// settled takes the end of a request. crossed tells that the answer was that of
// another request.
func (t *tally) settled(r *request, job string, err error, crossed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.ended = true
	r.job = job
	r.err = classifier.As(err)
	t.jobs[job] = r
	add(t.pending, r.team, r.pool, -1)
	if crossed {
		t.crossed++
	}
}

// sample adds one observation of each backlogged team's share of the slots that
// its pool runs. A pool counts while at least two of its teams have more
// pending than the pool could run.
func (t *tally) sample() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for pool, slots := range t.pools {
		demands := t.demands(pool)
		backlogged := t.backlogged(pool, demands)
		if len(backlogged) < 2 {
			continue
		}
		running := 0
		for _, d := range demands {
			running += t.running[d.Team][pool]
		}
		t.used += running
		t.sampled += slots
		t.addShares(pool, backlogged, granter.Shares(running, demands))
	}
}

func (t *tally) demands(pool string) []granter.Demand {
	var demands []granter.Demand
	for _, team := range t.teams {
		pending := t.pending[team.name][pool]
		if pending == 0 {
			continue
		}
		elsewhere := sum(t.running[team.name]) - t.running[team.name][pool]
		demands = append(demands, granter.Demand{
			Team:   team.name,
			Weight: team.share,
			Limit:  team.limit - elsewhere,
			Demand: pending,
		})
	}
	return demands
}

// backlogged returns the teams with clearly more pending than running.
func (t *tally) backlogged(pool string, demands []granter.Demand) []string {
	var teams []string
	for _, d := range demands {
		if d.Demand > t.pools[pool] {
			teams = append(teams, d.Team)
		}
	}
	return teams
}

func (t *tally) addShares(pool string, teams []string, fair map[string]int) {
	for _, team := range teams {
		s, ok := t.shares[team]
		if !ok {
			s = &shareSum{}
			t.shares[team] = s
		}
		s.samples++
		s.had += float64(t.running[team][pool])
		s.fair += float64(fair[team])
	}
}

func (t *tally) shareError() float64 {
	worst := 0.0
	for _, s := range t.shares {
		if s.samples < minSamples || s.fair == 0 {
			continue
		}
		distance := s.had/s.fair - 1
		worst = max(worst, distance, -distance)
	}
	return worst
}

// slotsUsed returns the fraction of a pool's slots that ran work while it was
// sampled.
func (t *tally) slotsUsed() float64 {
	if t.sampled == 0 {
		return 0
	}
	return float64(t.used) / float64(t.sampled)
}

// urgentP99 returns the 99th percentile of the time from sending urgent
// requests to their start on a worker.
func (t *tally) urgentP99() time.Duration {
	var waits []time.Duration
	for job, r := range t.jobs {
		start, ok := t.starts[job]
		if ok && r.class == scheduler.Urgent {
			waits = append(waits, start.Sub(r.sent))
		}
	}
	if len(waits) == 0 {
		return 0
	}
	sort.Slice(waits, func(i, j int) bool { return waits[i] < waits[j] })
	return waits[len(waits)*99/100]
}

func add(counts map[string]map[string]int, team, pool string, n int) {
	if counts[team] == nil {
		counts[team] = make(map[string]int)
	}
	counts[team][pool] += n
}

func sum(counts map[string]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

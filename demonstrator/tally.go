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
	// tally counts the tasks that the emulated workers ran and the outcomes that
	// the callers received.
	tally struct {
		mu              sync.Mutex
		teams           []teamSpec
		pools           map[string]int            // number of slots, by pool
		requests        map[string]*request       // by request name
		startCounts     map[string]int            // number of task starts, by request name
		firstStarts     map[string]time.Time      // time of the first start, by task ID
		running         map[string]map[string]int // slots in use, by team, then pool
		pending         map[string]map[string]int // unanswered requests, by team, then pool
		shares          map[string]*shareSum      // by team
		usedSlots       int                       // sum of the slots in use over all samples; see takeSample
		sampledSlots    int                       // sum of all slots over the same samples
		startsOverLimit int                       // task starts by which a team exceeded its limit
		crossedAnswers  int                       // requests that received the answer to another request
		jobs            map[string]*request       // by job ID, which is also the ID of the job's task
	}

	// request is a request with the outcome that its caller received.
	request struct {
		name       string
		team, pool string
		class      scheduler.Class
		idempotent bool
		sent       time.Time
		ended      bool              // the caller has received an outcome
		err        *classifier.Error // nil if the request succeeded
		job        string            // job ID
	}

	// shareSum is the sum of the slots that a team used and of its fair share of
	// slots, over the samples in which the team had a backlog.
	shareSum struct {
		actual  float64
		fair    float64
		samples int
	}
)

// minSamples is the number of samples, one second of backlog, that a team must
// have for its share to be evaluated. With fewer samples the share is not
// meaningful.
const minSamples = 10

func newTally(teams []teamSpec, pools map[string]int) *tally {
	return &tally{
		teams:       teams,
		pools:       pools,
		requests:    make(map[string]*request),
		startCounts: make(map[string]int),
		firstStarts: make(map[string]time.Time),
		running:     make(map[string]map[string]int),
		pending:     make(map[string]map[string]int),
		shares:      make(map[string]*shareSum),
		jobs:        make(map[string]*request),
	}
}

// recordExecution records the start or the end of a task on a worker of the pool.
func (t *tally) recordExecution(pool string, e emulator.Execution) {
	t.mu.Lock()
	defer t.mu.Unlock()
	slotChange := e.Order.Slots
	if !e.End.IsZero() {
		slotChange = -slotChange
	}
	addCount(t.running, e.Order.Team, pool, slotChange)
	if slotChange < 0 {
		return
	}
	if _, started := t.firstStarts[e.Order.Task]; !started {
		t.firstStarts[e.Order.Task] = e.Start
	}
	t.startCounts[e.Order.Name]++
	if sum(t.running[e.Order.Team]) > t.teamLimit(e.Order.Team) {
		t.startsOverLimit++
	}
}

// teamLimit returns the slot limit of the team, or 0 for an unknown team.
func (t *tally) teamLimit(team string) int {
	for _, spec := range t.teams {
		if spec.name == team {
			return spec.limit
		}
	}
	return 0
}

// recordSubmission records a request that is about to be sent.
func (t *tally) recordSubmission(r *request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests[r.name] = r
	addCount(t.pending, r.team, r.pool, 1)
}

// recordOutcome records the outcome of a request. crossed reports that the caller
// received the answer to another request.
func (t *tally) recordOutcome(r *request, job string, err error, crossed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.ended = true
	r.job = job
	r.err = classifier.As(err)
	t.jobs[job] = r
	addCount(t.pending, r.team, r.pool, -1)
	if crossed {
		t.crossedAnswers++
	}
}

// takeSample adds the present slot usage and fair share of each team with a
// backlog to the sums. A pool is sampled only while at least two of its teams
// have a backlog, because the fair shares matter only when teams compete.
func (t *tally) takeSample() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for pool, slots := range t.pools {
		demands := t.poolDemands(pool)
		backlogged := t.backloggedTeams(pool, demands)
		if len(backlogged) < 2 {
			continue
		}
		running := 0
		for _, d := range demands {
			running += t.running[d.Team][pool]
		}
		t.usedSlots += running
		t.sampledSlots += slots
		t.addShares(pool, backlogged, granter.Shares(running, demands))
	}
}

// poolDemands returns the demand of each team that has pending requests in the
// pool. The slots that a team uses in other pools reduce its limit in this one.
func (t *tally) poolDemands(pool string) []granter.Demand {
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

// backloggedTeams returns the teams with a backlog: those with more pending
// requests than the pool has slots.
func (t *tally) backloggedTeams(pool string, demands []granter.Demand) []string {
	var teams []string
	for _, d := range demands {
		if d.Demand > t.pools[pool] {
			teams = append(teams, d.Team)
		}
	}
	return teams
}

// addShares adds one sample of slot usage and fair share for each of the teams.
func (t *tally) addShares(pool string, teams []string, fair map[string]int) {
	for _, team := range teams {
		s, ok := t.shares[team]
		if !ok {
			s = &shareSum{}
			t.shares[team] = s
		}
		s.samples++
		s.actual += float64(t.running[team][pool])
		s.fair += float64(fair[team])
	}
}

// maxShareError returns the largest relative deviation of a team's slot usage
// from its fair share.
func (t *tally) maxShareError() float64 {
	largest := 0.0
	for _, s := range t.shares {
		if s.samples < minSamples || s.fair == 0 {
			continue
		}
		deviation := s.actual/s.fair - 1
		largest = max(largest, deviation, -deviation)
	}
	return largest
}

// slotUtilization returns the fraction of the slots that were in use, over all
// samples. A pool is sampled only while at least two of its teams have a backlog.
func (t *tally) slotUtilization() float64 {
	if t.sampledSlots == 0 {
		return 0
	}
	return float64(t.usedSlots) / float64(t.sampledSlots)
}

// urgentStartP99 returns the 99th percentile of the time from sending an urgent
// request to its first start on a worker.
func (t *tally) urgentStartP99() time.Duration {
	var waits []time.Duration
	for job, r := range t.jobs {
		start, ok := t.firstStarts[job]
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

// addCount adds n to the count of the team in the pool.
func addCount(counts map[string]map[string]int, team, pool string, n int) {
	if counts[team] == nil {
		counts[team] = make(map[string]int)
	}
	counts[team][pool] += n
}

// sum returns the sum of the counts.
func sum(counts map[string]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

package refuser_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/refuser"
)

func ExamplePool_Waits() {
	p := refuser.Pool{Cores: 100, Backlogs: []refuser.Backlog{
		{Customer: "large", Weight: 1, WantedCores: 400, Work: 450, Tasks: 90},
		{Customer: "small", Weight: 1, WantedCores: 20, Work: 40, Tasks: 2},
		{Customer: "idle", Weight: 1, WantedCores: 20},
	}}
	waits := p.Waits()
	fmt.Println(waits["small"], waits["large"])
	p.Cores = 500
	fmt.Println(p.Waits()["large"])
	p.StartsPerSecond = 20
	fmt.Println(p.Waits()["small"])
	// Output:
	// 1s 6.125s
	// 0s
	// 4.6s
}

func ExampleAdmission() {
	a := refuser.NewAdmission(1)
	a.RecordAccepted(400) // core-seconds
	a.Update(time.Second, 4*time.Second, 3*time.Second, 400)
	fmt.Println(a.Share())
	for range 6 {
		a.Update(time.Second, 0, 3*time.Second, 0)
	}
	fmt.Println(a.Share())
	// Output:
	// 0.25
	// 1
}

func TestCustomerAtItsLimitWaitsThoughThereIsRoom(t *testing.T) {
	p := refuser.Pool{Cores: 100, Backlogs: []refuser.Backlog{
		{Customer: "limited", Weight: 1, MaxCores: 10, WantedCores: 50, Work: 50, Tasks: 5},
		{Customer: "other", Weight: 1, WantedCores: 1, Work: 1, Tasks: 1},
	}}
	require.Equal(t, map[string]time.Duration{"limited": 5 * time.Second}, p.Waits())
}

// Guards against a wait that is not a number when a pool has no cores at all, for example
// while its zones are evacuated.
func TestJobsOfAPoolWithoutCoresWaitLong(t *testing.T) {
	p := refuser.Pool{Backlogs: []refuser.Backlog{{Customer: "c", Weight: 1, WantedCores: 1, Work: 1, Tasks: 1}}}
	require.Greater(t, p.Waits()["c"], time.Minute)
}

const (
	cores         = 100.0
	taskCores     = 2.0
	taskTime      = time.Second
	objective     = 1500 * time.Millisecond
	lateFactor    = 3 // a job that takes longer than this multiple of its objective is late
	tick          = 50 * time.Millisecond
	publishPeriod = 500 * time.Millisecond
	played        = 60 * time.Second
	burstPeriod   = 10 * time.Second
	burstLength   = 4 * time.Second
)

type (
	// simulatedCustomer sends jobs of one task.
	simulatedCustomer struct {
		rate      float64 // jobs a second
		lowRate   float64 // jobs a second between bursts; 0 if there are no bursts
		admission *refuser.Admission
		accepted  float64         // share of the new jobs that entry nodes accept
		waiting   []time.Duration // when the waiting jobs were accepted
		running   int
		seesRoom  bool // a quarter of the pool is free, and was when the decision in force was made
		got       callers
	}

	// callers is what the callers of a customer got.
	callers struct {
		jobs, refused, late int
		refusedWithRoom     int
		longest             time.Duration
	}

	// simulatedPool serves the customer with the fewest running tasks first.
	simulatedPool struct {
		customers []*simulatedCustomer
		ends      map[time.Duration][]*simulatedCustomer // running tasks, by when they end
		rng       *rand.Rand
		free      int // places after the last advance
	}
)

// arrive lets the customer's jobs of one tick arrive.
func (c *simulatedCustomer) arrive(rng *rand.Rand, now time.Duration) {
	rate := c.rate
	if c.lowRate > 0 && now%burstPeriod >= burstLength {
		rate = c.lowRate
	}
	for at := rng.ExpFloat64() / rate; at < tick.Seconds(); at += rng.ExpFloat64() / rate {
		c.got.jobs++
		if rng.Float64() >= c.accepted {
			c.got.refused++
			if c.seesRoom {
				c.got.refusedWithRoom++
			}
			continue
		}
		c.admission.RecordAccepted(taskCores * taskTime.Seconds())
		c.waiting = append(c.waiting, now)
	}
}

// start starts the customer's oldest job.
func (c *simulatedCustomer) start(now time.Duration) {
	took := now - c.waiting[0] + taskTime
	c.got.longest = max(c.got.longest, took)
	if took > lateFactor*objective {
		c.got.late++
	}
	c.waiting = c.waiting[1:]
	c.running++
}

// next returns the customer whose job starts next, or nil if none waits.
func (p *simulatedPool) next() *simulatedCustomer {
	var next *simulatedCustomer
	for _, c := range p.customers {
		if len(c.waiting) > 0 && (next == nil || c.running < next.running) {
			next = c
		}
	}
	return next
}

// advance ends tasks, lets jobs arrive and starts as many as there is room for. It
// returns the number of free places.
func (p *simulatedPool) advance(now time.Duration) int {
	for _, c := range p.ends[now] {
		c.running--
	}
	free := int(cores / taskCores)
	for _, c := range p.customers {
		c.arrive(p.rng, now)
		free -= c.running
	}
	for c := p.next(); free > 0 && c != nil; c = p.next() {
		c.start(now)
		p.ends[now+taskTime] = append(p.ends[now+taskTime], c)
		free--
	}
	return free
}

// decide returns the shares of the customers' new jobs to accept.
func (p *simulatedPool) decide() []float64 {
	pool := refuser.Pool{Cores: cores}
	for i, c := range p.customers {
		work := float64(len(c.waiting)) * taskCores * taskTime.Seconds()
		pool.Backlogs = append(pool.Backlogs, refuser.Backlog{Customer: fmt.Sprint(i), Weight: 1, WantedCores: taskCores * float64(len(c.waiting)+c.running), Work: work, Tasks: len(c.waiting)})
	}
	var shares []float64
	waits := pool.Waits()
	limited := 0.0
	for _, c := range p.customers {
		if c.admission.Share() < 1 {
			limited++
		}
	}
	for i, c := range p.customers {
		if p.free > 0 && len(c.waiting) == 0 {
			c.admission.UpdateWithRoom(publishPeriod, refuser.Limit(objective, taskTime), float64(p.free)*taskCores/max(1, limited))
			shares = append(shares, c.admission.Share())
			continue
		}
		c.admission.Update(publishPeriod, waits[fmt.Sprint(i)], refuser.Limit(objective, taskTime), pool.Backlogs[i].Work)
		shares = append(shares, c.admission.Share())
	}
	return shares
}

// playOverload plays customers with equal weights whose jobs arrive at the given
// rates a second. Entry nodes use a decision recordAge after it was made. It returns
// what the callers got and the mean share of cores in use.
func playOverload(rates []float64, recordAge time.Duration) ([]callers, float64) {
	return playBursts(rates, nil, recordAge)
}

// playBursts plays the same, but the rates fall to lowRates between bursts.
func playBursts(rates, lowRates []float64, recordAge time.Duration) ([]callers, float64) {
	p := &simulatedPool{ends: make(map[time.Duration][]*simulatedCustomer), rng: rand.New(rand.NewPCG(1, 2))}
	for i, rate := range rates {
		c := &simulatedCustomer{rate: rate, admission: refuser.NewAdmission(1), accepted: 1}
		if lowRates != nil {
			c.lowRate = lowRates[i]
		}
		p.customers = append(p.customers, c)
	}
	published, room := make(map[time.Duration][]float64), make(map[time.Duration]bool)
	hadRoom := false
	used := 0.0
	for now := time.Duration(0); now < played; now += tick {
		for i, share := range published[now] {
			p.customers[i].accepted = share
			hadRoom = room[now]
		}
		hasRoom := float64(p.free)*taskCores >= cores/4
		for _, c := range p.customers {
			c.seesRoom = hadRoom && hasRoom
		}
		p.free = p.advance(now)
		used += 1 - float64(p.free)*taskCores/cores
		if now%publishPeriod == 0 {
			room[now+recordAge] = float64(p.free)*taskCores >= cores/4
			published[now+recordAge] = p.decide()
		}
	}
	var got []callers
	for _, c := range p.customers {
		got = append(got, c.got)
	}
	return got, used * tick.Seconds() / played.Seconds()
}

// The load: one customer sends four times what the pool can do, and nine others
// send half of their share each. Of the others nobody may be refused or late. Of the
// first's jobs at most two in a hundred are late, apart from those that were
// accepted before the overload showed. At most a twentieth of the cores idles.
func TestHotCustomerIsRefusedAndTheOthersAreServed(t *testing.T) {
	rates := []float64{200}
	for range 9 {
		rates = append(rates, 2.5)
	}
	for _, age := range []time.Duration{tick, 500 * time.Millisecond} {
		got, used := playOverload(rates, age)
		t.Logf("decisions %v old: %.2f of the cores in use, hot customer %+v", age, used, got[0])
		require.Greater(t, used, 0.95)
		require.Less(t, got[0].late, int(rates[0]*(publishPeriod+age).Seconds())+got[0].jobs/50)
		for c, g := range got[1:] {
			require.Zero(t, g.refused+g.late, "customer %d: %+v", c+1, g)
		}
	}
}

// The load: all customers together send twice what the pool can do, or 0.9 of it. At
// most a fifteenth of the jobs is late, apart from those that were accepted before
// the overload showed, and at most a twentieth of the cores idles.
func TestNobodyIsRefusedWithoutNeed(t *testing.T) {
	rates := make([]float64, 10)
	for load, maxRefused := range map[float64]float64{2: 0.55, 0.9: 0} {
		for c := range rates {
			rates[c] = load * cores / taskCores / taskTime.Seconds() / float64(len(rates))
		}
		for _, age := range []time.Duration{tick, 500 * time.Millisecond} {
			got, used := playOverload(rates, age)
			jobs, refused, late := 0, 0, 0
			for _, g := range got {
				jobs, refused, late = jobs+g.jobs, refused+g.refused, late+g.late
			}
			t.Logf("load %.1f, decisions %v old: %.2f of the cores in use, %d jobs, %d refused, %d late", load, age, used, jobs, refused, late)
			require.Less(t, late, int(float64(len(rates))*rates[0]*(publishPeriod+age).Seconds())+jobs/15)
			require.LessOrEqual(t, float64(refused), maxRefused*float64(jobs))
			require.Greater(t, used, 0.95*min(load, 1))
		}
	}
}

// The load: two customers send four times what the pool can do for four seconds, and
// half of it for six. After each burst the pool has room before their shares
// were back at 1, and jobs were refused for lack of capacity. While a quarter of it is
// free, and was when the decision was made, none may be refused.
func TestNobodyIsRefusedWhileThereIsRoom(t *testing.T) {
	rates, lowRates := []float64{100, 100}, []float64{14, 14}
	for _, age := range []time.Duration{tick, 500 * time.Millisecond} {
		got, used := playBursts(rates, lowRates, age)
		for c, g := range got {
			t.Logf("decisions %v old: %.2f of the cores in use, customer %d %+v", age, used, c, g)
			require.Zero(t, g.refusedWithRoom, "customer %d: %+v", c, g)
			require.Less(t, g.late, g.jobs/4)
		}
	}
}

// A refusal must name the figure that it is due to.
func TestCauseOfAWait(t *testing.T) {
	p := refuser.Pool{Cores: 100, Backlogs: []refuser.Backlog{
		{Customer: "limited", Weight: 1, MaxCores: 10, WantedCores: 50, Work: 50, Tasks: 5},
		{Customer: "other", Weight: 1, WantedCores: 30, Work: 1, Tasks: 1},
		{Customer: "idle", Weight: 1},
	}}
	require.Equal(t, refuser.AtMaximum, p.CauseOf("limited"))
	require.Equal(t, refuser.NothingWaits, p.CauseOf("other"))
	p.Cores = 40
	require.Equal(t, refuser.LackOfCores, p.CauseOf("other"))
	p.StartsPerSecond = 1
	require.Equal(t, refuser.LackOfStarts, p.CauseOf("limited"))
	require.Equal(t, refuser.NothingWaits, p.CauseOf("idle"))
}

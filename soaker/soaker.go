package soaker

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/emulator"
	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/supervisor"
)

const (
	startTime    = 20 * time.Second       // until the first entry answers; a busy machine starts processes slowly
	settleTime   = 60 * time.Second       // after the faults, until all accepted jobs have to be done; leases, moves and a wave together take half
	sampleTime   = 20 * time.Millisecond  // between two looks at what customers have running
	limitOverage = 1.1                    // of a customer's limit, from the platform's pages
	largestTask  = 900                    // thousandths of a core, see caller.draw
	lateAnswer   = 100 * time.Millisecond // of a slow store
	writeShare   = 3                      // one write in so many is lost while writes are lost
	lateWrite    = 4                      // one lost write in so many is carried out, later
)

type (
	// Options are the settings of a run.
	Options struct {
		Program  string        // the program that is run as entries
		Dir      string        // for settings and logs, kept after a breach
		Seed     uint64        // of the faults and the jobs
		Duration time.Duration // with faults; a quiet time follows
		Entries  int
		Workers  int
		Progress io.Writer // a line for each fault; nil for none
	}

	// Result is what a run found.
	Result struct {
		Seed uint64 `json:"seed"`
		Counts
		Faults   int      `json:"faults"`
		OwnEnds  int      `json:"own-ends"` // processes that ended without being told
		Breaches []string `json:"breaches"`
	}

	run struct {
		Options
		*site
		entries []*entry
		ledger  *Ledger
		began   time.Time
		faults  sync.WaitGroup
		down    counter // faults of a kind may overlap
		slow    counter
		lost    counter
		late    counter
	}

	// counter counts faults of one kind that are under way.
	counter struct {
		mu sync.Mutex
		n  int
	}
)

// Run plays one seed and returns what it found. It returns an error when the run
// could not be made.
func Run(ctx context.Context, opts Options) (Result, error) {
	s, err := newSite(opts.Workers)
	if err != nil {
		return Result{}, err
	}
	defer s.close()
	r := &run{Options: opts, site: s, ledger: NewLedger()}
	defer r.stopEntries()
	for i := range opts.Entries {
		e, err := s.newEntry(i, opts.Program, opts.Dir)
		if err != nil {
			return Result{}, err
		}
		r.entries = append(r.entries, e)
	}
	callers := r.newCallers()
	if err := r.awaitStart(ctx, callers[0]); err != nil {
		return Result{}, err
	}
	r.began = time.Now()
	plan := Plan(opts.Seed, opts.Duration)
	r.play(ctx, plan, callers)
	r.settle(ctx, callers[0])
	result := Result{Seed: opts.Seed, Faults: len(plan), OwnEnds: r.stopEntries()}
	result.Counts = r.ledger.settle(r.starts)
	if result.OwnEnds > 0 {
		r.ledger.Breach("%d processes ended by themselves, see the logs in %s", result.OwnEnds, opts.Dir)
	}
	result.Breaches = append(r.ledger.Breaches(), s.fleet.Violations()...)
	return result, ctx.Err()
}

func (r *run) newCallers() []*caller {
	var callers []*caller
	for i, customer := range customers {
		for n := range callersEach {
			number := i*callersEach + n
			callers = append(callers, &caller{
				customer: customer, entries: r.entries, ledger: r.ledger, fleet: r.fleet, client: &http.Client{Transport: &http.Transport{}},
				rng: rand.New(rand.NewPCG(r.Seed, uint64(number+1))), number: number,
			})
		}
	}
	return callers
}

// awaitStart waits until an entry takes a call.
func (r *run) awaitStart(ctx context.Context, c *caller) error {
	for began := time.Now(); time.Since(began) < startTime; {
		if status, _, _ := c.call(ctx, http.MethodGet, "", nil); status == http.StatusOK {
			return nil
		}
		if err := supervisor.Pause(ctx, statePause); err != nil {
			return errors.Trace(err)
		}
	}
	return errors.Errorf("no entry answers after %s, see the logs in %s", startTime, r.Dir)
}

// play runs callers, checks and faults side by side.
func (r *run) play(ctx context.Context, plan []Fault, callers []*caller) {
	calling, stop := context.WithTimeout(ctx, r.Duration)
	defer stop()
	var wg sync.WaitGroup
	for _, c := range callers {
		wg.Go(func() { c.run(calling) })
	}
	wg.Go(func() { r.watchLimits(calling) })
	wg.Go(func() { r.watchStates(calling) })
	for _, f := range plan {
		if supervisor.Pause(calling, f.At-time.Since(r.began)) != nil {
			break
		}
		if r.Progress != nil {
			_, _ = fmt.Fprintf(r.Progress, "%8s %s %d for %s\n", f.At, f.Kind, f.Target, f.For) // progress is a courtesy
		}
		r.faults.Go(func() { r.inject(ctx, f) })
	}
	wg.Wait()
	r.faults.Wait()
}

// inject does one fault and undoes it after its time.
func (r *run) inject(ctx context.Context, f Fault) {
	e := r.entries[f.Target%len(r.entries)]
	name := r.names[f.Target%len(r.names)]
	last := func() { _ = supervisor.Pause(ctx, f.For) } // a run that is broken off undoes its faults at once
	switch f.Kind {
	case EntryTerm:
		e.signal(syscall.SIGTERM)
	case EntryKill:
		e.signal(syscall.SIGKILL)
	case EntryHangup:
		e.signal(syscall.SIGHUP)
	case AllKill:
		for _, each := range r.entries {
			each.signal(syscall.SIGKILL)
		}
	case EntryPause:
		e.signal(syscall.SIGSTOP)
		last()
		e.signal(syscall.SIGCONT)
	case StoreLink:
		r.harm(e.link, f.Mode, last)
	case WorkerLink:
		r.harm(r.links[f.Target%len(r.links)], f.Mode, last)
	case StoreDown:
		r.during(&r.down, last, func(on bool) { r.meta.InjectFaults(func(s *emulator.MetaStoreFaults) { s.Down = on }) })
	case StoreSlow:
		r.during(&r.slow, last, func(on bool) { r.meta.InjectFaults(func(s *emulator.MetaStoreFaults) { s.Delay = lateIf(on) }) })
	case StoreLost:
		r.during(&r.lost, last, func(on bool) {
			r.meta.InjectFaults(func(s *emulator.MetaStoreFaults) { s.LoseCommitResponse = loseIf(on) })
		})
	case StoreCompact:
		r.meta.Compact()
	case WorkerSilent:
		worker := r.yard.WorkerOf(name)
		r.fleet.SetUnresponsive(worker, true)
		last()
		r.fleet.SetUnresponsive(worker, false)
	case WorkerRestart:
		r.yard.RestartWorker(name)
	case WorkerLate:
		r.during(&r.late, last, func(on bool) { r.fleet.SetStartDelay(lateStartIf(on)) })
	case NewManifest:
		if err := r.writeManifest(); err != nil {
			r.ledger.Breach("manifest not written: %v", err)
		}
	case NewWave:
		if err := r.askWave(f.Target); err != nil {
			r.ledger.Breach("wave not asked for: %v", err)
		}
	}
}

// harm puts a proxy into a mode for a time.
func (r *run) harm(p *Proxy, m Mode, last func()) {
	p.Set(m)
	last()
	p.Set(Pass)
}

// during switches a fault on for a time; the last of several that overlap switches
// it off.
func (r *run) during(c *counter, last func(), set func(on bool)) {
	if c.add(1) == 1 {
		set(true)
	}
	last()
	if c.add(-1) == 0 {
		set(false)
	}
}

func (c *counter) add(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n += n
	return c.n
}

func lateIf(on bool) time.Duration {
	if on {
		return lateAnswer
	}
	return 0
}

// loseIf returns what becomes of writes: some are lost, and some of these are
// carried out later.
func loseIf(on bool) func(keeper.Txn) (bool, time.Duration) {
	if !on {
		return nil
	}
	return func(keeper.Txn) (bool, time.Duration) {
		switch n := rand.IntN(writeShare * lateWrite); {
		case n == 0:
			return true, lateTime
		case n < lateWrite:
			return true, 0
		}
		return false, 0
	}
}

// lateStartIf returns which starts are carried out late.
func lateStartIf(on bool) func(modeler.TaskID, int) time.Duration {
	if !on {
		return nil
	}
	return func(modeler.TaskID, int) time.Duration {
		if rand.IntN(lateShare) == 0 {
			return lateTime
		}
		return 0
	}
}

// watchLimits checks that no customer has more running than its limit.
func (r *run) watchLimits(ctx context.Context) {
	most := int64(limitOverage*float64(r.highestLimit())) + largestTask
	for supervisor.Pause(ctx, sampleTime) == nil {
		for customer, cpu := range r.ledger.running(r.fleet.RunningTasks(), workerCores*1000) {
			if cpu > most {
				r.ledger.Breach("customer %s has %d thousandths of a core running, at most %d are allowed", customer, cpu, most)
			}
		}
	}
}

// watchStates asks for the states of jobs that are not done, at any entry.
func (r *run) watchStates(ctx context.Context) {
	c := r.newCallers()[0]
	for supervisor.Pause(ctx, statePause) == nil {
		r.askAll(ctx, c)
	}
}

func (r *run) askAll(ctx context.Context, c *caller) {
	for _, j := range r.ledger.open() {
		if ctx.Err() != nil {
			return
		}
		c.customer = j.Customer
		c.ask(ctx, j.ID, j.Steps)
	}
}

// settle waits without faults until all accepted jobs are done.
func (r *run) settle(ctx context.Context, c *caller) {
	for began := time.Now(); time.Since(began) < settleTime; {
		r.askAll(ctx, c)
		if len(r.ledger.open()) == 0 || supervisor.Pause(ctx, statePause) != nil {
			return
		}
	}
	for _, j := range r.ledger.open() {
		r.ledger.Breach("job %s was accepted and is not done %s after the last fault", j.ID, settleTime)
	}
}

// starts counts the starts of a job's tasks.
func (r *run) starts(j modeler.Job) int {
	n := 0
	for i, s := range j.Steps {
		for k := range s.Count {
			n += r.fleet.StartedRuns(modeler.TaskID{Job: j.ID, Step: i, Index: k})
		}
	}
	return n
}

// stopEntries ends the entries that run, and counts their own ends.
func (r *run) stopEntries() int {
	var own counter
	var wg sync.WaitGroup
	for _, e := range r.entries {
		wg.Go(func() { own.add(e.stop()) })
	}
	wg.Wait()
	r.entries = nil
	return own.add(0)
}

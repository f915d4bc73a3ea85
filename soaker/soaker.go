package soaker

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/elector"
	"github.com/coltsfootlever/coltsfootlever/emulator"
	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/platform"
	"github.com/coltsfootlever/coltsfootlever/supervisor"
)

const (
	startTimeout           = 20 * time.Second       // time until the first entry node responds; a busy machine starts processes slowly
	completionTimeout      = 60 * time.Second       // time after the last fault until all accepted jobs must be completed; the expiry of leases, moves and a maintenance wave together can take half of it
	maxLeaderWait          = 5 * time.Second        // a LeaderKill fault waits for a leader for so long
	sampleInterval         = 20 * time.Millisecond  // interval between two checks of the CPU in use
	limitTolerance         = 1.1                    // the platform's documentation tolerates 10% above the limit of a customer
	maxTaskCPU             = 900                    // CPU of the largest task in thousandths of a core; must match caller.randomJob
	slowStoreDelay         = 100 * time.Millisecond // delay of each response during a StoreSlow fault
	writesPerLostWrite     = 3                      // the response to one write in this many is lost during a StoreWritesLost fault
	lostWritesPerLateWrite = 4                      // one in this many of the writes whose response is lost is applied late
)

type (
	// Options are the settings of a run.
	Options struct {
		Program  string        // path of the program that runs as entry nodes
		Dir      string        // directory for settings files and logs; the caller keeps it after a breach
		Seed     uint64        // seed of the faults and the jobs
		Duration time.Duration // time with faults; a time without faults follows, in which jobs complete
		Entries  int
		Workers  int
		Kinds    []Kind    // kinds of the faults; all if it is empty
		Plan     *Plan     // replaces Duration and the drawn faults; may be nil
		Progress io.Writer // receives one line for each fault; may be nil
	}

	// Result is the result of a run.
	Result struct {
		Seed uint64 `json:"seed"`
		Counts
		Faults          int        `json:"faults"`
		UnexpectedExits int        `json:"own-ends"` // processes that exited without a signal from the soak test
		Standstill      Standstill `json:"standstill"`
		Breaches        []string   `json:"breaches"`
	}

	// Standstill tells how long tasks whose run ended with its worker stood still until
	// their next start.
	Standstill struct {
		Runs     int   `json:"runs"`
		MedianMs int64 `json:"median-ms"`
		MaxMs    int64 `json:"max-ms"`
	}

	soakRun struct {
		Options
		*emulatedPlatform
		entries          []*entryNode
		checker          *Checker
		began            time.Time
		faults           sync.WaitGroup
		storeDown        faultCounter // faults of the same kind may overlap
		storeSlow        faultCounter
		storeWritesLost  faultCounter
		workerStartsLate faultCounter
		adviceSlow       faultCounter
		adviceSilent     faultCounter
		bursts           faultCounter
		evacuations      [zoneCount]faultCounter // by zone
	}

	// faultCounter counts the active faults of one kind.
	faultCounter struct {
		mu sync.Mutex
		n  int
	}
)

// Run runs the processes, workload and faults of one seed and returns the breaches
// found. It returns an error if the run could not be carried out.
func Run(ctx context.Context, opts Options) (Result, error) {
	p, err := newEmulatedPlatform(opts.Workers)
	if err != nil {
		return Result{}, err
	}
	defer p.close()
	r := &soakRun{Options: opts, emulatedPlatform: p, checker: NewChecker()}
	if opts.Plan != nil {
		r.Duration = opts.Plan.Duration
		p.fleet.RunOutcome, p.fleet.CrashAfter = opts.Plan.runOutcome, nil
	}
	p.fleet.Need = r.checker.needOf
	r.checker.lostRuns = p.fleet.LostRuns
	defer r.stopEntryNodes()
	for i := range opts.Entries {
		e, err := p.startEntryNode(i, opts.Program, opts.Dir)
		if err != nil {
			return Result{}, err
		}
		r.entries = append(r.entries, e)
	}
	callers := r.newCallers()
	if err := r.waitForFirstResponse(ctx, callers[0]); err != nil {
		return Result{}, err
	}
	r.began = time.Now()
	plan := r.planFaults()
	r.runWorkload(ctx, plan, callers)
	r.waitForCompletion(ctx, callers[0], calmFrom(r.Duration, plan))
	result := Result{Seed: opts.Seed, Faults: len(plan), UnexpectedExits: r.stopEntryNodes(), Standstill: newStandstill(p.fleet.Standstills())}
	result.Counts = r.checker.finalCounts(r.startedRuns)
	if result.UnexpectedExits > 0 {
		r.checker.AddBreach("%d processes ended by themselves, see the logs in %s", result.UnexpectedExits, opts.Dir)
	}
	result.Breaches = append(r.checker.Breaches(), p.fleet.Violations()...)
	return result, ctx.Err()
}

// planFaults returns the faults of the run.
func (r *soakRun) planFaults() []Fault {
	if r.Plan != nil {
		return r.Plan.Faults
	}
	faults := PlanFaults(r.Seed, r.Duration)
	if len(r.Kinds) > 0 {
		faults = slices.DeleteFunc(faults, func(f Fault) bool { return !slices.Contains(r.Kinds, f.Kind) })
	}
	return faults
}

// newStandstill summarizes sorted times.
func newStandstill(times []time.Duration) Standstill {
	if len(times) == 0 {
		return Standstill{}
	}
	return Standstill{len(times), times[len(times)/2].Milliseconds(), times[len(times)-1].Milliseconds()}
}

// newCallers returns callersPerCustomer callers for each customer.
func (r *soakRun) newCallers() []*caller {
	var callers []*caller
	for i, customer := range customers {
		for n := range callersPerCustomer {
			number := i*callersPerCustomer + n
			callers = append(callers, &caller{
				customer: customer, entries: r.entries, checker: r.checker, fleet: r.fleet, client: &http.Client{Transport: &http.Transport{}},
				rng: rand.New(rand.NewPCG(r.Seed, uint64(number+1))), number: number, bursts: &r.bursts, meanInterval: r.jobInterval(),
			})
		}
	}
	return callers
}

// jobInterval returns the mean time between two jobs of a caller.
func (r *soakRun) jobInterval() time.Duration {
	if r.Plan != nil {
		return r.Plan.JobInterval
	}
	return meanJobInterval
}

// waitForFirstResponse waits until an entry node responds to a call.
func (r *soakRun) waitForFirstResponse(ctx context.Context, c *caller) error {
	for began := time.Now(); time.Since(began) < startTimeout; {
		if status, _, _ := c.call(ctx, http.MethodGet, "", nil); status == http.StatusOK {
			return nil
		}
		if err := supervisor.Pause(ctx, stateInterval); err != nil {
			return errors.Trace(err)
		}
	}
	return errors.Errorf("no entry answers after %s, see the logs in %s", startTimeout, r.Dir)
}

// runWorkload runs the callers, the checks and the faults concurrently until the
// run time has passed.
func (r *soakRun) runWorkload(ctx context.Context, plan []Fault, callers []*caller) {
	callersCtx, stop := context.WithTimeout(ctx, r.Duration)
	defer stop()
	var wg sync.WaitGroup
	for _, c := range callers {
		wg.Go(func() { c.run(callersCtx) })
	}
	wg.Go(func() { r.checkLimits(callersCtx) })
	wg.Go(func() { r.checkStates(callersCtx) })
	wg.Go(func() { r.checkWaves(callersCtx) })
	for _, f := range plan {
		if supervisor.Pause(ctx, f.At-time.Since(r.began)) != nil {
			break
		}
		if r.Progress != nil {
			_, _ = fmt.Fprintf(r.Progress, "%8s %s %d for %s\n", f.At, f.Kind, f.Target, f.Duration) // a failure to write progress does not affect the run
		}
		r.faults.Go(func() { r.injectFault(ctx, f) })
	}
	wg.Wait()
	r.faults.Wait()
}

// injectFault injects one fault and reverts it after its duration.
func (r *soakRun) injectFault(ctx context.Context, f Fault) {
	e := r.entries[f.Target%len(r.entries)]
	name := r.instanceNames[f.Target%len(r.instanceNames)]
	waitDuration := func() { _ = supervisor.Pause(ctx, f.Duration) } // when ctx ends early, the fault is reverted at once
	switch f.Kind {
	case EntryTerm:
		e.signal(syscall.SIGTERM)
	case EntryKill:
		e.signal(syscall.SIGKILL)
	case LeaderKill:
		r.killLeader(ctx)
	case WorkerGone:
		r.removeInstances(f.Target, f.Count)
	case EntryHangup:
		e.signal(syscall.SIGHUP)
	case AllEntriesKill:
		for _, each := range r.entries {
			each.signal(syscall.SIGKILL)
		}
	case EntryPause:
		e.signal(syscall.SIGSTOP)
		waitDuration()
		e.signal(syscall.SIGCONT)
	case StoreConnection:
		r.setModeDuring(e.storeProxy, f.Mode, waitDuration)
	case WorkerConnection:
		r.setModeDuring(r.workerProxies[f.Target%len(r.workerProxies)], f.Mode, waitDuration)
	case StoreDown:
		r.switchOnDuring(&r.storeDown, waitDuration, func(on bool) { r.metaStore.InjectFaults(func(s *emulator.MetaStoreFaults) { s.Down = on }) })
	case StoreSlow:
		r.switchOnDuring(&r.storeSlow, waitDuration, func(on bool) {
			r.metaStore.InjectFaults(func(s *emulator.MetaStoreFaults) { s.Delay = storeDelay(on) })
		})
	case StoreWritesLost:
		r.switchOnDuring(&r.storeWritesLost, waitDuration, func(on bool) {
			r.metaStore.InjectFaults(func(s *emulator.MetaStoreFaults) { s.LoseCommitResponse = lostWriteRule(on) })
		})
	case StoreCompact:
		r.metaStore.Compact()
	case WorkerUnresponsive:
		worker := r.instanceService.WorkerOf(name)
		r.fleet.SetUnresponsive(worker, true)
		waitDuration()
		r.fleet.SetUnresponsive(worker, false)
	case WorkerRestart:
		r.instanceService.RestartWorker(name)
	case WorkerStartsLate:
		r.switchOnDuring(&r.workerStartsLate, waitDuration, func(on bool) { r.fleet.SetStartDelay(lateStartRule(on)) })
	case WorkerShrinks:
		r.fleet.SetCapacity(r.instanceService.WorkerOf(name), shrunkCapacity)
		waitDuration()
		r.fleet.SetCapacity(r.instanceService.WorkerOf(name), workerCapacity)
	case AdviceSlow:
		r.switchOnDuring(&r.adviceSlow, waitDuration, func(on bool) { r.advice.SetSlowdown(slowdownOfAdvice(on)) })
	case AdviceSilent:
		r.switchOnDuring(&r.adviceSilent, waitDuration, r.advice.SetSilent)
	case AdviceConnection:
		r.setModeDuring(e.adviceProxy, f.Mode, waitDuration)
	case JobBurst:
		r.switchOnDuring(&r.bursts, waitDuration, func(bool) {})
	case NewManifest:
		if err := r.writeManifest(); err != nil {
			r.checker.AddBreach("manifest not written: %v", err)
		}
	case ZoneEvacuated:
		r.switchOnDuring(&r.evacuations[f.Target%zoneCount], waitDuration, func(on bool) { r.setEvacuated(zoneName(f.Target), on) })
	case WorkerReborn:
		r.restartUnderItsID(f.Target%len(r.instanceNames), waitDuration)
	case WorkerRecut:
		r.restartAndCutOff(zoneName(f.Target), f.Duration, func(d time.Duration) { _ = supervisor.Pause(ctx, d) })
	case InstanceUnlisted:
		if r.hide(name) {
			defer r.show(name)
		}
		r.requestWave(f.Target)
		waitDuration()
	case NewMaintenanceWave:
		r.requestWave(f.Target)
	}
}

// killLeader kills the entry node that leads. It waits for a leader if there is none.
func (r *soakRun) killLeader(ctx context.Context) {
	store := r.metaStore.ClientFor("operator")
	for began := time.Now(); time.Since(began) < maxLeaderWait; {
		leader, err := store.Get(ctx, elector.Key) // fails while the store is down
		name, _, _ := strings.Cut(string(leader.Value), "/")
		i := slices.IndexFunc(r.entries, func(e *entryNode) bool { return e.name == name })
		if err == nil && i >= 0 {
			r.entries[i].signal(syscall.SIGKILL)
			return
		}
		if supervisor.Pause(ctx, sampleInterval) != nil {
			return
		}
	}
}

// requestWave requests the maintenance of half of the instances.
func (r *soakRun) requestWave(first int) {
	if err := r.orderMaintenance(first); err != nil {
		r.checker.AddBreach("wave not asked for: %v", err)
	}
}

// setModeDuring sets the mode of a proxy while waitDuration runs, then sets it to
// Pass.
func (r *soakRun) setModeDuring(p *Proxy, m Mode, waitDuration func()) {
	p.SetMode(m)
	waitDuration()
	p.SetMode(Pass)
}

// switchOnDuring switches a fault on while waitDuration runs. When faults of the
// same kind overlap, the last one to end switches it off.
func (r *soakRun) switchOnDuring(c *faultCounter, waitDuration func(), set func(on bool)) {
	if c.add(1) == 1 {
		set(true)
	}
	waitDuration()
	if c.add(-1) == 0 {
		set(false)
	}
}

// add adds n and returns the new count.
func (c *faultCounter) add(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n += n
	return c.n
}

// isOn reports whether a fault of the kind is active.
func (c *faultCounter) isOn() bool {
	return c.add(0) > 0
}

// slowdownOfAdvice returns the factor by which the advice service is slower.
func slowdownOfAdvice(on bool) float64 {
	if on {
		return adviceSlowdown
	}
	return 1
}

// storeDelay returns the delay of store responses: slowStoreDelay while a
// StoreSlow fault is on, otherwise 0.
func storeDelay(on bool) time.Duration {
	if on {
		return slowStoreDelay
	}
	return 0
}

// lostWriteRule returns the function that decides which writes lose their
// response, and which of these are applied late. It returns nil when the fault is
// off.
func lostWriteRule(on bool) func(keeper.Txn) (bool, time.Duration) {
	if !on {
		return nil
	}
	return func(keeper.Txn) (bool, time.Duration) {
		switch n := rand.IntN(writesPerLostWrite * lostWritesPerLateWrite); {
		case n == 0:
			return true, lateDelay
		case n < lostWritesPerLateWrite:
			return true, 0
		}
		return false, 0
	}
}

// lateStartRule returns the function that decides which starts are carried out
// late. It returns nil when the fault is off.
func lateStartRule(on bool) func(modeler.TaskID, int) time.Duration {
	if !on {
		return nil
	}
	return func(modeler.TaskID, int) time.Duration {
		if rand.IntN(startsPerLateStart) == 0 {
			return time.Duration(rand.Int64N(int64(maxLateStart)))
		}
		return 0
	}
}

// checkLimits checks repeatedly that no customer has more CPU in use than the
// highest limit of the run times limitTolerance plus the CPU of one largest task,
// and that no worker has more in use than its capacity.
func (r *soakRun) checkLimits(ctx context.Context) {
	maxCPU := int64(limitTolerance*float64(r.highestLimit())) + maxTaskCPU
	for supervisor.Pause(ctx, sampleInterval) == nil {
		for customer, cpu := range r.checker.checkRunningTasks(r.fleet.RunningTasks(), workerCores*1000) {
			if cpu > maxCPU {
				r.checker.AddBreach("customer %s has %d thousandths of a core running, at most %d are allowed", customer, cpu, maxCPU)
			}
		}
	}
}

// checkWaves checks repeatedly that the maintenance of all instances of a wave has begun
// when the operator is told that the wave is completed.
func (r *soakRun) checkWaves(ctx context.Context) {
	store := r.metaStore.ClientFor("operator")
	reported := make(map[int64]bool)
	for supervisor.Pause(ctx, stateInterval) == nil {
		for _, w := range r.requestedWaves() {
			if reported[w.Number] {
				continue
			}
			completed, err := platform.IsWaveCompleted(w.Number, func(key string) (keeper.Record, error) { return store.Get(ctx, key) })
			if err != nil || !completed {
				continue // the store may be down
			}
			reported[w.Number] = true
			for _, name := range w.Instances {
				if !r.isRemoved(name) && !r.instanceService.HasBegunMaintenance(name, w.Number) {
					r.checker.AddBreach("wave %d is said to be completed, and the maintenance of %s has not begun", w.Number, name)
				}
			}
		}
	}
}

// checkStates repeatedly queries the states of unfinished jobs at random entry
// nodes.
func (r *soakRun) checkStates(ctx context.Context) {
	c := r.newCallers()[0]
	for supervisor.Pause(ctx, stateInterval) == nil {
		r.checkUnfinishedJobs(ctx, c)
	}
}

// checkUnfinishedJobs queries and checks the state of each unfinished job.
func (r *soakRun) checkUnfinishedJobs(ctx context.Context, c *caller) {
	for _, j := range r.checker.unfinishedJobs() {
		if ctx.Err() != nil {
			return
		}
		c.customer = j.Customer
		c.checkJobState(ctx, j.ID, j.Steps)
	}
}

// waitForCompletion waits until all accepted jobs are completed. It records a
// breach for each that is not completed within completionTimeout, and for each that stands
// still beside room after a shorter time.
func (r *soakRun) waitForCompletion(ctx context.Context, c *caller, calm time.Duration) {
	checkCtx, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	wg.Go(func() { r.checkStandstill(checkCtx, calm) })
	for began := time.Now(); time.Since(began) < completionTimeout; {
		r.checkUnfinishedJobs(ctx, c)
		if len(r.checker.unfinishedJobs()) == 0 || supervisor.Pause(ctx, stateInterval) != nil {
			return
		}
	}
	for _, j := range r.checker.unfinishedJobs() {
		r.checker.AddBreach("job %s was accepted and is not done %s after the last fault", j.ID, completionTimeout)
	}
}

// startedRuns returns the number of started runs of a job.
func (r *soakRun) startedRuns(j modeler.Job) int {
	n := 0
	for i, s := range j.Steps {
		for k := range s.Count {
			n += r.fleet.StartedRuns(modeler.TaskID{Job: j.ID, Step: i, Index: k})
		}
	}
	return n
}

// stopEntryNodes stops all entry nodes and returns the number of their unexpected
// exits.
func (r *soakRun) stopEntryNodes() int {
	var unexpectedExits faultCounter
	var wg sync.WaitGroup
	for _, e := range r.entries {
		wg.Go(func() { unexpectedExits.add(e.stop()) })
	}
	wg.Wait()
	r.entries = nil
	return unexpectedExits.add(0)
}

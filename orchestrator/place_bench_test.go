package orchestrator

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/coltsfootlever/coltsfootlever/elector"
	"github.com/coltsfootlever/coltsfootlever/modeler"
)

const (
	fleetPools     = 5 // the last one is the spare pool
	fleetCustomers = 20
	fleetRacks     = 30
)

// unlimitedStarts is a Throttle that holds no start back.
type unlimitedStarts struct{}

func (unlimitedStarts) Limit() int        { return 1 << 20 }
func (unlimitedStarts) IsCongested() bool { return false }

// fleet is an engine without calls to the platform, with its own time.
type fleet struct {
	*Engine
	rng      *rand.Rand
	now      time.Time
	manifest *modeler.Manifest
	jobCount int
	oldest   time.Duration // jobs are accepted up to this long ago
}

// newFleet returns a fleet without jobs. A tenth of the workers is in the spare pool.
func newFleet(seed uint64, workers int) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 1)), now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), manifest: &modeler.Manifest{Version: 1}}
	for i := range fleetPools {
		name := fmt.Sprintf("p%d", i)
		f.manifest.Pools = append(f.manifest.Pools, modeler.Pool{Name: name, Spare: i == fleetPools-1})
		if i < fleetPools-1 {
			f.manifest.Queues = append(f.manifest.Queues,
				modeler.Queue{Name: "q" + name, Pool: name, Priority: i % 2, MaxFailedRuns: 3, ObjectiveFactor: 1.6, ObjectiveOffset: 600 * time.Millisecond},
				modeler.Queue{Name: "lasting" + name, Pool: name, MaxFailedRuns: 3, ObjectiveFactor: 2.2})
		}
	}
	for i := range fleetCustomers {
		f.manifest.Customers = append(f.manifest.Customers, modeler.Customer{Name: fmt.Sprintf("c%d", i), Weight: float64(1 + i%5)})
	}
	f.manifest.Index()
	cfg := Config{
		RunLease: 6 * time.Second, MaxWorkerLease: 10 * time.Second, MoveTime: 1500 * time.Millisecond,
		Manifest: func() *modeler.Manifest { return f.manifest }, WallClock: func() time.Time { return f.now },
		RequestedWaves: func() []modeler.Wave { return nil },
	}
	f.Engine = New(cfg, nil, nil, nil, &elector.Term{Token: 1}, WithThrottle(unlimitedStarts{}))
	f.log = slog.New(slog.DiscardHandler)
	f.handover.predecessorStoredAll, f.planner.instancesListed = true, true
	for i := range workers {
		pool := i % (fleetPools - 1)
		if i%10 == 0 {
			pool = fleetPools - 1
		}
		f.addWorker(i, fmt.Sprintf("p%d", pool), fmt.Sprintf("rack-%d", i%fleetRacks))
	}
	f.indexWorkersByInstance()
	return f
}

// addWorker adds a worker that has reported, and its instance.
func (f *fleet) addWorker(n int, pool, rack string) *worker {
	capacity := modeler.Resources{CPU: 32_000 << (n % 2), Memory: 131_072 << (n % 2)}
	w := f.findOrAddWorker(fmt.Sprintf("w%03d", n))
	w.Worker = modeler.Worker{ID: w.ID, Instance: fmt.Sprintf("m%03d", n), Pool: pool, Capacity: capacity, Labels: []string{"kind", rack}, StartTimeMs: 1}
	f.assignPool(w)
	w.listed, w.reachable, w.polled, w.reported, w.registeredStartMs = true, true, true, true, 1
	f.planner.instances[w.Instance] = &instance{Instance: modeler.Instance{
		Name: w.Instance, Pool: pool, Worker: w.ID, State: modeler.InstanceUp, Capacity: capacity, Labels: w.Labels,
	}}
	return w
}

// submit adds a new job.
func (f *fleet) submit(queue string, steps ...modeler.Step) *job {
	f.jobCount++
	accepted := f.now
	if f.oldest > 0 {
		accepted = accepted.Add(-time.Duration(f.rng.Int64N(int64(f.oldest))))
	}
	customer := fmt.Sprintf("c%d", f.rng.IntN(fleetCustomers))
	j := newJob(modeler.Job{ID: fmt.Sprintf("%06d", f.jobCount), Queue: queue, Customer: customer, Accepted: accepted, Steps: steps}, f.customerState(customer))
	f.Engine.addJob(j)
	f.addToMeanJobWork(j)
	return j
}

// randomJob adds a job with one or two steps of about eight tasks.
func (f *fleet) randomJob() *job {
	var steps []modeler.Step
	for i := range 1 + f.rng.IntN(2) {
		cores := int64(3 + f.rng.IntN(11))
		s := modeler.Step{Count: 1 + f.rng.IntN(15), Need: modeler.Resources{CPU: 1000 * cores, Memory: 2000 * cores}, Estimate: time.Duration(500+f.rng.IntN(1600)) * time.Millisecond}
		if i > 0 {
			s.After = []int{0}
		}
		steps = append(steps, s)
	}
	return f.submit(fmt.Sprintf("qp%d", f.rng.IntN(fleetPools-1)), steps...)
}

// pass runs a placement pass and confirms the starts of the placed tasks. It
// returns how many there are.
func (f *fleet) pass() int {
	f.runPlacement(f.now)
	n := len(f.awaitingStart)
	for _, t := range f.awaitingStart {
		t.setPhase(running)
	}
	f.awaitingStart = f.awaitingStart[:0]
	return n
}

// fill adds jobs until the workers are full and so many jobs wait.
func (f *fleet) fill(waitingJobs int) {
	for {
		placed := f.pass()
		if placed == 0 && f.countWaitingJobs() >= waitingJobs {
			return
		}
		for range max(1, waitingJobs-f.countWaitingJobs()) {
			f.randomJob()
		}
	}
}

func (f *fleet) countWaitingJobs() int {
	n := 0
	for _, j := range f.jobs {
		if !j.hasBeenPlaced {
			n++
		}
	}
	return n
}

// endRun requeues the task of a random run, so that as many jobs wait as before.
func (f *fleet) endRun() {
	for {
		w := f.workersByID[fmt.Sprintf("w%03d", f.rng.IntN(len(f.workersByID)))]
		for _, t := range w.tasks {
			f.requeueTask(t)
			return
		}
	}
}

// BenchmarkPlacement measures placement passes: when nothing has changed, after the end
// of one run, after the end of twenty, and when jobs arrive in a fleet with room.
func BenchmarkPlacement(b *testing.B) {
	for _, workers := range []int{349, 540} {
		for _, waiting := range []int{0, 1000, 3000} {
			for _, ended := range []int{0, 1, 20} {
				b.Run(fmt.Sprintf("workers=%d/waiting=%d/ended=%d", workers, waiting, ended), func(b *testing.B) { benchPasses(b, workers, waiting, ended) })
			}
		}
	}
}

func benchPasses(b *testing.B, workers, waiting, ended int) {
	f := newFleet(1, workers)
	f.oldest = 20 * time.Second
	f.fill(waiting)
	f.oldest = 0
	change := f.endRun
	if waiting == 0 {
		change = func() { f.randomJob() }
	}
	b.ReportAllocs()
	placed := 0
	for b.Loop() {
		f.now = f.now.Add(10 * time.Millisecond)
		if waiting == 0 {
			f.removeJobs()
		}
		for range ended {
			change()
		}
		placed += f.pass()
	}
	b.ReportMetric(float64(placed)/float64(b.N), "placed/op")
}

// removeJobs ends all jobs, which leaves room for others.
func (f *fleet) removeJobs() {
	for _, j := range f.jobs {
		j.forEachTask((*task).markDone)
		f.removeJob(j)
	}
}

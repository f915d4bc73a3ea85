package orchestrator_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/emulator"
	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/orchestrator"
)

var (
	faultSeeds = flag.Int("fault-seeds", 20, "number of seeds of TestLongRunningTasksRunAfterRandomFaults")
	faultSeed  = flag.Uint64("fault-seed", 1, "first seed of TestLongRunningTasksRunAfterRandomFaults")
)

const (
	faultTime = 30 * time.Second
	calmTime  = 10 * time.Second // a long-running task with room runs again within this time after the last fault
)

// faultyDeployment is a deployment with random faults.
type faultyDeployment struct {
	*deployment
	rng         *rand.Rand
	entries     []*entryNode
	startedLast int       // number of the entry node that was started last
	faultsEnd   time.Time // all faults are over by then
	down        int       // instances that are down for good

	mu        sync.Mutex // for the fields below, which the emulators use concurrently
	delayRNG  *rand.Rand
	lateShare float64 // share of the starts and writes that are executed late, without a response
}

// endLater ends a fault after a random time.
func (d *faultyDeployment) endLater(end func()) {
	left := time.Until(d.faultsEnd)
	time.AfterFunc(min(left, time.Duration(d.rng.Int64N(int64(8*time.Second)))), end)
}

func (d *faultyDeployment) startAnotherEntry() {
	d.startedLast++
	d.entries = append(d.entries, d.startEntry(fmt.Sprintf("entry-%d", d.startedLast)))
}

// replaceEntry ends a random entry node and starts another.
func (d *faultyDeployment) replaceEntry(end func(e *entryNode)) {
	i := d.rng.IntN(len(d.entries))
	e := d.entries[i]
	d.entries = append(d.entries[:i:i], d.entries[i+1:]...)
	end(e)
	d.startAnotherEntry()
}

func (d *faultyDeployment) randomInstance() string {
	names := d.instances.Names()
	return names[d.rng.IntN(len(names))]
}

func (d *faultyDeployment) setLateShare(share float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lateShare = share
}

// randomDelay returns the delay of a start or write, mostly 0.
func (d *faultyDeployment) randomDelay() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.delayRNG.Float64() >= d.lateShare {
		return 0
	}
	return time.Millisecond + time.Duration(d.delayRNG.Int64N(int64(6*time.Second)))
}

// causeFault causes one random fault.
func (d *faultyDeployment) causeFault(n int) {
	entry := d.entries[d.rng.IntN(len(d.entries))]
	instance := d.randomInstance()
	worker := d.instances.WorkerOf(instance)
	switch d.rng.IntN(15) {
	case 0, 1:
		d.replaceEntry((*entryNode).crash)
	case 2:
		d.replaceEntry((*entryNode).stopGracefully)
	case 3:
		d.store.InjectFaults(func(f *emulator.MetaStoreFaults) { f.DisconnectedClients[entry.name] = true })
		d.endLater(func() {
			d.store.InjectFaults(func(f *emulator.MetaStoreFaults) { delete(f.DisconnectedClients, entry.name) })
		})
	case 4:
		entry.disconnected.Store(true)
		d.endLater(func() { entry.disconnected.Store(false) })
	case 5:
		d.store.InjectFaults(func(f *emulator.MetaStoreFaults) { f.Down = true })
		d.endLater(func() { d.store.InjectFaults(func(f *emulator.MetaStoreFaults) { f.Down = false }) })
	case 6, 7:
		d.taskFleet.SetUnresponsive(worker, true)
		d.endLater(func() { d.taskFleet.SetUnresponsive(worker, false) })
	case 8:
		d.instances.RestartWorker(instance)
	case 9:
		if d.down++; d.down <= 2 {
			d.instances.ShutDown(instance)
		}
	case 10:
		entry.unsentStops.Store(int64(d.rng.IntN(5)))
	case 11:
		entry.refusesStops.Store(true)
		d.endLater(func() { entry.refusesStops.Store(false) })
	case 12:
		d.setLateShare(d.rng.Float64() / 2)
		d.endLater(func() { d.setLateShare(0) })
	case 13:
		d.requestWaves(modeler.Wave{Number: int64(n), Instances: []string{instance}, Duration: 10 * time.Second, MaxConcurrent: 1})
	case 14:
		d.instances.RestartWorkerWithSameID(instance, fmt.Sprintf("127.0.0.1:%d", 2+n))
	}
}

// runFaultyDeployment returns how many tasks of each long-running job run after
// faultTime with random faults and calmTime without any.
func runFaultyDeployment(t *testing.T, seed uint64, jobs map[string]modeler.Job) map[string]int {
	d := &faultyDeployment{deployment: newDeployment(t, 6), rng: rand.New(rand.NewPCG(seed, 0)), delayRNG: rand.New(rand.NewPCG(seed, 1)), faultsEnd: time.Now().Add(faultTime)}
	for _, name := range []string{"x", "y", "z"} {
		d.instances.Add(modeler.Instance{Name: name, Pool: "spare", Zone: "z", Labels: []string{"k", "r2"}, Capacity: modeler.Resources{CPU: 4000, Memory: 8000}}, false)
	}
	d.taskFleet.RemovedListTime = 4500 * time.Millisecond
	d.taskFleet.RunOutcome = func(id modeler.TaskID, _ int) (time.Duration, modeler.EndKind) {
		if _, ok := jobs[id.Job]; ok {
			return -1, modeler.EndDone
		}
		return time.Second, modeler.EndDone
	}
	for range 3 {
		d.startAnotherEntry()
	}
	for _, j := range jobs {
		d.submit(j)
	}
	time.Sleep(2 * time.Second)
	d.taskFleet.SetStartDelay(func(modeler.TaskID, int) time.Duration { return d.randomDelay() })
	d.store.InjectFaults(func(f *emulator.MetaStoreFaults) {
		f.LoseCommitResponse = func(keeper.Txn) (bool, time.Duration) {
			delay := d.randomDelay()
			return delay > 0, delay
		}
	})
	for n := 0; time.Now().Before(d.faultsEnd); n++ {
		d.causeFault(n)
		j := shortJob(fmt.Sprintf("short-%d", n))
		j.Accepted = time.Now()
		d.store.PutAsOperator(keeper.Put{Key: orchestrator.JobKey(j.ID), Value: orchestrator.EncodeJobRecord(&j)}) // whatever the faults of the store
		time.Sleep(time.Duration(d.rng.Int64N(int64(2 * time.Second))))
	}
	d.replaceEntry((*entryNode).crash)
	d.instances.ShutDown(d.randomInstance())
	time.Sleep(calmTime)
	running := make(map[string]int, len(jobs))
	for id := range jobs {
		running[id] = d.taskFleet.RunCountOfJob(id)
	}
	for _, e := range d.entries {
		e.stopGracefully()
	}
	return running
}

func TestLongRunningTasksRunAfterRandomFaults(t *testing.T) {
	jobs := make(map[string]modeler.Job)
	want := make(map[string]int)
	for n := range 3 {
		j := longRunningJob(fmt.Sprintf("long-%d", n), 3)
		j.Steps[0].MaxPerWorker = n
		jobs[j.ID], want[j.ID] = j, 3
	}
	for n := range uint64(*faultSeeds) {
		seed := *faultSeed + n
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				require.Equal(t, want, runFaultyDeployment(t, seed, jobs))
			})
		})
	}
}

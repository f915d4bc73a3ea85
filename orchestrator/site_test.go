package orchestrator_test

import (
	"cmp"
	"context"
	"log/slog"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/elector"
	"github.com/coltsfootlever/coltsfootlever/emulator"
	"github.com/coltsfootlever/coltsfootlever/evacuator"
	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/orchestrator"
	"github.com/coltsfootlever/coltsfootlever/requester"
	"github.com/coltsfootlever/coltsfootlever/supervisor"
)

const (
	testLease       = 6 * time.Second
	unresponsiveKey = "fleet/silence"         // key of the orchestrator.UnresponsiveWorkers
	slowListLimit   = 2500 * time.Millisecond // of a page over a slow storeLink, as the store's client has it
)

// deployment is a small simulated deployment: a store, workers and the entry
// nodes that a test starts.
type deployment struct {
	t                       *testing.T
	store                   *emulator.MetaStore
	taskFleet               *emulator.TaskFleet
	instances               *emulator.InstanceService
	manifest                *modeler.Manifest
	waves                   atomic.Pointer[[]modeler.Wave]
	log                     *slog.Logger
	storeWritesPerSecond    float64               // see orchestrator.Config.StoreWritesPerSecond
	instanceOrdersPerSecond float64               // see orchestrator.Config.InstanceOrdersPerSecond
	maxJobBytes             int64                 // see orchestrator.Config.MaxJobBytes
	storeBytesPerSecond     int                   // of each entry node's link to the store, see storeLink; 0 if it is fast
	throttle                orchestrator.Throttle // nil for one that permits many calls
	relay                   *testRelay            // nil if workers are called directly
	wallClock               func() time.Time      // see orchestrator.Config.WallClock
	evacuationTime          time.Duration         // see orchestrator.Config.EvacuationTime; 0 if zones can't be evacuated
	evacuations             atomic.Pointer[[]modeler.Evacuation]
	began                   time.Time
	rejectedJob             string                  // ID of a job whose starts all workers reject as malformed
	losesStartsOf           string                  // ID of a job whose starts are carried out without a response
	outcomeQueryTime        time.Duration           // see orchestrator.Config.OutcomeQueryTime; 0 for 20 s
	steps                   sync.Map                // steps of the submitted jobs, by job ID
	advice                  *emulator.AdviceService // nil for one that permits everything at once
}

// requireAdvice gives the queue of short jobs an advice service, without whose tickets no
// worker starts anything.
func (d *deployment) requireAdvice(settings modeler.Advice) {
	d.manifest.Queues[0].Advice = &settings
	d.advice = emulator.NewAdviceService(settings)
	d.taskFleet.CheckTicket = d.advice.CheckTicket
}

// advisorFor returns an entry node's connection to the advice service.
func (d *deployment) advisorFor(entry string) orchestrator.Advisor {
	if d.advice == nil {
		return advisor{}
	}
	return d.advice.ClientFor(entry)
}

// needOf returns what a task of a submitted job needs on its worker.
func (d *deployment) needOf(id modeler.TaskID) modeler.Resources {
	steps, ok := d.steps.Load(id.Job)
	if !ok {
		return modeler.Resources{}
	}
	step := steps.([]modeler.Step)[id.Step]
	return step.ReservedResources()
}

// clock returns the time on the clock of all entry nodes.
func (d *deployment) clock() time.Duration {
	return time.Since(d.began)
}

// evacuate replaces the evacuations that the operator requests, and returns the
// acknowledgement: from now on the workers check what starts in these zones.
func (d *deployment) evacuate(zones ...string) {
	var requested []modeler.Evacuation
	for _, zone := range zones {
		requested = append(requested, modeler.Evacuation{Zone: zone, Revision: 1})
	}
	for _, zone := range []string{"z", "y", "x"} {
		if evacuated := slices.Contains(zones, zone); evacuated != d.isEvacuated(zone) {
			d.taskFleet.SetEvacuated(zone, evacuated)
		}
	}
	d.evacuations.Store(&requested)
}

func (d *deployment) isEvacuated(zone string) bool {
	requested := d.evacuations.Load()
	return requested != nil && slices.ContainsFunc(*requested, func(e modeler.Evacuation) bool { return e.Zone == zone })
}

// addInstanceInZone adds an instance of pool p in a zone.
func (d *deployment) addInstanceInZone(name, zone string) {
	d.instances.Add(modeler.Instance{
		Name: name, Pool: "p", Zone: zone, Labels: []string{"k", "r1"}, Capacity: modeler.Resources{CPU: 4000, Memory: 8000},
	}, true)
}

// readEvacuations returns what the entry node knows of the evacuations, which it reads
// anew unless it is cut off from the operator's records.
func (e *entryNode) readEvacuations() ([]modeler.Evacuation, time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.losesOperatorRecords.Load() {
		var listed []modeler.Evacuation
		if requested := e.deployment.evacuations.Load(); requested != nil {
			listed = *requested
		}
		now := e.deployment.clock()
		e.knownEvacuations, e.evacuationsAsOf = evacuator.Replace(e.knownEvacuations, listed, e.evacuationsAsOf, now), now
	}
	return e.knownEvacuations, e.evacuationsAsOf
}

// requestWaves replaces the maintenance waves that the operator requests.
func (d *deployment) requestWaves(waves ...modeler.Wave) {
	d.waves.Store(&waves)
}

func (d *deployment) requestedWaves() []modeler.Wave {
	if waves := d.waves.Load(); waves != nil {
		return *waves
	}
	return nil
}

// workerLink is an entry node's connection to the workers.
type workerLink struct {
	*emulator.TaskFleet
	entry *entryNode
}

// RenewAndPoll implements orchestrator.Workers.
func (l workerLink) RenewAndPoll(ctx context.Context, w modeler.Worker, leaseDeadline, token, acknowledgedEnd int64, maxWait time.Duration) (modeler.Report, error) {
	if _, unreachable := l.entry.unreachableWorkers.Load(w.ID); unreachable || l.entry.disconnected.Load() {
		time.Sleep(300 * time.Millisecond)
		return modeler.Report{}, context.DeadlineExceeded
	}
	l.entry.polls.Add(1)
	time.Sleep(time.Duration(l.entry.pollDelay.Load()))
	report, err := l.TaskFleet.RenewAndPoll(ctx, w, leaseDeadline, token, acknowledgedEnd, maxWait)
	if err == nil && leaseDeadline > 0 && l.entry.losesRenewals.Load() {
		return modeler.Report{}, &requester.Error{MaybeSent: true, Err: errors.New("connection reset")}
	}
	return report, err
}

// Start implements orchestrator.Workers.
func (l workerLink) Start(ctx context.Context, w modeler.Worker, o modeler.StartOrder) (int64, error) {
	time.Sleep(time.Duration(l.entry.startDelay.Load()))
	if l.entry.refusesStarts.Load() {
		return 0, modeler.ErrUnhealthy
	}
	if o.Task.Job == l.entry.deployment.rejectedJob {
		l.entry.rejectedStarts.Add(1)
		return 0, modeler.ErrRejected
	}
	if o.Ticket != "" && l.entry.refusedTickets.Add(-1) >= 0 {
		return 0, modeler.ErrInvalidTicket
	}
	clock, err := l.TaskFleet.Start(ctx, w, o)
	if err == nil && o.Task.Job == l.entry.deployment.losesStartsOf {
		time.Sleep(time.Millisecond) // a task that crashes its worker at once does so before the connection breaks
		return 0, &requester.Error{MaybeSent: true, Err: errors.New("connection reset")}
	}
	return clock, err
}

// Stop implements orchestrator.Workers.
func (l workerLink) Stop(ctx context.Context, w modeler.Worker, task modeler.TaskID, run int, token int64) error {
	if l.entry.refusesStops.Load() {
		return modeler.ErrUnhealthy
	}
	if l.entry.unsentStops.Add(-1) >= 0 {
		return &requester.Error{Err: errors.New("connection refused")}
	}
	return l.TaskFleet.Stop(ctx, w, task, run, token)
}

// directoryLink is an entry node's connection to the list of workers.
type directoryLink struct {
	*emulator.TaskFleet
	entry *entryNode
}

// Workers implements orchestrator.Directory.
func (l directoryLink) Workers(ctx context.Context) ([]modeler.Worker, error) {
	if l.entry.losesWorkerLists.Load() {
		return nil, keeper.ErrUnavailable
	}
	return l.TaskFleet.Workers(ctx)
}

// storeLink is an entry node's connection to the store. If it is slow, lists and
// renewals of leases wait for each other, and a list takes the time of its bytes.
type storeLink struct {
	*emulator.MetaStoreClient
	bytesPerSecond int // 0: fast
	busy           chan struct{}
}

// transfer waits until the link is free and then as long as the bytes take. It
// reports false if that takes longer than limit.
func (l storeLink) transfer(ctx context.Context, bytes int, limit time.Duration) bool {
	if l.bytesPerSecond == 0 {
		return true
	}
	l.busy <- struct{}{}
	defer func() { <-l.busy }()
	took := time.Duration(bytes) * time.Second / time.Duration(l.bytesPerSecond)
	return supervisor.Pause(ctx, min(took, limit)) == nil && took <= limit
}

// List implements orchestrator.Store.
func (l storeLink) List(ctx context.Context, prefix string) ([]keeper.Record, int64, error) {
	records, revision, err := l.MetaStoreClient.List(ctx, prefix)
	bytes := 0
	for _, r := range records {
		bytes += len(r.Key) + len(r.Value)
	}
	if err == nil && !l.transfer(ctx, bytes, slowListLimit) {
		return nil, 0, keeper.ErrUnavailable
	}
	return records, revision, err
}

// KeepAlive implements elector.Store.
func (l storeLink) KeepAlive(ctx context.Context, id keeper.LeaseID) error {
	l.transfer(ctx, 0, time.Second)
	return l.MetaStoreClient.KeepAlive(ctx, id)
}

// entryNode is a running entry node.
type entryNode struct {
	deployment         *deployment
	name               string
	cancel             context.CancelFunc
	done               chan struct{}
	disconnected       atomic.Bool                      // from the workers
	polls              atomic.Int64                     // number of polls of workers
	pollDelay          atomic.Int64                     // delay of each poll of a worker, in ns
	startDelay         atomic.Int64                     // time until a start reaches its worker, in ns
	unsentStops        atomic.Int64                     // number of stops that fail before they are sent
	refusesStops       atomic.Bool                      // workers refuse stops because they are unhealthy
	refusesStarts      atomic.Bool                      // workers refuse starts because they are unhealthy
	rejectedStarts     atomic.Int64                     // number of starts of the deployment's rejectedJob
	refusedTickets     atomic.Int64                     // number of starts that are refused because of their ticket
	panicsOnce         atomic.Bool                      // the leader panics in its event loop
	losesRenewals      atomic.Bool                      // polls that extend leases get no response
	losesWorkerLists   atomic.Bool                      // the list of workers can't be read
	manifest           atomic.Pointer[modeler.Manifest] // replaces the deployment's manifest; nil if it applies
	unreachableWorkers sync.Map                         // IDs of workers whose polls get no response

	losesOperatorRecords atomic.Bool // the operator's records can't be read
	mu                   sync.Mutex
	knownEvacuations     []modeler.Evacuation
	evacuationsAsOf      time.Duration // when they were read, negative if never
}

// newDeployment returns a deployment with workers on running instances a, b and
// so on, all in pool p.
func newDeployment(t *testing.T, workers int) *deployment {
	s := &deployment{t: t, store: emulator.NewMetaStore(), log: slog.New(slog.DiscardHandler), began: time.Now()}
	if os.Getenv("COLTSFOOTLEVER_TEST_LOG") != "" {
		s.log = slog.New(slog.NewJSONHandler(os.Stdout, nil))
	}
	s.taskFleet = emulator.NewTaskFleet(func(modeler.TaskID, int) (time.Duration, modeler.EndKind) {
		return time.Second, modeler.EndDone
	})
	s.taskFleet.Need, s.taskFleet.CapacityGrace, s.taskFleet.MaxLease = s.needOf, 4500*time.Millisecond, 10*time.Second // contact time and a beat
	s.instances = emulator.NewInstanceService(s.taskFleet, 1500*time.Millisecond, 2*time.Second)
	s.manifest = &modeler.Manifest{
		Version: 1,
		Queues: []modeler.Queue{
			{Name: "short", Pool: "p", MaxFailedRuns: 3, ObjectiveFactor: 1.6, ObjectiveOffset: 600 * time.Millisecond},
			{Name: "lasting", Pool: "p", MaxFailedRuns: 3, ObjectiveFactor: 2.2, Public: true},
		},
		Pools:     []modeler.Pool{{Name: "p"}, {Name: "spare", Spare: true}},
		Customers: []modeler.Customer{{Name: "c", Weight: 1}},
	}
	s.manifest.Index()
	for i := range workers {
		s.instances.Add(modeler.Instance{
			Name: string(rune('a' + i)), Pool: "p", Zone: "z", Labels: []string{"k", "r1"},
			Capacity: modeler.Resources{CPU: 4000, Memory: 8000},
		}, true)
	}
	return s
}

// startEntry starts an entry node.
func (d *deployment) startEntry(name string) *entryNode {
	client := storeLink{MetaStoreClient: d.store.ClientFor(name), bytesPerSecond: d.storeBytesPerSecond, busy: make(chan struct{}, 1)}
	e := &entryNode{deployment: d, name: name, done: make(chan struct{}), evacuationsAsOf: -1}
	cfg := orchestrator.Config{
		SlowLink: d.storeBytesPerSecond > 0, RunLease: testLease, MaxWorkerLease: 10 * time.Second, EarlyStart: 0, WorkerListInterval: 500 * time.Millisecond, MaxWorkerListAge: 2800 * time.Millisecond, OutcomeQueryTime: cmp.Or(d.outcomeQueryTime, 20*time.Second), MoveTime: 1500 * time.Millisecond,
		MaxJobBytes: d.maxJobBytes, StoreWritesPerSecond: d.storeWritesPerSecond, InstanceOrdersPerSecond: d.instanceOrdersPerSecond,
		Manifest: func() *modeler.Manifest {
			if e.panicsOnce.CompareAndSwap(true, false) {
				panic("unexpected error")
			}
			return cmp.Or(e.manifest.Load(), d.manifest)
		},
		RequestedWaves: d.requestedWaves, WallClock: d.wallClock,
		WaveStatus: func(n int64, completed bool) keeper.Put {
			value := "running"
			if completed {
				value = "completed"
			}
			return keeper.Put{Key: "status", Value: []byte(value)}
		},
	}
	if d.evacuationTime > 0 {
		cfg.EvacuationTime, cfg.Evacuations = d.evacuationTime, e.readEvacuations
		d.taskFleet.EvacuationTime = d.evacuationTime
	}
	opts := []orchestrator.Option{orchestrator.WithAdvisor(d.advisorFor(name)), orchestrator.WithInstances(d.instances.ClientFor(name))}
	if d.throttle != nil {
		opts = append(opts, orchestrator.WithThrottle(d.throttle))
	}
	lead := func(ctx context.Context, term *elector.Term) {
		var workers orchestrator.Workers = workerLink{d.taskFleet, e}
		var directory orchestrator.Directory = directoryLink{d.taskFleet, e}
		if d.relay != nil {
			workers, directory = d.relay.wayToWorkers(ctx, workers, directory, term, d.log)
		}
		orchestrator.New(cfg, client, workers, directory, term, append(opts, orchestrator.WithLog(d.log))...).Run(ctx)
	}
	ctx, cancel := context.WithCancel(d.t.Context())
	e.cancel = cancel
	d.t.Cleanup(e.stopGracefully) // also after a failed check, which else would leave goroutines in the bubble
	go func() {
		defer close(e.done)
		_ = elector.New(client, name, lead, d.log, elector.WithClock(d.clock)).Run(ctx)
	}()
	return e
}

// stopGracefully stops an entry node, which gives up its leadership.
func (e *entryNode) stopGracefully() {
	e.cancel()
	<-e.done
}

// crash stops an entry node and cuts it off from the store, so that it can't
// give up its leadership.
func (e *entryNode) crash() {
	e.deployment.store.InjectFaults(func(f *emulator.MetaStoreFaults) { f.DisconnectedClients[e.name] = true })
	e.stopGracefully()
}

// startEntryAfterOrphanedRun starts an entry node that finds a job of which the
// workers have been replaced and whose first task runs on another instance under
// the number of the stored run. It returns when the run has been told to stop.
func (d *deployment) startEntryAfterOrphanedRun(j modeler.Job) (e *entryNode, instance string) {
	first := d.startEntry("one")
	time.Sleep(time.Second)
	d.submit(j)
	time.Sleep(500 * time.Millisecond)
	first.crash()
	for _, name := range []string{"a", "b", "c"} {
		if d.taskFleet.RunCountOnWorker(d.instances.WorkerOf(name)) > 0 {
			d.instances.RestartWorker(name)
		} else {
			instance = name
		}
	}
	leader, err := d.store.ClientFor("x").Get(d.t.Context(), elector.Key)
	require.NoError(d.t, err)
	o := modeler.StartOrder{Task: taskID(j.ID, 0, 0), Run: 1, FencingToken: leader.Revision}
	o.DeadlineMs, err = d.taskFleet.Start(d.t.Context(), modeler.Worker{ID: d.instances.WorkerOf(instance)}, o) // refused, tells the worker's clock
	require.ErrorIs(d.t, err, modeler.ErrLeaseExpired)
	o.DeadlineMs += testLease.Milliseconds()
	_, err = d.taskFleet.Start(d.t.Context(), modeler.Worker{ID: d.instances.WorkerOf(instance)}, o)
	require.NoError(d.t, err)
	e = d.startEntry("two")
	for d.taskFleet.StoppingRunCount() == 0 {
		time.Sleep(10 * time.Millisecond)
	}
	return e, instance
}

// waitForLeader waits until the named entry node leads.
func (d *deployment) waitForLeader(name string) {
	for {
		r, err := d.store.ClientFor("observer").Get(d.t.Context(), elector.Key)
		require.NoError(d.t, err)
		if strings.HasPrefix(string(r.Value), name+"/") {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// cutOff sets whether a worker is cut off from the entry nodes and from the store,
// which no longer lists it then.
func (d *deployment) cutOff(worker string, cut bool) {
	d.taskFleet.CutOff(cut, worker)
}

// loseWritesOf makes the store drop all writes of the keys without a response.
func (d *deployment) loseWritesOf(keys ...string) {
	d.delayWritesOf(time.Hour, keys...)
}

// delayWritesOf makes the store carry out all writes of the keys after the
// delay, without a response.
func (d *deployment) delayWritesOf(delay time.Duration, keys ...string) {
	d.store.InjectFaults(func(f *emulator.MetaStoreFaults) {
		f.LoseCommitResponse = func(txn keeper.Txn) (bool, time.Duration) {
			return slices.ContainsFunc(txn.Put, func(p keeper.Put) bool { return slices.Contains(keys, p.Key) }), delay
		}
	})
}

// delayNextWriteOf makes the store carry out the next write of the key after the
// delay, without a response.
func (d *deployment) delayNextWriteOf(key string, delay time.Duration) {
	lost := false
	d.store.InjectFaults(func(f *emulator.MetaStoreFaults) {
		f.LoseCommitResponse = func(txn keeper.Txn) (bool, time.Duration) {
			if lost || !slices.ContainsFunc(txn.Put, func(p keeper.Put) bool { return p.Key == key }) {
				return false, 0
			}
			lost = true
			return true, delay
		}
	})
}

// silenceStore makes all calls to the store fail for a while. The leader's lease ends
// in that time if it is long enough.
func (d *deployment) silenceStore(duration time.Duration) {
	d.store.InjectFaults(func(f *emulator.MetaStoreFaults) { f.Down = duration > 0 })
	time.Sleep(duration)
	d.store.InjectFaults(func(f *emulator.MetaStoreFaults) { f.Down = false })
}

// loseNoWrites reverts loseWritesOf, delayWritesOf and delayNextWriteOf.
func (d *deployment) loseNoWrites() {
	d.store.InjectFaults(func(f *emulator.MetaStoreFaults) { f.LoseCommitResponse = nil })
}

// submit stores a job as an entry node does for a caller.
func (d *deployment) submit(j modeler.Job) {
	j.Accepted, j.QueueSettings = time.Now(), d.manifest.Queue(j.Queue).Settings()
	d.steps.Store(j.ID, j.Steps)
	_, _, err := d.store.ClientFor("caller").Commit(d.t.Context(), keeper.Txn{
		Expect: []keeper.Expectation{{Key: orchestrator.JobKey(j.ID)}},
		Put:    []keeper.Put{{Key: orchestrator.JobKey(j.ID), Value: orchestrator.EncodeJobRecord(&j)}},
	})
	require.NoError(d.t, err)
}

// jobState returns the state of a job as an entry node reports it to a caller.
func (d *deployment) jobState(id string) modeler.State {
	v, err := orchestrator.LoadJobView(d.t.Context(), d.store.ClientFor("caller"), id)
	require.NoError(d.t, err)
	require.True(d.t, v.Known)
	return v.State
}

// instancesWithTasks returns those of the named instances that run tasks.
func (d *deployment) instancesWithTasks(names ...string) []string {
	var busy []string
	for _, name := range names {
		if d.taskFleet.RunCountOnWorker(d.instances.WorkerOf(name)) > 0 {
			busy = append(busy, name)
		}
	}
	return busy
}

// runScenario runs a test in virtual time and checks that the workers saw no
// violation of the invariants.
func runScenario(t *testing.T, workers int, fn func(s *deployment)) {
	synctest.Test(t, func(t *testing.T) {
		s := newDeployment(t, workers)
		fn(s)
		require.Empty(t, s.taskFleet.Violations())
	})
}

func shortJob(id string, steps ...modeler.Step) modeler.Job {
	if len(steps) == 0 {
		steps = []modeler.Step{{Count: 4, Need: modeler.Resources{CPU: 1000, Memory: 100}, Estimate: time.Second}}
	}
	return modeler.Job{ID: id, Queue: "short", Customer: "c", Spec: "spec", Steps: steps}
}

func longRunningJob(id string, count int) modeler.Job {
	return modeler.Job{ID: id, Queue: "lasting", Spec: "spec", Steps: []modeler.Step{{
		Count: count, Need: modeler.Resources{CPU: 1000, Memory: 100}, LongRunning: true, MaxAbsent: 1,
	}}}
}

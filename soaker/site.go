package soaker

import (
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/emulator"
	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/platform"
)

// The emulated deployment. It is small, and its tasks are short in comparison with
// the durations of the faults.
const (
	workerCores        = 4
	workerMB           = 8000
	zoneCount          = 2               // instances alternate between them
	evacuationTime     = 5 * time.Second // no task starts in a zone later than this after its evacuation
	poolName           = "pool"
	spareName          = "spare"
	queueName          = "queue"
	queueHost          = "queue.soak"
	queuePrefix        = "/jobs/"
	advisedQueueName   = "advised" // a queue with an advice service
	advisedQueuePrefix = "/advised/"
	customerKeyPrefix  = "key-of-"
	maxFailedRuns      = 8                       // number of failed runs after which a job fails
	runsPerFailure     = 20                      // one run in this many fails; with 20, fewer than one in ten billion tasks fail eight times in a row
	minTaskTime        = 150 * time.Millisecond  // short, so that many tasks end during each fault
	maxExtraTaskTime   = 600 * time.Millisecond  // maximum time that is added to minTaskTime
	longTaskTime       = 15 * time.Second        // duration of some tasks; above the longest lease
	jobsPerLongJob     = 40                      // one job in this many of a caller has such a task
	maxLease           = 10 * time.Second        // longest lease that workers grant
	jobsPerAdvisedJob  = 6                       // one job in this many of a caller is of the queue with an advice service
	adviceSlowdown     = 20                      // factor by which the advice service is slower during an AdviceSlow fault
	restartsPerCut     = 80                      // a worker is cut off for this many times as long as it was back before
	startsPerLateStart = 3                       // one start in this many is late during a WorkerStartsLate fault
	lateDelay          = 2 * time.Second         // delay of late store writes
	maxLateStart       = 6 * time.Second         // longest delay of a late start; workers may have restarted by then
	moveTime           = 400 * time.Millisecond  // time that an instance takes to move to another pool
	crashDowntime      = time.Second             // time from the crash of a worker to the start of the next one
	jobsPerDeadlyJob   = 60                      // one job in this many of a caller has a task that crashes its workers
	crashTime          = 10 * time.Millisecond   // time from the start of such a task to the crash
	capacityGrace      = 4500 * time.Millisecond // from the platform's documentation: a shrunk capacity counts after the contact time and a heartbeat
	maintenanceTime    = 600 * time.Millisecond  // time that the maintenance of an instance takes
	waveDuration       = 20 * time.Second        // time in which a maintenance wave should be completed
	readHeaderTimeout  = 5 * time.Second         // time limit for reading the header of a request
)

var (
	adviceSettings = modeler.Advice{BaseDelay: 40 * time.Millisecond, DelayPerWorker: 2 * time.Millisecond, TicketValidity: 3 * time.Second}
	customers      = []string{"ana", "ben", "eva"}
	workerCapacity = modeler.Resources{CPU: workerCores * 1000, Memory: workerMB}
	shrunkCapacity = modeler.Resources{CPU: 1000, Memory: workerMB} // room for the largest task
)

// emulatedPlatform emulates the platform, with a proxy in front of each worker.
// Entry nodes reach the store through proxies of their own.
type emulatedPlatform struct {
	metaStore       *emulator.MetaStore
	fleet           *emulator.TaskFleet
	instanceService *emulator.InstanceService
	advice          *emulator.AdviceService
	instanceNames   []string // all instances; each runs a worker at the start
	workerProxies   []*Proxy // proxies in front of the workers, in the order of instanceNames
	servers         []*http.Server
	proxies         []*Proxy

	storeAddress, instancesAddress string // IP:PORT of the servers
	mu                             sync.Mutex
	manifestVersion                int64
	waves                          []modeler.Wave
	hidden                         map[string]bool      // instances that the instance list lacks, by name
	removed                        map[string]bool      // instances that are lost for good
	shownAt                        map[string]time.Time // when instances that had been hidden were listed again
	evacuationMu                   sync.Mutex           // keeps records and checks consistent if faults begin and end at once
}

// newEmulatedPlatform starts the servers and proxies of the emulated platform and
// writes the first manifest.
func newEmulatedPlatform(workers int) (*emulatedPlatform, error) {
	p := &emulatedPlatform{metaStore: emulator.NewMetaStore(), advice: emulator.NewAdviceService(adviceSettings), hidden: make(map[string]bool), removed: make(map[string]bool), shownAt: make(map[string]time.Time)}
	p.fleet = emulator.NewTaskFleet(runOutcome)
	p.instanceService = emulator.NewInstanceService(p.fleet, moveTime, maintenanceTime)
	p.instanceService.FilterList = func(name string) (bool, error) {
		p.mu.Lock()
		defer p.mu.Unlock()
		return !p.hidden[name], nil
	}
	p.fleet.CapacityGrace, p.fleet.EvacuationTime, p.fleet.MaxLease = capacityGrace, evacuationTime, maxLease
	p.fleet.LateStarts = true
	p.fleet.CrashAfter = func(id modeler.TaskID, _ int) (time.Duration, bool) { return crashTime, isDeadly(id) }
	// About half of the workers keep their ID when they start again.
	p.fleet.OnCrash = func(worker string) { p.instanceService.CrashWorker(worker, crashDowntime, len(worker)%2 == 0) }
	proxyByInstance := make(map[string]*Proxy)
	p.instanceService.WorkerAddress = func(name string) string { return proxyByInstance[name].Address() }
	for i := range workers {
		name := fmt.Sprintf("m%d", i)
		address, err := p.startServer(platform.NewWorkerHandler(p.fleet, func() modeler.Worker { return modeler.Worker{ID: p.instanceService.WorkerOf(name)} }))
		if err != nil {
			return nil, err
		}
		proxy, err := p.startProxy(address)
		if err != nil {
			return nil, err
		}
		proxyByInstance[name] = proxy
		p.instanceNames, p.workerProxies = append(p.instanceNames, name), append(p.workerProxies, proxy)
		p.instanceService.Add(modeler.Instance{
			Name: name, Pool: poolName, Zone: zoneName(i), Labels: []string{"kind", fmt.Sprintf("rack-%d", i/4)},
			Capacity: workerCapacity,
		}, true)
	}
	p.advice.Permits = p.permits
	p.fleet.CheckTicket = func(w modeler.Worker, o modeler.StartOrder) bool {
		return !isAdvised(o.Task.Job) || p.advice.CheckTicket(w, o)
	}
	var err error
	if p.storeAddress, err = p.startServer(platform.NewStoreHandler(p.metaStore.ClientFor("entries"), p.fleet)); err != nil {
		return nil, err
	}
	p.instancesAddress, err = p.startServer(platform.NewInstanceHandler(p.instanceService.ClientFor("entries")))
	if err != nil {
		return nil, err
	}
	return p, p.writeManifest()
}

// runOutcome returns how long a run takes and how it ends. The values are a hash
// of the task and the run number, so they are the same in each repetition.
func runOutcome(id modeler.TaskID, run int) (time.Duration, modeler.EndKind) {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, id.String(), run) // the Write method of a hash never returns an error
	n := h.Sum64()
	endKind := modeler.EndDone
	if n%runsPerFailure == 0 {
		endKind = modeler.EndFailed
	}
	if isLong(id) {
		return longTaskTime, endKind
	}
	return minTaskTime + time.Duration(n/runsPerFailure%uint64(maxExtraTaskTime)), endKind
}

// isLong reports whether a task takes longer than the longest lease.
func isLong(id modeler.TaskID) bool {
	number, err := strconv.ParseUint(id.Job, 16, 64)
	return err == nil && number%jobsPerLongJob == 1 && id.Step == 0 && id.Index == 0
}

// isDeadly reports whether a task crashes the workers that start it.
func isDeadly(id modeler.TaskID) bool {
	number, err := strconv.ParseUint(id.Job, 16, 64)
	return err == nil && number%jobsPerDeadlyJob == 0 && id.Step == 0 && id.Index == 0
}

// isAdvised reports whether a job is of the queue with an advice service.
func isAdvised(job string) bool {
	number, err := strconv.ParseUint(job, 16, 64)
	return err == nil && number%jobsPerAdvisedJob == 2
}

// queueOf returns the queue of a job and the path prefix of its calls.
func queueOf(job string) (name, prefix string) {
	if isAdvised(job) {
		return advisedQueueName, advisedQueuePrefix
	}
	return queueName, queuePrefix
}

// permits is the policy of the queue with an advice service: each step may run on all
// instances but one.
func (p *emulatedPlatform) permits(step, worker string) bool {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, step) // the Write method of a hash never returns an error
	return p.instanceService.WorkerOf(p.instanceNames[h.Sum64()%uint64(len(p.instanceNames))]) != worker
}

// startAdviceProxy starts a server of the advice service for one client, and a proxy in
// front of it.
func (p *emulatedPlatform) startAdviceProxy(client string) (*Proxy, error) {
	address, err := p.startServer(platform.NewAdviceHandler(func(*http.Request) platform.EmulatedAdvice { return p.advice.ClientFor(client) }))
	if err != nil {
		return nil, err
	}
	return p.startProxy(address)
}

// startServer starts an HTTP server on a free port and returns its address.
func (p *emulatedPlatform) startServer(h http.Handler) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", errors.Trace(err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	p.servers = append(p.servers, server)
	go func() { _ = server.Serve(l) }() // Serve returns when the server is closed
	return l.Addr().String(), nil
}

// startProxy starts a proxy that emulatedPlatform.close closes.
func (p *emulatedPlatform) startProxy(target string) (*Proxy, error) {
	proxy, err := NewProxy(target)
	if err == nil {
		p.proxies = append(p.proxies, proxy)
	}
	return proxy, err
}

// customerLimit returns the CPU limit of each customer in a version of the
// manifest, in thousandths of a core. It alternates between two values.
func (p *emulatedPlatform) customerLimit(version int64) int64 {
	milliCores := int64(len(p.instanceNames) * workerCores * 1000)
	return milliCores * (2 + version%2) / 5
}

// highestLimit returns the higher of the two limits.
func (p *emulatedPlatform) highestLimit() int64 {
	return max(p.customerLimit(0), p.customerLimit(1))
}

// writeManifest writes the next version of the manifest to the store.
func (p *emulatedPlatform) writeManifest() error {
	p.mu.Lock()
	p.manifestVersion++
	m := modeler.Manifest{
		Version: p.manifestVersion, MaxBody: 1 << 18,
		Queues: []modeler.Queue{newQueue(queueName, queuePrefix, nil), newQueue(advisedQueueName, advisedQueuePrefix, &adviceSettings)},
		Pools:  []modeler.Pool{{Name: poolName}, {Name: spareName, Spare: true}},
	}
	for i, name := range customers {
		m.Customers = append(m.Customers, modeler.Customer{
			Name: name, Keys: []string{customerKeyPrefix + name}, Weight: float64(i + 1), Limit: modeler.Resources{CPU: p.customerLimit(p.manifestVersion)},
		})
	}
	p.mu.Unlock()
	raw, err := platform.EncodeManifest(&m)
	if err != nil {
		return err
	}
	p.putAsOperator(platform.ManifestKey, raw)
	return nil
}

// newQueue returns a queue of the deployment.
func newQueue(name, prefix string, advice *modeler.Advice) modeler.Queue {
	return modeler.Queue{
		Name: name, Host: queueHost, Prefix: prefix, Pool: poolName, MaxFailedRuns: maxFailedRuns, ObjectiveFactor: 1.6, ObjectiveOffset: time.Second, Advice: advice,
	}
}

// orderMaintenance writes a maintenance wave for half of the instances, starting
// with number first.
func (p *emulatedPlatform) orderMaintenance(first int) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	wave := modeler.Wave{Number: int64(len(p.waves) + 1), Duration: waveDuration, MaxConcurrent: 2}
	for i := range (len(p.instanceNames) + 1) / 2 {
		wave.Instances = append(wave.Instances, p.instanceNames[(first+i)%len(p.instanceNames)])
	}
	key, raw, err := platform.EncodeWave(wave)
	if err != nil {
		return err
	}
	p.waves = append(p.waves, wave)
	p.putAsOperator(key, raw)
	return nil
}

// hide makes the instance list lack an instance. It does nothing and returns false if the
// instance is hidden, or has been so until a moment ago: the platform's list shows a
// change within maxUnlisted, so two faults must not look like one.
func (p *emulatedPlatform) hide(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.hidden[name] || time.Since(p.shownAt[name]) < maxUnlisted {
		return false
	}
	p.hidden[name] = true
	return true
}

// show makes the instance list contain a hidden instance again.
func (p *emulatedPlatform) show(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.hidden, name)
	p.shownAt[name] = time.Now()
}

// removeInstances ends the workers of count instances for good, from number first on. Three
// quarters of all instances stay.
func (p *emulatedPlatform) removeInstances(first, count int) {
	for i := range p.instanceNames {
		n := (first + i) % len(p.instanceNames)
		p.mu.Lock()
		name := p.instanceNames[n]
		ok := count > 0 && !p.removed[name] && (len(p.removed)+1)*4 <= len(p.instanceNames)
		if ok {
			p.removed[name] = true
			count--
		}
		p.mu.Unlock()
		if ok {
			p.instanceService.Remove(name)
			p.workerProxies[n].SetMode(BlockAll)
		}
	}
}

// isRemoved reports whether an instance is lost for good.
func (p *emulatedPlatform) isRemoved(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.removed[name]
}

// requestedWaves returns the waves that have been ordered.
func (p *emulatedPlatform) requestedWaves() []modeler.Wave {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.waves)
}

// restartUnderItsID ends the worker of an instance with its connections, and starts
// another process of it after waitDuration.
func (p *emulatedPlatform) restartUnderItsID(instance int, waitDuration func()) {
	name, proxy := p.instanceNames[instance], p.workerProxies[instance]
	worker := p.instanceService.WorkerOf(name)
	if worker == "" {
		return
	}
	restarted := make(chan struct{})
	go func() { waitDuration(); close(restarted) }()
	p.fleet.Remove(worker)
	proxy.ResetConnections()
	<-restarted
	if p.instanceService.WorkerOf(name) != worker {
		return // the instance has another worker since
	}
	p.instanceService.RestartWorkerWithSameID(name, proxy.Address())
}

// restartAndCutOff restarts the workers of a zone under their IDs and cuts them off soon
// after, for the duration of a fault. Calls that are on their way to the former processes
// arrive at the next ones, as through a proxy that keeps its connections.
func (p *emulatedPlatform) restartAndCutOff(zone string, duration time.Duration, pause func(d time.Duration)) {
	var workers []string
	for i, name := range p.instanceNames {
		if worker := p.instanceService.WorkerOf(name); worker != "" && zoneName(i) == zone {
			workers = append(workers, worker)
			p.instanceService.RestartWorkerWithSameID(name, p.workerProxies[i].Address())
		}
	}
	pause(duration / restartsPerCut)
	p.fleet.CutOff(true, workers...)
	pause(duration)
	p.fleet.CutOff(false, workers...)
}

// zoneName returns the name of the zone of an instance.
func zoneName(instance int) string {
	return fmt.Sprintf("zone-%d", instance%zoneCount)
}

// setEvacuated evacuates or restores a zone. Workers in an evacuated zone check from the
// acknowledgement on how late tasks start there.
func (p *emulatedPlatform) setEvacuated(zone string, evacuated bool) {
	p.evacuationMu.Lock()
	defer p.evacuationMu.Unlock()
	if !evacuated {
		p.fleet.SetEvacuated(zone, false)
		p.metaStore.DeleteAsOperator(platform.EvacuationKey(zone))
		return
	}
	p.putAsOperator(platform.EvacuationKey(zone), []byte("{}"))
	p.fleet.SetEvacuated(zone, true)
}

// putAsOperator writes a key in the name of the platform's operator. Store faults
// do not affect it.
func (p *emulatedPlatform) putAsOperator(key string, value []byte) {
	p.metaStore.PutAsOperator(keeper.Put{Key: key, Value: value})
}

// close stops all servers and proxies.
func (p *emulatedPlatform) close() {
	for _, proxy := range p.proxies {
		_ = proxy.Close() // the proxy is closed also if this returns an error
	}
	for _, server := range p.servers {
		_ = server.Close() // the server is closed also if this returns an error
	}
}

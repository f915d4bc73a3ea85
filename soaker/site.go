package soaker

import (
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/emulator"
	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/platform"
)

// The emulated deployment. It is small and its tasks are short in comparison with
// the faults.
const (
	workerCores        = 4
	workerMB           = 8000
	poolName           = "pool"
	spareName          = "spare"
	queueName          = "queue"
	queueHost          = "queue.soak"
	queuePrefix        = "/jobs/"
	customerKey        = "key-of-"
	maxFailedRuns      = 8                      // number of failed runs after which a job fails
	runsPerFailure     = 20                     // one run in this many fails; with 20, fewer than one in ten billion tasks fail eight times in a row
	minTaskTime        = 150 * time.Millisecond // short, so that many tasks end during each fault
	maxExtraTaskTime   = 600 * time.Millisecond // maximum time that is added to minTaskTime
	startsPerLateStart = 3                      // one start in this many is late during a WorkerStartsLate fault
	lateDelay          = 2 * time.Second        // delay of late starts and late store writes
	moveTime           = 400 * time.Millisecond // time that an instance takes to move to another pool
	maintenanceTime    = 600 * time.Millisecond // time that the maintenance of an instance takes
	waveDuration       = 20 * time.Second       // time in which a maintenance wave should be done
	readHeaderTimeout  = 5 * time.Second        // limit for reading the header of a request
)

var customers = []string{"ana", "ben", "eva"}

// emulatedPlatform emulates the platform, with a proxy in front of each worker.
// Entry nodes reach the store through proxies of their own.
type emulatedPlatform struct {
	metaStore       *emulator.MetaStore
	fleet           *emulator.TaskFleet
	instanceService *emulator.InstanceService
	instanceNames   []string // instances that have workers at the start
	workerProxies   []*Proxy // proxies in front of the workers, in the order of instanceNames
	servers         []*http.Server
	proxies         []*Proxy

	storeAddress, instancesAddress string // IP:PORT of the servers
	mu                             sync.Mutex
	manifestVersion                int64
	waveCount                      int64
}

// newEmulatedPlatform starts the servers and proxies of the emulated platform and
// writes the first manifest.
func newEmulatedPlatform(workers int) (*emulatedPlatform, error) {
	s := &emulatedPlatform{metaStore: emulator.NewMetaStore()}
	s.fleet = emulator.NewTaskFleet(runOutcome)
	s.instanceService = emulator.NewInstanceService(s.fleet, moveTime, maintenanceTime)
	links := make(map[string]*Proxy)
	s.instanceService.WorkerAddress = func(name string) string { return links[name].Address() }
	for i := range workers {
		name := fmt.Sprintf("m%d", i)
		address, err := s.startServer(platform.NewWorkerHandler(s.fleet, func() modeler.Worker { return modeler.Worker{ID: s.instanceService.WorkerOf(name)} }))
		if err != nil {
			return nil, err
		}
		link, err := s.startProxy(address)
		if err != nil {
			return nil, err
		}
		links[name] = link
		s.instanceNames, s.workerProxies = append(s.instanceNames, name), append(s.workerProxies, link)
		s.instanceService.Add(modeler.Instance{
			Name: name, Pool: poolName, Zone: "zone", Labels: []string{"kind", fmt.Sprintf("rack-%d", i/4)},
			Capacity: modeler.Resources{CPU: workerCores * 1000, Memory: workerMB},
		}, true)
	}
	var err error
	if s.storeAddress, err = s.startServer(platform.NewStoreHandler(s.metaStore.ClientFor("entries"), s.fleet)); err != nil {
		return nil, err
	}
	s.instancesAddress, err = s.startServer(platform.NewInstanceHandler(s.instanceService.ClientFor("entries")))
	if err != nil {
		return nil, err
	}
	return s, s.writeManifest()
}

// runOutcome returns how long a run takes and how it ends. The values are a hash
// of the task and the run number, so they are the same in each repetition.
func runOutcome(id modeler.TaskID, run int) (time.Duration, modeler.EndKind) {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, id.String(), run) // the Write method of a hash never returns an error
	n := h.Sum64()
	how := modeler.EndDone
	if n%runsPerFailure == 0 {
		how = modeler.EndFailed
	}
	return minTaskTime + time.Duration(n/runsPerFailure%uint64(maxExtraTaskTime)), how
}

// startServer starts an HTTP server on a free port and returns its address.
func (s *emulatedPlatform) startServer(h http.Handler) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", errors.Trace(err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(l) }() // Serve returns when the server is closed
	return l.Addr().String(), nil
}

// startProxy starts a proxy that is closed with the platform.
func (s *emulatedPlatform) startProxy(target string) (*Proxy, error) {
	p, err := NewProxy(target)
	if err == nil {
		s.proxies = append(s.proxies, p)
	}
	return p, err
}

// customerLimit returns the CPU limit of each customer in a version of the
// manifest, in thousandths of a core. It alternates between two values.
func (s *emulatedPlatform) customerLimit(version int64) int64 {
	cores := int64(len(s.instanceNames) * workerCores * 1000)
	return cores * (2 + version%2) / 5
}

// highestLimit returns the higher of the two limits.
func (s *emulatedPlatform) highestLimit() int64 {
	return max(s.customerLimit(0), s.customerLimit(1))
}

// writeManifest writes the next version of the manifest to the store.
func (s *emulatedPlatform) writeManifest() error {
	s.mu.Lock()
	s.manifestVersion++
	m := modeler.Manifest{
		Version: s.manifestVersion, MaxBody: 1 << 18,
		Queues: []modeler.Queue{{
			Name: queueName, Host: queueHost, Prefix: queuePrefix, Pool: poolName, MaxFailedRuns: maxFailedRuns, ObjectiveFactor: 1.6, ObjectiveOffset: time.Second,
		}},
		Pools: []modeler.Pool{{Name: poolName}, {Name: spareName, Spare: true}},
	}
	for i, name := range customers {
		m.Customers = append(m.Customers, modeler.Customer{
			Name: name, Keys: []string{customerKey + name}, Weight: float64(i + 1), Limit: modeler.Resources{CPU: s.customerLimit(s.manifestVersion)},
		})
	}
	s.mu.Unlock()
	raw, err := platform.EncodeManifest(&m)
	if err != nil {
		return err
	}
	s.putAsOperator(platform.ManifestKey, raw)
	return nil
}

// orderMaintenance writes a maintenance wave for half of the instances, starting
// with number first.
func (s *emulatedPlatform) orderMaintenance(first int) error {
	s.mu.Lock()
	s.waveCount++
	v := modeler.Wave{Number: s.waveCount, Duration: waveDuration, MaxConcurrent: 2}
	s.mu.Unlock()
	for i := range (len(s.instanceNames) + 1) / 2 {
		v.Instances = append(v.Instances, s.instanceNames[(first+i)%len(s.instanceNames)])
	}
	key, raw, err := platform.EncodeWave(v)
	if err != nil {
		return err
	}
	s.putAsOperator(key, raw)
	return nil
}

// putAsOperator writes a key in the name of the platform's operator. Store faults
// do not affect it.
func (s *emulatedPlatform) putAsOperator(key string, value []byte) {
	s.metaStore.PutAsOperator(keeper.Put{Key: key, Value: value})
}

// close stops all servers and proxies.
func (s *emulatedPlatform) close() {
	for _, p := range s.proxies {
		_ = p.Close() // the proxy is closed also if this returns an error
	}
	for _, server := range s.servers {
		_ = server.Close() // the server is closed also if this returns an error
	}
}

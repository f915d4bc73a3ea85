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

// The deployment that is played: small, with tasks that are short beside the
// faults.
const (
	workerCores        = 4
	workerMB           = 8000
	poolName           = "pool"
	spareName          = "spare"
	queueName          = "queue"
	queueHost          = "queue.soak"
	queuePrefix        = "/jobs/"
	customerKey        = "key-of-"
	maxFailedRuns      = 8                      // failed runs of a task until its job fails
	runsPerFailure     = 20                     // one run in so many fails; eight in a row are rarer than once in ten billion tasks
	minTaskTime        = 150 * time.Millisecond // so that many end within each fault
	maxExtraTaskTime   = 600 * time.Millisecond // longer at most
	startsPerLateStart = 3                      // one start in so many is late while workers are late
	lateDelay          = 2 * time.Second        // so late it is carried out
	moveTime           = 400 * time.Millisecond // of an instance
	maintenanceTime    = 600 * time.Millisecond // of an instance
	waveDuration       = 20 * time.Second       // for a wave
	readHeaderTimeout  = 5 * time.Second        // to read the head of a call
)

var customers = []string{"ana", "ben", "eva"}

// emulatedPlatform is the stand-ins of the platform with a proxy before each.
type emulatedPlatform struct {
	metaStore       *emulator.MetaStore
	fleet           *emulator.TaskFleet
	instanceService *emulator.InstanceService
	instanceNames   []string // of the instances that have workers at the start
	workerProxies   []*Proxy // to the workers, by instance
	servers         []*http.Server
	proxies         []*Proxy

	storeAddress, instancesAddress string // addresses
	mu                             sync.Mutex
	manifestVersion                int64
	waveCount                      int64
}

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

// runOutcome draws how long a run takes and how it ends, the same for each run of the
// same number.
func runOutcome(id modeler.TaskID, run int) (time.Duration, modeler.EndKind) {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, id.String(), run) // a hash's Write returns no error
	n := h.Sum64()
	how := modeler.EndDone
	if n%runsPerFailure == 0 {
		how = modeler.EndFailed
	}
	return minTaskTime + time.Duration(n/runsPerFailure%uint64(maxExtraTaskTime)), how
}

func (s *emulatedPlatform) startServer(h http.Handler) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", errors.Trace(err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(l) }() // returns when the server is closed
	return l.Addr().String(), nil
}

func (s *emulatedPlatform) startProxy(target string) (*Proxy, error) {
	p, err := NewProxy(target)
	if err == nil {
		s.proxies = append(s.proxies, p)
	}
	return p, err
}

// customerLimit is what a customer may have running at a version of the manifest.
func (s *emulatedPlatform) customerLimit(version int64) int64 {
	cores := int64(len(s.instanceNames) * workerCores * 1000)
	return cores * (2 + version%2) / 5
}

// highestLimit is the most that any version allows.
func (s *emulatedPlatform) highestLimit() int64 {
	return max(s.customerLimit(0), s.customerLimit(1))
}

// writeManifest puts the next version in force.
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

// orderMaintenance asks for the upkeep of some instances.
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

// putAsOperator writes a key as the operator, whom the store always serves.
func (s *emulatedPlatform) putAsOperator(key string, value []byte) {
	s.metaStore.PutAsOperator(keeper.Put{Key: key, Value: value})
}

// close ends all servers and proxies.
func (s *emulatedPlatform) close() {
	for _, p := range s.proxies {
		_ = p.Close() // it is closed in any case
	}
	for _, server := range s.servers {
		_ = server.Close() // it is closed in any case
	}
}

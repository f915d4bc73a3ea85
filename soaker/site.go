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
	workerCores   = 4
	workerMB      = 8000
	poolName      = "pool"
	spareName     = "spare"
	queueName     = "queue"
	queueHost     = "queue.soak"
	queuePrefix   = "/jobs/"
	customerKey   = "key-of-"
	attempts      = 8                      // failed runs of a task until its job fails
	failShare     = 20                     // one run in so many fails; eight in a row are rarer than once in ten billion tasks
	shortestTask  = 150 * time.Millisecond // so that many end within each fault
	taskSpread    = 600 * time.Millisecond // longer at most
	lateShare     = 3                      // one start in so many is late while workers are late
	lateTime      = 2 * time.Second        // so late it is carried out
	moveTime      = 400 * time.Millisecond // of an instance
	upkeepTime    = 600 * time.Millisecond // of an instance
	waveTime      = 20 * time.Second       // for a wave
	serverTimeout = 5 * time.Second        // to read the head of a call
)

var customers = []string{"ana", "ben", "eva"}

// site is the stand-ins of the platform with a proxy before each.
type site struct {
	meta    *emulator.MetaStore
	fleet   *emulator.TaskFleet
	yard    *emulator.InstanceService
	names   []string // of the instances that have workers at the start
	links   []*Proxy // to the workers, by instance
	servers []*http.Server
	proxies []*Proxy

	store, instances string // addresses
	mu               sync.Mutex
	version          int64
	waves            int64
}

func newSite(workers int) (*site, error) {
	s := &site{meta: emulator.NewMetaStore()}
	s.fleet = emulator.NewTaskFleet(runOf)
	s.yard = emulator.NewInstanceService(s.fleet, moveTime, upkeepTime)
	links := make(map[string]*Proxy)
	s.yard.WorkerAddress = func(name string) string { return links[name].Address() }
	for i := range workers {
		name := fmt.Sprintf("m%d", i)
		address, err := s.serve(platform.NewWorkerHandler(s.fleet, func() modeler.Worker { return modeler.Worker{ID: s.yard.WorkerOf(name)} }))
		if err != nil {
			return nil, err
		}
		link, err := s.proxy(address)
		if err != nil {
			return nil, err
		}
		links[name] = link
		s.names, s.links = append(s.names, name), append(s.links, link)
		s.yard.Add(modeler.Instance{
			Name: name, Pool: poolName, Zone: "zone", Labels: []string{"kind", fmt.Sprintf("rack-%d", i/4)},
			Capacity: modeler.Resources{CPU: workerCores * 1000, Memory: workerMB},
		}, true)
	}
	var err error
	if s.store, err = s.serve(platform.NewStoreHandler(s.meta.ClientFor("entries"), s.fleet)); err != nil {
		return nil, err
	}
	s.instances, err = s.serve(platform.NewInstanceHandler(s.yard.ClientFor("entries")))
	if err != nil {
		return nil, err
	}
	return s, s.writeManifest()
}

// runOf draws how long a run takes and how it ends, the same for each run of the
// same number.
func runOf(id modeler.TaskID, run int) (time.Duration, modeler.EndKind) {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, id.String(), run) // a hash's Write returns no error
	n := h.Sum64()
	how := modeler.EndDone
	if n%failShare == 0 {
		how = modeler.EndFailed
	}
	return shortestTask + time.Duration(n/failShare%uint64(taskSpread)), how
}

func (s *site) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", errors.Trace(err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: serverTimeout}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(l) }() // returns when the server is closed
	return l.Addr().String(), nil
}

func (s *site) proxy(target string) (*Proxy, error) {
	p, err := NewProxy(target)
	if err == nil {
		s.proxies = append(s.proxies, p)
	}
	return p, err
}

// limit is what a customer may have running at a version of the manifest.
func (s *site) limit(version int64) int64 {
	cores := int64(len(s.names) * workerCores * 1000)
	return cores * (2 + version%2) / 5
}

// highestLimit is the most that any version allows.
func (s *site) highestLimit() int64 {
	return max(s.limit(0), s.limit(1))
}

// writeManifest puts the next version in force.
func (s *site) writeManifest() error {
	s.mu.Lock()
	s.version++
	m := modeler.Manifest{
		Version: s.version, MaxBody: 1 << 18,
		Queues: []modeler.Queue{{
			Name: queueName, Host: queueHost, Prefix: queuePrefix, Pool: poolName, MaxFailedRuns: attempts, ObjectiveFactor: 1.6, ObjectiveOffset: time.Second,
		}},
		Pools: []modeler.Pool{{Name: poolName}, {Name: spareName, Spare: true}},
	}
	for i, name := range customers {
		m.Customers = append(m.Customers, modeler.Customer{
			Name: name, Keys: []string{customerKey + name}, Weight: float64(i + 1), Limit: modeler.Resources{CPU: s.limit(s.version)},
		})
	}
	s.mu.Unlock()
	raw, err := platform.EncodeManifest(&m)
	if err != nil {
		return err
	}
	s.operate(platform.ManifestKey, raw)
	return nil
}

// askWave asks for the upkeep of some instances.
func (s *site) askWave(first int) error {
	s.mu.Lock()
	s.waves++
	v := modeler.Wave{Number: s.waves, Duration: waveTime, MaxConcurrent: 2}
	s.mu.Unlock()
	for i := range (len(s.names) + 1) / 2 {
		v.Instances = append(v.Instances, s.names[(first+i)%len(s.names)])
	}
	key, raw, err := platform.EncodeWave(v)
	if err != nil {
		return err
	}
	s.operate(key, raw)
	return nil
}

// operate writes a key as the operator, whom the store always serves.
func (s *site) operate(key string, value []byte) {
	s.meta.PutAsOperator(keeper.Put{Key: key, Value: value})
}

// close ends all servers and proxies.
func (s *site) close() {
	for _, p := range s.proxies {
		_ = p.Close() // it is closed in any case
	}
	for _, server := range s.servers {
		_ = server.Close() // it is closed in any case
	}
}

package emulator

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/coltsfootlever/coltsfootlever/modeler"
)

type (
	// InstanceService emulates the service that moves and maintains instances, for
	// package platform. It starts a new worker in a TaskFleet each time an instance
	// outside the spare pool comes up.
	InstanceService struct {
		mu                sync.Mutex
		fleet             *TaskFleet
		moveTime          time.Duration
		maintenanceTime   time.Duration
		instances         map[string]*managedInstance
		startedWorkers    int
		maintenanceCounts map[string]int                              // number of maintenances by instance
		orderCounts       map[string]int                              // number of orders by entry node
		listedWorkers     map[string]string                           // worker that the list shows instead of the actual one, by instance
		WorkerAddress     func(instance string) string                // address at which the workers of an instance are called; nil if no network is used
		OrderDelay        func(holder, instance string) time.Duration // delays the order, whose response is then lost; 0 for a normal order
		FilterList        func(name string) (bool, error)             // reports whether a list shows an instance; an error makes the list fail; nil shows all
	}

	managedInstance struct {
		modeler.Instance
		runsWorker   bool // whether a worker runs on the instance while it is up; false in the spare pool
		token        int64
		startedWaves map[int64]bool // maintenance waves that the instance has taken part in, by number
	}

	// InstanceServiceClient is the client of one leader candidate for an
	// InstanceService.
	InstanceServiceClient struct {
		*InstanceService
		holder string
	}
)

// NewInstanceService returns a service without instances. A move takes moveTime
// and a maintenance takes maintenanceTime.
func NewInstanceService(fleet *TaskFleet, moveTime, maintenanceTime time.Duration) *InstanceService {
	return &InstanceService{fleet: fleet, moveTime: moveTime, maintenanceTime: maintenanceTime, instances: make(map[string]*managedInstance), maintenanceCounts: make(map[string]int), orderCounts: make(map[string]int), listedWorkers: make(map[string]string)}
}

// ClientFor returns the client of an entry node that can become the leader.
func (s *InstanceService) ClientFor(holder string) *InstanceServiceClient {
	return &InstanceServiceClient{s, holder}
}

// Add adds an instance that is up. runsWorker says whether a worker runs on it; it
// is false for an instance of the spare pool.
func (s *InstanceService) Add(i modeler.Instance, runsWorker bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i.State = modeler.InstanceUp
	v := &managedInstance{Instance: i, runsWorker: runsWorker, startedWaves: make(map[int64]bool)}
	s.instances[i.Name] = v
	s.startWorker(v)
}

// MaintenanceCount returns the number of maintenances of an instance.
func (s *InstanceService) MaintenanceCount(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.maintenanceCounts[name]
}

// PoolOf returns the pool of an instance.
func (s *InstanceService) PoolOf(name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.instances[name].Pool
}

// HasBegunMaintenance reports whether the maintenance of an instance in a wave has begun.
func (s *InstanceService) HasBegunMaintenance(name string, wave int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := s.instances[name]
	return i != nil && i.startedWaves[wave]
}

// InMaintenanceCount returns the number of instances that are in maintenance.
func (s *InstanceService) InMaintenanceCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, i := range s.instances {
		if i.State == modeler.InstanceInMaintenance {
			n++
		}
	}
	return n
}

// OrderCount returns the number of move and maintenance orders that an entry node has sent.
func (s *InstanceService) OrderCount(holder string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.orderCounts[holder]
}

// SetListedWorker makes the list show the given worker for an instance instead of
// the actual one, as an outdated list does.
func (s *InstanceService) SetListedWorker(name, worker string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listedWorkers[name] = worker
}

// Names returns the names of the instances, sorted.
func (s *InstanceService) Names() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.instances))
}

// WorkerOf returns the ID of the worker of an instance, or "" if there is none.
func (s *InstanceService) WorkerOf(name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := s.instances[name]; i != nil {
		return i.Worker
	}
	return ""
}

// RestartWorker ends the worker of an instance and starts a new one. It has no
// effect on an instance that is moving or in maintenance.
func (s *InstanceService) RestartWorker(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := s.instances[name]
	if i == nil || i.State != modeler.InstanceUp {
		return
	}
	s.fleet.Remove(i.Worker)
	s.startWorker(i)
}

// RestartWorkerWithSameID ends the worker of an instance and starts one with the
// same ID at another address. It has no effect on an instance that is not up.
func (s *InstanceService) RestartWorkerWithSameID(name, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := s.instances[name]
	if i == nil || i.State != modeler.InstanceUp || i.Worker == "" {
		return
	}
	s.fleet.Remove(i.Worker)
	s.fleet.Add(modeler.Worker{
		ID: i.Worker, Pool: i.Pool, Address: address, Zone: i.Zone, Instance: i.Name, Capacity: i.Capacity, Labels: i.Labels,
	})
}

// ShutDown ends the worker of an instance, which stays down.
func (s *InstanceService) ShutDown(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := s.instances[name]
	s.fleet.Remove(i.Worker)
	i.State, i.Worker = modeler.InstanceDown, ""
}

// Remove ends the worker of an instance and removes the instance.
func (s *InstanceService) Remove(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := s.instances[name]; i != nil {
		s.fleet.Remove(i.Worker)
		delete(s.instances, name)
	}
}

// CrashWorker ends a worker and starts another one on its instance after downtime.
// The new one has the same ID if keepID is set. Meanwhile the instance is down.
func (s *InstanceService) CrashWorker(id string, downtime time.Duration, keepID bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range s.instances {
		if i.Worker != id || i.State != modeler.InstanceUp {
			continue
		}
		s.fleet.Remove(id)
		i.State, i.Worker = modeler.InstanceDown, ""
		time.AfterFunc(downtime, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			i.State = modeler.InstanceUp
			if keepID {
				s.addWorker(i, id)
			} else {
				s.startWorker(i)
			}
		})
	}
}

// startWorker starts a worker on an instance unless the instance runs none.
func (s *InstanceService) startWorker(i *managedInstance) {
	if !i.runsWorker {
		return
	}
	s.startedWorkers++
	s.addWorker(i, fmt.Sprintf("w-%s-%d", i.Name, s.startedWorkers))
}

// addWorker starts a worker with the given ID on an instance, unless the instance has been
// removed meanwhile.
func (s *InstanceService) addWorker(i *managedInstance, id string) {
	if s.instances[i.Name] != i {
		return
	}
	i.Worker = id
	address := "127.0.0.1:1"
	if s.WorkerAddress != nil {
		address = s.WorkerAddress(i.Name)
	}
	s.fleet.Add(modeler.Worker{
		ID: i.Worker, Pool: i.Pool, Address: address, Zone: i.Zone, Instance: i.Name, Capacity: i.Capacity, Labels: i.Labels,
	})
}

// List returns all instances.
func (c *InstanceServiceClient) List(ctx context.Context) ([]modeler.Instance, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []modeler.Instance
	for _, i := range c.instances {
		info := i.Instance
		if c.FilterList != nil {
			listed, err := c.FilterList(info.Name)
			if err != nil {
				return nil, err
			}
			if !listed {
				continue
			}
		}
		if stale, ok := c.listedWorkers[info.Name]; ok {
			info.Worker = stale
		}
		list = append(list, info)
	}
	return list, ctx.Err()
}

// Move moves an instance to a pool.
func (c *InstanceServiceClient) Move(_ context.Context, instance, pool string, token int64) error {
	return c.handleOrder(instance, token, c.moveTime, func(i *managedInstance) bool { return i.Pool == pool }, func(i *managedInstance) {
		i.State, i.Pool, i.runsWorker = modeler.InstanceMoving, pool, pool != "spare"
	})
}

// Maintain takes an instance into maintenance as part of a wave.
func (c *InstanceServiceClient) Maintain(_ context.Context, instance string, wave, token int64) error {
	return c.handleOrder(instance, token, c.maintenanceTime, func(i *managedInstance) bool { return i.startedWaves[wave] }, func(i *managedInstance) {
		i.State = modeler.InstanceInMaintenance
		i.startedWaves[wave] = true
		c.maintenanceCounts[instance]++
	})
}

// handleOrder carries out an order, or delays it and returns errNoResponse if
// OrderDelay returns a delay for it.
func (c *InstanceServiceClient) handleOrder(name string, token int64, duration time.Duration, alreadyDone func(i *managedInstance) bool, apply func(i *managedInstance)) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.orderCounts[c.holder]++
	if c.OrderDelay != nil {
		if delay := c.OrderDelay(c.holder, name); delay > 0 {
			time.AfterFunc(delay, func() {
				c.mu.Lock()
				defer c.mu.Unlock()
				_ = c.carryOutOrder(name, token, duration, alreadyDone, apply) // the caller has already received errNoResponse, so the result is dropped
			})
			return errNoResponse
		}
	}
	return c.carryOutOrder(name, token, duration, alreadyDone, apply)
}

// carryOutOrder carries out an order unless its fencing token is outdated or the
// instance is busy. It has no effect if alreadyDone reports that the order was
// carried out before. Otherwise apply changes the instance, which is up again after
// duration.
func (c *InstanceServiceClient) carryOutOrder(name string, token int64, duration time.Duration, alreadyDone func(i *managedInstance) bool, apply func(i *managedInstance)) error {
	i := c.instances[name]
	switch {
	case i == nil:
		return modeler.ErrRejected
	case token < i.token:
		return modeler.ErrFenced
	}
	i.token = token
	if alreadyDone(i) {
		return nil
	}
	if i.State != modeler.InstanceUp {
		return modeler.ErrInstanceBusy
	}
	c.fleet.Remove(i.Worker)
	i.Worker = ""
	apply(i)
	time.AfterFunc(duration, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		i.State = modeler.InstanceUp
		c.startWorker(i)
	})
	return nil
}

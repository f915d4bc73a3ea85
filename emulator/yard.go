package emulator

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/coltsfootlever/coltsfootlever/modeler"
)

type (
	// InstanceService emulates the platform's service that moves and maintains
	// instances. It starts a new worker in a TaskFleet each time an instance comes
	// up.
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
	}

	managedInstance struct {
		modeler.Instance
		hasWorkers   bool // the pool of the instance has workers
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
func (y *InstanceService) ClientFor(holder string) *InstanceServiceClient {
	return &InstanceServiceClient{y, holder}
}

// Add adds an instance that is up. hasWorkers says whether its pool has workers.
func (y *InstanceService) Add(i modeler.Instance, hasWorkers bool) {
	y.mu.Lock()
	defer y.mu.Unlock()
	i.State = modeler.InstanceUp
	v := &managedInstance{Instance: i, hasWorkers: hasWorkers, startedWaves: make(map[int64]bool)}
	y.instances[i.Name] = v
	y.startWorker(v)
}

// MaintenanceCount returns the number of maintenances of an instance.
func (y *InstanceService) MaintenanceCount(name string) int {
	y.mu.Lock()
	defer y.mu.Unlock()
	return y.maintenanceCounts[name]
}

// PoolOf returns the pool of an instance.
func (y *InstanceService) PoolOf(name string) string {
	y.mu.Lock()
	defer y.mu.Unlock()
	return y.instances[name].Pool
}

// InMaintenanceCount returns the number of instances that are in maintenance.
func (y *InstanceService) InMaintenanceCount() int {
	y.mu.Lock()
	defer y.mu.Unlock()
	n := 0
	for _, i := range y.instances {
		if i.State == modeler.InstanceInMaintenance {
			n++
		}
	}
	return n
}

// OrderCount returns the number of move and maintenance orders that an entry node has sent.
func (y *InstanceService) OrderCount(holder string) int {
	y.mu.Lock()
	defer y.mu.Unlock()
	return y.orderCounts[holder]
}

// SetListedWorker makes the list show the given worker for an instance instead of
// the actual one, as an outdated list does.
func (y *InstanceService) SetListedWorker(name, worker string) {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.listedWorkers[name] = worker
}

// WorkerOf returns the ID of the worker of an instance.
func (y *InstanceService) WorkerOf(name string) string {
	y.mu.Lock()
	defer y.mu.Unlock()
	return y.instances[name].Worker
}

// RestartWorker ends the worker of an instance and starts a new one. It has no
// effect on an instance that is moving or in maintenance.
func (y *InstanceService) RestartWorker(name string) {
	y.mu.Lock()
	defer y.mu.Unlock()
	i := y.instances[name]
	if i.State != modeler.InstanceUp {
		return
	}
	y.fleet.Remove(i.Worker)
	y.startWorker(i)
}

// startWorker starts a worker on an instance if its pool has workers.
func (y *InstanceService) startWorker(i *managedInstance) {
	if !i.hasWorkers {
		return
	}
	y.startedWorkers++
	i.Worker = fmt.Sprintf("w-%s-%d", i.Name, y.startedWorkers)
	address := "127.0.0.1:1"
	if y.WorkerAddress != nil {
		address = y.WorkerAddress(i.Name)
	}
	y.fleet.Add(modeler.Worker{
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
		i.State, i.Pool, i.hasWorkers = modeler.InstanceMoving, pool, pool != "spare"
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
// OrderDelay says so.
func (c *InstanceServiceClient) handleOrder(name string, token int64, takes time.Duration, done func(i *managedInstance) bool, begin func(i *managedInstance)) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.orderCounts[c.holder]++
	if c.OrderDelay != nil {
		if late := c.OrderDelay(c.holder, name); late > 0 {
			time.AfterFunc(late, func() {
				c.mu.Lock()
				defer c.mu.Unlock()
				_ = c.carryOutOrder(name, token, takes, done, begin) // the caller has already received errNoResponse, so the result is dropped
			})
			return errNoResponse
		}
	}
	return c.carryOutOrder(name, token, takes, done, begin)
}

// carryOutOrder carries out an order unless its fencing token is outdated or the
// instance is busy. It has no effect if done reports that the order was carried
// out before. The instance is up again after the time that the order takes.
func (c *InstanceServiceClient) carryOutOrder(name string, token int64, takes time.Duration, done func(i *managedInstance) bool, begin func(i *managedInstance)) error {
	i := c.instances[name]
	switch {
	case i == nil:
		return modeler.ErrRejected
	case token < i.token:
		return modeler.ErrFenced
	}
	i.token = token
	if done(i) {
		return nil
	}
	if i.State != modeler.InstanceUp {
		return modeler.ErrInstanceBusy
	}
	c.fleet.Remove(i.Worker)
	i.Worker = ""
	begin(i)
	time.AfterFunc(takes, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		i.State = modeler.InstanceUp
		c.startWorker(i)
	})
	return nil
}

package emulator

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/coltsfootlever/coltsfootlever/modeler"
)

type (
	// InstanceService stands in for the platform's instances: it moves and maintains them
	// and gives each life of one a worker in a TaskFleet.
	InstanceService struct {
		mu                sync.Mutex
		fleet             *TaskFleet
		moveTime          time.Duration
		maintenanceTime   time.Duration
		instances         map[string]*managedInstance
		startedWorkers    int
		maintenanceCounts map[string]int
		orderCounts       map[string]int
		listedWorkers     map[string]string
		WorkerAddress     func(instance string) string                // where its workers are called; nil where nobody calls over a network
		OrderDelay        func(holder, instance string) time.Duration // an order is carried out so much later, unanswered
	}

	managedInstance struct {
		modeler.Instance
		hasWorkers   bool // its pool has workers
		token        int64
		startedWaves map[int64]bool
	}

	// InstanceServiceClient is one holder's access to a Yard.
	InstanceServiceClient struct {
		*InstanceService
		holder string
	}
)

// NewInstanceService returns a yard without instances. A move and an upkeep take the given
// times.
func NewInstanceService(fleet *TaskFleet, moveTime, maintenanceTime time.Duration) *InstanceService {
	return &InstanceService{fleet: fleet, moveTime: moveTime, maintenanceTime: maintenanceTime, instances: make(map[string]*managedInstance), maintenanceCounts: make(map[string]int), orderCounts: make(map[string]int), listedWorkers: make(map[string]string)}
}

// ClientFor returns the access of a holder of the duty.
func (y *InstanceService) ClientFor(holder string) *InstanceServiceClient {
	return &InstanceServiceClient{y, holder}
}

// Add adds an instance; on says whether its pool has workers.
func (y *InstanceService) Add(i modeler.Instance, hasWorkers bool) {
	y.mu.Lock()
	defer y.mu.Unlock()
	i.State = modeler.InstanceUp
	v := &managedInstance{Instance: i, hasWorkers: hasWorkers, startedWaves: make(map[int64]bool)}
	y.instances[i.Name] = v
	y.startWorker(v)
}

// MaintenanceCount counts the upkeeps of an instance.
func (y *InstanceService) MaintenanceCount(name string) int {
	y.mu.Lock()
	defer y.mu.Unlock()
	return y.maintenanceCounts[name]
}

// PoolOf is the pool of an instance.
func (y *InstanceService) PoolOf(name string) string {
	y.mu.Lock()
	defer y.mu.Unlock()
	return y.instances[name].Pool
}

// InMaintenanceCount counts the instances that are maintained at present.
func (y *InstanceService) InMaintenanceCount() int {
	y.mu.Lock()
	defer y.mu.Unlock()
	n := 0
	for _, i := range y.instances {
		if i.State == modeler.InstanceInUpkeep {
			n++
		}
	}
	return n
}

// OrderCount counts the orders of a holder.
func (y *InstanceService) OrderCount(holder string) int {
	y.mu.Lock()
	defer y.mu.Unlock()
	return y.orderCounts[holder]
}

// SetListedWorker lets the list name another worker of an instance.
func (y *InstanceService) SetListedWorker(name, worker string) {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.listedWorkers[name] = worker
}

// WorkerOf is the worker of an instance.
func (y *InstanceService) WorkerOf(name string) string {
	y.mu.Lock()
	defer y.mu.Unlock()
	return y.instances[name].Worker
}

// RestartWorker ends the worker of an instance and starts another one. An instance
// that is away stays so.
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

// startWorker starts a worker on an instance.
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

// List implements the list of instances.
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

// Move implements orders for instances.
func (c *InstanceServiceClient) Move(_ context.Context, instance, pool string, token int64) error {
	return c.handleOrder(instance, token, c.moveTime, func(i *managedInstance) bool { return i.Pool == pool }, func(i *managedInstance) {
		i.State, i.Pool, i.hasWorkers = modeler.InstanceMoving, pool, pool != "spare"
	})
}

// Maintain implements orders for instances.
func (c *InstanceServiceClient) Maintain(_ context.Context, instance string, wave, token int64) error {
	return c.handleOrder(instance, token, c.maintenanceTime, func(i *managedInstance) bool { return i.startedWaves[wave] }, func(i *managedInstance) {
		i.State = modeler.InstanceInUpkeep
		i.startedWaves[wave] = true
		c.maintenanceCounts[instance]++
	})
}

func (c *InstanceServiceClient) handleOrder(name string, token int64, takes time.Duration, done func(i *managedInstance) bool, begin func(i *managedInstance)) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.orderCounts[c.holder]++
	if c.OrderDelay != nil {
		if late := c.OrderDelay(c.holder, name); late > 0 {
			time.AfterFunc(late, func() {
				c.mu.Lock()
				defer c.mu.Unlock()
				_ = c.carryOutOrder(name, token, takes, done, begin) // nobody hears of the outcome
			})
			return errNoResponse
		}
	}
	return c.carryOutOrder(name, token, takes, done, begin)
}

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

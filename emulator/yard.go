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
		mu            sync.Mutex
		fleet         *TaskFleet
		move          time.Duration
		upkeep        time.Duration
		instances     map[string]*yardInstance
		lives         int
		maintained    map[string]int
		orders        map[string]int
		stale         map[string]string
		WorkerAddress func(instance string) string                // where its workers are called; nil where nobody calls over a network
		OrderDelay    func(holder, instance string) time.Duration // an order is carried out so much later, unanswered
	}

	yardInstance struct {
		modeler.Instance
		on    bool // its pool has workers
		token int64
		waves map[int64]bool
	}

	// InstanceServiceClient is one holder's access to a Yard.
	InstanceServiceClient struct {
		*InstanceService
		holder string
	}
)

// NewInstanceService returns a yard without instances. A move and an upkeep take the given
// times.
func NewInstanceService(fleet *TaskFleet, move, upkeep time.Duration) *InstanceService {
	return &InstanceService{fleet: fleet, move: move, upkeep: upkeep, instances: make(map[string]*yardInstance), maintained: make(map[string]int), orders: make(map[string]int), stale: make(map[string]string)}
}

// ClientFor returns the access of a holder of the duty.
func (y *InstanceService) ClientFor(holder string) *InstanceServiceClient {
	return &InstanceServiceClient{y, holder}
}

// Add adds an instance; on says whether its pool has workers.
func (y *InstanceService) Add(i modeler.Instance, on bool) {
	y.mu.Lock()
	defer y.mu.Unlock()
	i.State = modeler.InstanceUp
	v := &yardInstance{Instance: i, on: on, waves: make(map[int64]bool)}
	y.instances[i.Name] = v
	y.live(v)
}

// MaintenanceCount counts the upkeeps of an instance.
func (y *InstanceService) MaintenanceCount(name string) int {
	y.mu.Lock()
	defer y.mu.Unlock()
	return y.maintained[name]
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
	return y.orders[holder]
}

// SetListedWorker lets the list name another worker of an instance.
func (y *InstanceService) SetListedWorker(name, worker string) {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.stale[name] = worker
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
	y.live(i)
}

// live starts a worker on an instance.
func (y *InstanceService) live(i *yardInstance) {
	if !i.on {
		return
	}
	y.lives++
	i.Worker = fmt.Sprintf("w-%s-%d", i.Name, y.lives)
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
		if stale, ok := c.stale[info.Name]; ok {
			info.Worker = stale
		}
		list = append(list, info)
	}
	return list, ctx.Err()
}

// Move implements orders for instances.
func (c *InstanceServiceClient) Move(_ context.Context, instance, pool string, token int64) error {
	return c.order(instance, token, c.move, func(i *yardInstance) bool { return i.Pool == pool }, func(i *yardInstance) {
		i.State, i.Pool, i.on = modeler.InstanceMoving, pool, pool != "spare"
	})
}

// Maintain implements orders for instances.
func (c *InstanceServiceClient) Maintain(_ context.Context, instance string, wave, token int64) error {
	return c.order(instance, token, c.upkeep, func(i *yardInstance) bool { return i.waves[wave] }, func(i *yardInstance) {
		i.State = modeler.InstanceInUpkeep
		i.waves[wave] = true
		c.maintained[instance]++
	})
}

func (c *InstanceServiceClient) order(name string, token int64, takes time.Duration, done func(i *yardInstance) bool, begin func(i *yardInstance)) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.orders[c.holder]++
	if c.OrderDelay != nil {
		if late := c.OrderDelay(c.holder, name); late > 0 {
			time.AfterFunc(late, func() {
				c.mu.Lock()
				defer c.mu.Unlock()
				_ = c.carryOut(name, token, takes, done, begin) // nobody hears of the outcome
			})
			return errSilent
		}
	}
	return c.carryOut(name, token, takes, done, begin)
}

func (c *InstanceServiceClient) carryOut(name string, token int64, takes time.Duration, done func(i *yardInstance) bool, begin func(i *yardInstance)) error {
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
		c.live(i)
	})
	return nil
}

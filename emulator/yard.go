package emulator

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/coltsfootlever/coltsfootlever/modeler"
)

type (
	// Yard stands in for the platform's instances: it moves and maintains them
	// and gives each life of one a worker in a TaskFleet.
	Yard struct {
		mu         sync.Mutex
		fleet      *TaskFleet
		move       time.Duration
		upkeep     time.Duration
		instances  map[string]*yardInstance
		lives      int
		maintained map[string]int
		orders     map[string]int
		stale      map[string]string
		Address    func(instance string) string                // where its workers are called; nil where nobody calls over a network
		Late       func(holder, instance string) time.Duration // an order is carried out so much later, unanswered
	}

	yardInstance struct {
		modeler.Instance
		on    bool // its pool has workers
		token int64
		waves map[int64]bool
	}

	// YardClient is one holder's access to a Yard.
	YardClient struct {
		*Yard
		holder string
	}
)

// NewYard returns a yard without instances. A move and an upkeep take the given
// times.
func NewYard(fleet *TaskFleet, move, upkeep time.Duration) *Yard {
	return &Yard{fleet: fleet, move: move, upkeep: upkeep, instances: make(map[string]*yardInstance), maintained: make(map[string]int), orders: make(map[string]int), stale: make(map[string]string)}
}

// For returns the access of a holder of the duty.
func (y *Yard) For(holder string) *YardClient {
	return &YardClient{y, holder}
}

// Add adds an instance; on says whether its pool has workers.
func (y *Yard) Add(i modeler.Instance, on bool) {
	y.mu.Lock()
	defer y.mu.Unlock()
	i.State = modeler.InstanceUp
	v := &yardInstance{Instance: i, on: on, waves: make(map[int64]bool)}
	y.instances[i.Name] = v
	y.live(v)
}

// Maintained counts the upkeeps of an instance.
func (y *Yard) Maintained(name string) int {
	y.mu.Lock()
	defer y.mu.Unlock()
	return y.maintained[name]
}

// Pool is the pool of an instance.
func (y *Yard) Pool(name string) string {
	y.mu.Lock()
	defer y.mu.Unlock()
	return y.instances[name].Pool
}

// InUpkeep counts the instances that are maintained at present.
func (y *Yard) InUpkeep() int {
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

// Orders counts the orders of a holder.
func (y *Yard) Orders(holder string) int {
	y.mu.Lock()
	defer y.mu.Unlock()
	return y.orders[holder]
}

// Stale lets the list name another worker of an instance.
func (y *Yard) Stale(name, worker string) {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.stale[name] = worker
}

// Worker is the worker of an instance.
func (y *Yard) Worker(name string) string {
	y.mu.Lock()
	defer y.mu.Unlock()
	return y.instances[name].Worker
}

// Restart ends the worker of an instance and starts another one. An instance
// that is away stays so.
func (y *Yard) Restart(name string) {
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
func (y *Yard) live(i *yardInstance) {
	if !i.on {
		return
	}
	y.lives++
	i.Worker = fmt.Sprintf("w-%s-%d", i.Name, y.lives)
	address := "127.0.0.1:1"
	if y.Address != nil {
		address = y.Address(i.Name)
	}
	y.fleet.Add(modeler.Worker{
		ID: i.Worker, Pool: i.Pool, Address: address, Zone: i.Zone, Instance: i.Name, Capacity: i.Capacity, Labels: i.Labels,
	})
}

// List implements the list of instances.
func (c *YardClient) List(ctx context.Context) ([]modeler.Instance, error) {
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
func (c *YardClient) Move(_ context.Context, instance, pool string, token int64) error {
	return c.order(instance, token, c.move, func(i *yardInstance) bool { return i.Pool == pool }, func(i *yardInstance) {
		i.State, i.Pool, i.on = modeler.InstanceMoving, pool, pool != "spare"
	})
}

// Maintain implements orders for instances.
func (c *YardClient) Maintain(_ context.Context, instance string, wave, token int64) error {
	return c.order(instance, token, c.upkeep, func(i *yardInstance) bool { return i.waves[wave] }, func(i *yardInstance) {
		i.State = modeler.InstanceInUpkeep
		i.waves[wave] = true
		c.maintained[instance]++
	})
}

func (c *YardClient) order(name string, token int64, takes time.Duration, done func(i *yardInstance) bool, begin func(i *yardInstance)) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.orders[c.holder]++
	if c.Late != nil {
		if late := c.Late(c.holder, name); late > 0 {
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

func (c *YardClient) carryOut(name string, token int64, takes time.Duration, done func(i *yardInstance) bool, begin func(i *yardInstance)) error {
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

package modeler

import (
	"strings"
	"time"
)

type (
	// Manifest is what the operators have put in force.
	Manifest struct {
		Version   int64
		Queues    []Queue
		Pools     []Pool
		Customers []Customer
		MaxBody   int64 // bytes of a request body
		MaxHeader int   // bytes of a request's head
		HeadTime  time.Duration
		IdleTime  time.Duration

		byName map[string]*Queue
		byKey  map[string]*Customer
		pools  map[string]*Pool
		owners map[string]*Customer
	}

	// Queue takes jobs for the workers of one pool.
	Queue struct {
		Name     string
		Host     string
		Prefix   string
		Pool     string
		Public   bool          // calls carry no key
		Timeout  time.Duration // of a call
		Priority int           // 0 comes first
		Attempts int           // failed runs of a task that fail its job
		Stretch  float64       // part of the objective in units of the longest chain of work
		Target   time.Duration // part of the objective beside Stretch
		Advice   *Advice       // nil when any worker of the pool may run the steps
	}

	// Advice describes the service that knows which workers may run a step.
	Advice struct {
		Decision time.Duration // fixed part of an answer's delay
		PerItem  time.Duration // part for each worker named
		Validity time.Duration // of a ticket
	}

	// Pool is a set of instances whose workers run the tasks of some queues.
	Pool struct {
		Name       string
		Spare      bool   // its instances are off
		Checks     bool   // its workers refuse what does not fit
		HealthPath string // of its workers
	}

	// Customer is a tenant of the fleet.
	Customer struct {
		Name   string
		Keys   []string
		Weight float64   // share when all is full
		Limit  Resources // running at once over all pools; 0 for no limit
	}
)

// Index prepares the manifest for look-ups.
func (m *Manifest) Index() {
	m.byName = make(map[string]*Queue, len(m.Queues))
	m.byKey = make(map[string]*Customer)
	m.pools = make(map[string]*Pool, len(m.Pools))
	m.owners = make(map[string]*Customer, len(m.Customers))
	for i := range m.Queues {
		m.byName[m.Queues[i].Name] = &m.Queues[i]
	}
	for i := range m.Pools {
		m.pools[m.Pools[i].Name] = &m.Pools[i]
	}
	for i := range m.Customers {
		c := &m.Customers[i]
		m.owners[c.Name] = c
		for _, key := range c.Keys {
			m.byKey[key] = c
		}
	}
}

// Route finds the queue with the longest prefix of the path at the host, nil
// when there is none.
func (m *Manifest) Route(host, path string) *Queue {
	var best *Queue
	for i := range m.Queues {
		q := &m.Queues[i]
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && (best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	return best
}

// Queue finds a queue by name, nil when there is none.
func (m *Manifest) Queue(name string) *Queue {
	return m.byName[name]
}

// Pool finds a pool by name, nil when there is none.
func (m *Manifest) Pool(name string) *Pool {
	return m.pools[name]
}

// Customer finds a customer by name, nil when there is none.
func (m *Manifest) Customer(name string) *Customer {
	return m.owners[name]
}

// CustomerOf finds the customer that a key belongs to, nil when no key is
// like it.
func (m *Manifest) CustomerOf(key string) *Customer {
	return m.byKey[key]
}

// Within says whether usage is within the customer's limit.
func (c *Customer) Within(usage Resources) bool {
	over := func(used, limit int64) bool { return limit > 0 && used > limit }
	return !over(usage.CPU, c.Limit.CPU) && !over(usage.Memory, c.Limit.Memory) && !over(usage.GPU, c.Limit.GPU)
}

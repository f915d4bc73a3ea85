package modeler

import (
	"strings"
	"time"
)

type (
	// Manifest is the configuration of the fleet that is in force.
	Manifest struct {
		Version       int64
		Queues        []Queue
		Pools         []Pool
		Customers     []Customer
		MaxBody       int64 // maximum bytes of a request body
		MaxHeader     int   // maximum bytes of a request header
		HeaderTimeout time.Duration
		IdleTimeout   time.Duration

		queuesByName    map[string]*Queue
		customersByKey  map[string]*Customer
		poolsByName     map[string]*Pool
		customersByName map[string]*Customer
	}

	// Queue accepts jobs for the workers of one pool.
	Queue struct {
		Name            string
		Host            string
		Prefix          string
		Pool            string
		Public          bool          // callers need no key
		CallTimeout     time.Duration // time limit of a call
		Priority        int           // 0 is the highest
		MaxFailedRuns   int           // a job fails after this many failed runs of one of its tasks
		ObjectiveFactor float64       // the time objective of a job is this factor times its longest chain of dependent steps,
		ObjectiveOffset time.Duration // plus this fixed time
		Advice          *Advice       // nil if any worker of the pool may run the steps
	}

	// QueueSettings are the settings of a queue that its accepted jobs keep if the
	// queue is removed. The fields are those of Queue.
	QueueSettings struct {
		Pool            string        `json:"pool"`
		Priority        int           `json:"priority,omitempty"`
		MaxFailedRuns   int           `json:"attempts,omitempty"`
		ObjectiveFactor float64       `json:"factor,omitempty"`
		ObjectiveOffset time.Duration `json:"offset,omitempty"`
		Advice          *Advice       `json:"advice,omitempty"`
	}

	// Advice describes the service that decides which workers may run a step
	// and issues the tickets that these workers demand.
	Advice struct {
		BaseDelay      time.Duration // fixed part of the time to answer
		DelayPerWorker time.Duration // added for each worker asked about
		TicketValidity time.Duration // how long a ticket is valid
	}

	// Pool is a set of instances whose workers run the tasks of some queues.
	Pool struct {
		Name            string
		Spare           bool   // spare capacity: its instances are switched off
		ChecksAdmission bool   // its workers refuse tasks that exceed their free capacity
		HealthPath      string // path of its workers' health check
	}

	// Customer is an organization whose jobs the fleet runs.
	Customer struct {
		Name   string
		Keys   []string
		Weight float64   // relative share when demand exceeds capacity
		Limit  Resources // maximum in use at once over all pools; 0 for no limit
	}
)

// Settings returns the settings that accepted jobs keep.
func (q *Queue) Settings() *QueueSettings {
	return &QueueSettings{q.Pool, q.Priority, q.MaxFailedRuns, q.ObjectiveFactor, q.ObjectiveOffset, q.Advice}
}

// QueueOf returns the queue of a job. If the queue has been removed, it returns
// one with the settings that applied when the job was accepted, or nil if they are unknown.
func (m *Manifest) QueueOf(j *Job) *Queue {
	s := j.QueueSettings
	if q := m.Queue(j.Queue); q != nil || s == nil {
		return q
	}
	return &Queue{
		Name: j.Queue, Pool: s.Pool, Priority: s.Priority, MaxFailedRuns: s.MaxFailedRuns,
		ObjectiveFactor: s.ObjectiveFactor, ObjectiveOffset: s.ObjectiveOffset, Advice: s.Advice,
	}
}

// Index builds the maps for look-ups by name and by key. It must be called once after all fields are set.
func (m *Manifest) Index() {
	m.queuesByName = make(map[string]*Queue, len(m.Queues))
	m.customersByKey = make(map[string]*Customer)
	m.poolsByName = make(map[string]*Pool, len(m.Pools))
	m.customersByName = make(map[string]*Customer, len(m.Customers))
	for i := range m.Queues {
		m.queuesByName[m.Queues[i].Name] = &m.Queues[i]
	}
	for i := range m.Pools {
		m.poolsByName[m.Pools[i].Name] = &m.Pools[i]
	}
	for i := range m.Customers {
		c := &m.Customers[i]
		m.customersByName[c.Name] = c
		for _, key := range c.Keys {
			m.customersByKey[key] = c
		}
	}
}

// Route returns the queue of the host whose prefix is the longest one that
// matches the path, or nil if none matches.
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

// Queue returns the queue with the name, or nil if there is none.
func (m *Manifest) Queue(name string) *Queue {
	return m.queuesByName[name]
}

// Pool returns the pool with the name, or nil if there is none.
func (m *Manifest) Pool(name string) *Pool {
	return m.poolsByName[name]
}

// Customer returns the customer with the name, or nil if there is none.
func (m *Manifest) Customer(name string) *Customer {
	return m.customersByName[name]
}

// CustomerByKey returns the customer that owns the access key, or nil if the
// key is unknown.
func (m *Manifest) CustomerByKey(key string) *Customer {
	return m.customersByKey[key]
}

// WithinLimit reports whether usage is within the customer's limit.
func (c *Customer) WithinLimit(usage Resources) bool {
	over := func(used, limit int64) bool { return limit > 0 && used > limit }
	return !over(usage.CPU, c.Limit.CPU) && !over(usage.Memory, c.Limit.Memory) && !over(usage.GPU, c.Limit.GPU)
}

// ServiceTime returns how long the service takes for a request that names a number
// of workers.
func (a *Advice) ServiceTime(workers int) time.Duration {
	return a.BaseDelay + time.Duration(workers)*a.DelayPerWorker
}

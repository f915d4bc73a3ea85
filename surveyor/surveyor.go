// Package surveyor measures, for each pool, for how long instances were out of
// service or idle as spares, and counts moves between pools. It reads the instance
// records that every entry already watches.
package surveyor

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/coltsfootlever/coltsfootlever/mover"
	"github.com/coltsfootlever/coltsfootlever/parser"
)

// DefaultPeriod is the time between two reads of the instance records.
const DefaultPeriod = 5 * time.Second

type (
	// Surveyor reads the instance records once in each period. Create one with
	// New.
	Surveyor struct {
		instances func() []mover.Instance
		rules     func() *parser.Rules
		period    time.Duration

		mu        sync.Mutex
		since     time.Time         // time of the first read
		last      time.Time         // time of the last read
		lastPools map[string]string // pool of each instance at the last read, by instance ID
		pools     map[string]*Pool
	}

	// Survey is what one entry has measured since it started.
	Survey struct {
		Since time.Time `json:"since"`
		Until time.Time `json:"until"`
		Pools []Pool    `json:"pools"` // sorted by name
	}

	// Pool is what was measured for one pool. An instance counts for the pool that
	// it is in at the time.
	Pool struct {
		Name      string  `json:"name"`
		Planned   float64 `json:"planned-instance-seconds"`   // out of service because of an order
		Unplanned float64 `json:"unplanned-instance-seconds"` // out of service because it failed, was evicted or is unhealthy
		Spare     float64 `json:"spare-instance-seconds"`     // in service in a spare pool
		MovedIn   int     `json:"arrived"`                    // number of instances moved into the pool
		MovedOut  int     `json:"left"`                       // number of instances moved out of the pool
	}

	// Option configures a Surveyor.
	Option func(*Surveyor)
)

// WithPeriod sets the time between two reads of the instance records.
func WithPeriod(d time.Duration) Option {
	return func(s *Surveyor) { s.period = d }
}

// New returns a Surveyor that reads the instance records through the function
// instances. The function rules may return nil while no rules are known.
func New(instances func() []mover.Instance, rules func() *parser.Rules, opts ...Option) *Surveyor {
	s := &Surveyor{
		instances: instances,
		rules:     rules,
		period:    DefaultPeriod,
		lastPools: make(map[string]string),
		pools:     make(map[string]*Pool),
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Run reads the instance records in each period until ctx ends.
func (s *Surveyor) Run(ctx context.Context) error {
	ticker := time.NewTicker(s.period)
	defer ticker.Stop()
	for {
		s.update(time.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// Survey returns what has been measured so far.
func (s *Surveyor) Survey() Survey {
	s.update(time.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	survey := Survey{Since: s.since, Until: s.last, Pools: []Pool{}}
	for _, p := range s.pools {
		survey.Pools = append(survey.Pools, *p)
	}
	slices.SortFunc(survey.Pools, func(a, b Pool) int { return cmp.Compare(a.Name, b.Name) })
	return survey
}

// update reads the instance records. For each instance, it adds the time since the
// last read to the pool's total for the instance's current state, and counts a
// move if the instance is now in another pool.
func (s *Surveyor) update(now time.Time) {
	instances := s.instances()
	spare := sparePools(s.rules())
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.since.IsZero() {
		s.since, s.last = now, now
	}
	elapsed := now.Sub(s.last).Seconds()
	s.last = now
	present := make(map[string]string, len(instances))
	for _, i := range instances {
		present[i.ID] = i.Pool
		s.countInstance(i, elapsed, spare)
	}
	// While the records are being reloaded, some are missing. An instance whose
	// record is missing has not moved.
	maps.Copy(s.lastPools, present)
	if len(present) > 0 {
		maps.DeleteFunc(s.lastPools, func(id, _ string) bool { return present[id] == "" })
	}
}

func (s *Surveyor) countInstance(i mover.Instance, elapsed float64, spare map[string]bool) {
	p := s.pool(i.Pool)
	if oldPool, ok := s.lastPools[i.ID]; ok && oldPool != i.Pool {
		p.MovedIn++
		s.pool(oldPool).MovedOut++
	}
	switch {
	case i.Phase == mover.Absent || i.Phase == mover.Evicted || i.Unhealthy != "":
		p.Unplanned += elapsed
	case i.Phase != mover.Serving:
		p.Planned += elapsed
	case spare[i.Pool]:
		p.Spare += elapsed
	}
}

func (s *Surveyor) pool(name string) *Pool {
	p, ok := s.pools[name]
	if !ok {
		p = &Pool{Name: name}
		s.pools[name] = p
	}
	return p
}

func sparePools(rules *parser.Rules) map[string]bool {
	spare := make(map[string]bool)
	if rules == nil {
		return spare
	}
	for _, p := range rules.Pools {
		spare[p.Name] = p.Spare
	}
	return spare
}

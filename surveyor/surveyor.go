// Package surveyor sums up what the fleet costs in instances that do no work,
// and counts moves, from the instance records that an entry follows anyway.
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

// DefaultPeriod is the time between two looks at the records.
const DefaultPeriod = 5 * time.Second

type (
	// Surveyor looks at the records in every period. Use New.
	Surveyor struct {
		instances func() []mover.Instance
		rules     func() *parser.Rules
		period    time.Duration

		mu        sync.Mutex
		since     time.Time
		last      time.Time
		lastPools map[string]string // pool by instance at the last look
		pools     map[string]*Pool
	}

	// Survey is what one entry has seen since it started.
	Survey struct {
		Since time.Time `json:"since"`
		Until time.Time `json:"until"`
		Pools []Pool    `json:"pools"` // by name
	}

	// Pool is what one pool cost. Instances are counted in the pool in which
	// they were.
	Pool struct {
		Name      string  `json:"name"`
		Planned   float64 `json:"planned-instance-seconds"`   // out of service for an order
		Unplanned float64 `json:"unplanned-instance-seconds"` // failed, evicted or sick
		Spare     float64 `json:"spare-instance-seconds"`     // in service in a spare pool
		MovedIn   int     `json:"arrived"`                    // moves into the pool
		MovedOut  int     `json:"left"`                       // moves out of the pool
	}

	// Option changes a Surveyor under construction.
	Option func(*Surveyor)
)

// WithPeriod sets the time between two looks.
func WithPeriod(d time.Duration) Option {
	return func(s *Surveyor) { s.period = d }
}

// New returns a Surveyor of the records that instances returns. rules returns
// nil while no rules are known.
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

// Run looks at the records until ctx ends.
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

// Survey returns what has been seen until now.
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

// update counts each record for the time since the last update.
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
	// A record that is missing while the records are read anew is not a move.
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

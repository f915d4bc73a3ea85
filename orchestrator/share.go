package orchestrator

import (
	"github.com/coltsfootlever/coltsfootlever/granter"
	"github.com/coltsfootlever/coltsfootlever/modeler"
)

const weightUnit = 100 // weights of customers have two decimals at most

type (
	// shares is what each customer of a pool runs and may run before the others
	// have their part, in thousandths of a core of tasks that end.
	shares map[string]*share

	share struct {
		running, wanted int64
		fair            int64 // weighted max-min share of the pool
	}
)

// divide computes the shares of all pools with claims.
func (p *pass) divide(claims []claim) map[string]shares {
	pools := make(map[string]shares)
	for _, c := range claims {
		if c.step.LongRunning {
			continue
		}
		j := c.step.occurrence.job
		pool := p.manifest.Queue(j.Queue).Pool
		if pools[pool] == nil {
			pools[pool] = p.runningShares(pool)
		}
		pools[pool].of(j.Customer).wanted += int64(c.step.waiting) * c.step.ReservedResources().CPU
	}
	for pool, all := range pools {
		all.divide(int64(p.cores(pool)*coreUnit), p.manifest)
	}
	return pools
}

// runningShares notes what runs in a pool.
func (p *pass) runningShares(pool string) shares {
	all := make(shares)
	for _, w := range p.e.fleet {
		if w.Pool != pool {
			continue
		}
		for _, t := range w.tasks {
			if !t.step.LongRunning {
				s := all.of(t.step.occurrence.job.Customer)
				s.running += t.step.ReservedResources().CPU
				s.wanted += t.step.ReservedResources().CPU
			}
		}
	}
	return all
}

func (all shares) of(customer string) *share {
	s := all[customer]
	if s == nil {
		s = &share{}
		all[customer] = s
	}
	return s
}

// divide gives each customer its weighted max-min share of the capacity.
func (all shares) divide(capacity int64, m *modeler.Manifest) {
	demands := make([]granter.Demand, 0, len(all))
	for customer, s := range all {
		weight := 1.0
		if c := m.Customer(customer); c != nil {
			weight = c.Weight
		}
		demands = append(demands, granter.Demand{Team: customer, Weight: int(weight * weightUnit), Limit: int(s.wanted), Demand: int(s.wanted)})
	}
	for customer, fair := range granter.Shares(int(capacity), demands) {
		all[customer].fair = int64(fair)
	}
}

// exceeded says whether another task of the step would bring its customer above
// its share of the pool.
func (p *pass) exceeded(s *step, pool string) bool {
	share := p.shares[pool][s.occurrence.job.Customer]
	return !s.LongRunning && share != nil && share.running+s.ReservedResources().CPU > share.fair
}

package orchestrator

import (
	"github.com/coltsfootlever/coltsfootlever/granter"
	"github.com/coltsfootlever/coltsfootlever/modeler"
)

const weightScale = 100 // weights of customers have two decimals at most

type (
	// shares is what each customer of a pool runs and may run before the others
	// have their part, in thousandths of a core of tasks that end.
	customerShares map[string]*customerShare

	customerShare struct {
		running, wanted int64
		fairShare       int64 // weighted max-min share of the pool
	}
)

// divide computes the shares of all pools with claims.
func (p *placementPass) customerSharesByPool(claims []candidateStep) map[string]customerShares {
	pools := make(map[string]customerShares)
	for _, c := range claims {
		if c.step.LongRunning {
			continue
		}
		j := c.step.occurrence.job
		pool := p.manifest.Queue(j.Queue).Pool
		if pools[pool] == nil {
			pools[pool] = p.runningByCustomer(pool)
		}
		pools[pool].getOrAdd(j.Customer).wanted += int64(c.step.waitingTasks) * c.step.ReservedResources().CPU
	}
	for pool, all := range pools {
		all.computeFairShares(int64(p.availableCores(pool)*milliCoresPerCore), p.manifest)
	}
	return pools
}

// runningShares notes what runs in a pool.
func (p *placementPass) runningByCustomer(pool string) customerShares {
	all := make(customerShares)
	for _, w := range p.engine.workersByID {
		if w.Pool != pool {
			continue
		}
		for _, t := range w.tasks {
			if !t.step.LongRunning {
				s := all.getOrAdd(t.step.occurrence.job.Customer)
				s.running += t.step.ReservedResources().CPU
				s.wanted += t.step.ReservedResources().CPU
			}
		}
	}
	return all
}

func (all customerShares) getOrAdd(customer string) *customerShare {
	s := all[customer]
	if s == nil {
		s = &customerShare{}
		all[customer] = s
	}
	return s
}

// divide gives each customer its weighted max-min share of the capacity.
func (all customerShares) computeFairShares(capacity int64, m *modeler.Manifest) {
	demands := make([]granter.Demand, 0, len(all))
	for customer, s := range all {
		weight := 1.0
		if c := m.Customer(customer); c != nil {
			weight = c.Weight
		}
		demands = append(demands, granter.Demand{Team: customer, Weight: int(weight * weightScale), Limit: int(s.wanted), Demand: int(s.wanted)})
	}
	for customer, fair := range granter.Shares(int(capacity), demands) {
		all[customer].fairShare = int64(fair)
	}
}

// exceeded says whether another task of the step would bring its customer above
// its share of the pool.
func (p *placementPass) exceedsFairShare(s *step, pool string) bool {
	share := p.customerShares[pool][s.occurrence.job.Customer]
	return !s.LongRunning && share != nil && share.running+s.ReservedResources().CPU > share.fairShare
}

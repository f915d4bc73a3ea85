package orchestrator

import (
	"github.com/coltsfootlever/coltsfootlever/granter"
	"github.com/coltsfootlever/coltsfootlever/modeler"
)

const weightScale = 100 // turns weights, which have at most two decimals, into integers

type (
	// customerShares contains, by customer, how much of a pool's CPU the customer
	// uses and its fair share, in thousandths of a core. Long-running tasks don't
	// count.
	customerShares map[string]*customerShare

	// customerShare is the CPU that a customer uses in a pool, the CPU that its
	// running and waiting tasks want, and its fair share.
	customerShare struct {
		running, wanted int64
		fairShare       int64 // weighted max-min fair share of the pool
	}
)

// customerSharesByPool computes the customers' shares of all pools for which
// there are candidate steps.
func (p *placementPass) customerSharesByPool(candidates []candidateStep) map[string]customerShares {
	pools := make(map[string]customerShares)
	for _, c := range candidates {
		if c.step.LongRunning {
			continue
		}
		j := c.step.occurrence.job
		pool := p.poolOf(c.step)
		if pools[pool] == nil {
			pools[pool] = p.cpuInUseByCustomer(pool)
		}
		pools[pool].getOrAdd(j.Customer).wanted += int64(c.step.waitingTasks) * c.step.ReservedResources().CPU
	}
	for pool, all := range pools {
		all.computeFairShares(int64(p.availableCores(pool)*milliCoresPerCore), p.manifest)
	}
	return pools
}

// cpuInUseByCustomer returns, by customer, the CPU that the running tasks of a pool
// use, in the fields running and wanted. Long-running tasks do not count.
func (p *placementPass) cpuInUseByCustomer(pool string) customerShares {
	all := make(customerShares)
	inUse := p.engine.poolState(pool).cpu
	for name, c := range p.engine.customers {
		if c.number < len(inUse) {
			all[name] = &customerShare{running: inUse[c.number], wanted: inUse[c.number]}
		}
	}
	return all
}

// getOrAdd returns the share of a customer and adds it if it is missing.
func (all customerShares) getOrAdd(customer string) *customerShare {
	s := all[customer]
	if s == nil {
		s = &customerShare{}
		all[customer] = s
	}
	return s
}

// computeFairShares sets each customer's weighted max-min fair share of the
// capacity.
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

// exceedsFairShare reports whether another task of the step would exceed its
// customer's fair share of the pool.
func (p *placementPass) exceedsFairShare(s *step, pool string) bool {
	share := p.customerShares[pool][s.occurrence.job.Customer]
	return !s.LongRunning && share != nil && share.running+s.ReservedResources().CPU > share.fairShare
}

package orchestrator

import (
	"slices"

	"github.com/coltsfootlever/coltsfootlever/granter"
)

const weightScale = 100 // turns weights, which have at most two decimals, into integers

type (
	// customerShares contains, by customerState.number, how much of a pool's CPU the
	// customer uses and its fair share, in thousandths of a core. Long-running tasks
	// don't count.
	customerShares []customerShare

	// customerShare is the CPU that a customer uses in a pool, the CPU that its
	// running and waiting tasks want, and its fair share.
	customerShare struct {
		running, wanted int64
		fairShare       int64 // weighted max-min fair share of the pool
	}
)

// computeShares computes the customers' shares of all pools for which there are
// candidate steps that are not long-running.
func (p *placementPass) computeShares() {
	for _, pool := range p.engine.pools {
		pool.shares = pool.shares[:0]
	}
	p.forEachCandidate(func(c *candidateStep) {
		if c.step.LongRunning {
			return
		}
		if len(c.pool.shares) == 0 {
			c.pool.resetShares(len(p.engine.customers))
		}
		c.pool.shares[c.step.occurrence.job.customer.number].wanted += int64(c.step.waitingTasks) * c.need.CPU
	})
	for _, pool := range p.engine.pools {
		if len(pool.shares) > 0 {
			p.computeFairShares(pool)
		}
	}
}

// resetShares sets what the running tasks of each customer use in the pool.
// Long-running tasks do not count.
func (p *poolState) resetShares(customers int) {
	p.shares = slices.Grow(p.shares, customers)[:customers]
	clear(p.shares)
	for i, cpu := range p.cpu {
		p.shares[i] = customerShare{running: cpu, wanted: cpu}
	}
}

// computeFairShares sets each customer's weighted max-min fair share of the
// pool's capacity.
func (p *placementPass) computeFairShares(pool *poolState) {
	capacity, wanted := int64(p.availableCores(pool)*milliCoresPerCore), int64(0)
	for _, s := range pool.shares {
		wanted += s.wanted
	}
	if wanted <= capacity {
		for i := range pool.shares {
			pool.shares[i].fairShare = pool.shares[i].wanted
		}
		return
	}
	demands := make([]granter.Demand, 0, len(pool.shares))
	for name, c := range p.engine.customers {
		weight := 1.0
		if m := p.manifest.Customer(name); m != nil {
			weight = m.Weight
		}
		if n := int(pool.shares[c.number].wanted); n > 0 {
			demands = append(demands, granter.Demand{Team: name, Weight: int(weight * weightScale), Limit: n, Demand: n})
		}
	}
	for name, fair := range granter.Shares(int(capacity), demands) {
		pool.shares[p.engine.customers[name].number].fairShare = int64(fair)
	}
}

// addRunning adds n tasks of a step to what its customer uses.
func (all customerShares) addRunning(s *step, n int64) {
	if len(all) > 0 && !s.LongRunning {
		all[s.occurrence.job.customer.number].running += n * s.ReservedResources().CPU
	}
}

// isExceededBy reports whether another task of the step would exceed its customer's
// fair share of the pool.
func (all customerShares) isExceededBy(s *step) bool {
	if len(all) == 0 || s.LongRunning {
		return false
	}
	share := &all[s.occurrence.job.customer.number]
	return share.running+s.ReservedResources().CPU > share.fairShare
}

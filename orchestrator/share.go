package orchestrator

import (
	"github.com/coltsfootlever/coltsfootlever/granter"
	"github.com/coltsfootlever/coltsfootlever/modeler"
)

// shareView is what one pool's customers run and could run, in thousandths of a
// core of tasks that end.
type shareView struct {
	running, wanted map[string]int64
}

// markShares marks the claims of customers that have their share of a full pool
// already, so that those that have less come first.
func (p *pass) markShares(claims []claim) {
	views := make(map[string]*shareView)
	for _, c := range claims {
		if !c.step.LongRunning {
			j := c.step.occurrence.job
			v := p.shareView(views, p.manifest.Queue(j.Queue).Pool)
			v.wanted[j.Customer] += int64(c.step.waiting) * c.step.Room().CPU
		}
	}
	over := make(map[string]map[string]bool, len(views))
	for pool, v := range views {
		over[pool] = v.over(int64(p.cores(pool)*coreUnit), p.manifest)
	}
	for _, c := range claims {
		j := c.step.occurrence.job
		c.OverShare = over[p.manifest.Queue(j.Queue).Pool][j.Customer]
	}
}

// shareView returns the view of a pool, with what runs there.
func (p *pass) shareView(views map[string]*shareView, pool string) *shareView {
	if v := views[pool]; v != nil {
		return v
	}
	v := &shareView{running: make(map[string]int64), wanted: make(map[string]int64)}
	for _, w := range p.e.fleet {
		if w.Pool != pool {
			continue
		}
		for _, t := range w.tasks {
			if !t.step.LongRunning {
				v.running[t.step.occurrence.job.Customer] += t.step.Room().CPU
			}
		}
	}
	for customer, cpu := range v.running {
		v.wanted[customer] = cpu
	}
	views[pool] = v
	return v
}

// over names the customers that run their weighted share of the capacity or
// more. Nobody is over while all can have what they want.
func (v *shareView) over(capacity int64, m *modeler.Manifest) map[string]bool {
	total := int64(0)
	demands := make([]granter.Demand, 0, len(v.wanted))
	for customer, cpu := range v.wanted {
		total += cpu
		weight := 1.0
		if c := m.Customer(customer); c != nil {
			weight = c.Weight
		}
		demands = append(demands, granter.Demand{Team: customer, Weight: int(weight * weightUnit), Limit: int(cpu), Demand: int(cpu)})
	}
	if total <= capacity {
		return nil
	}
	over := make(map[string]bool)
	for customer, share := range granter.Shares(int(capacity), demands) {
		over[customer] = v.running[customer] >= int64(share)
	}
	return over
}

const weightUnit = 100 // weights of customers have two decimals at most

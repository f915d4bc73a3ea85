package planner

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/coltsfootlever/coltsfootlever/budgeter"
	"github.com/coltsfootlever/coltsfootlever/parser"
)

const (
	doublingsPerWindow = 20 // doublings of Options.MaxWait when a roll-out is a whole window behind
	maxDoublings       = 15 // above this number of doublings any wait is accepted
)

type (
	// Candidate is an instance that is in service and that a roll-out still has
	// to maintain.
	Candidate struct {
		ID            string
		Pool          string
		Zone          string
		Rack          string
		EstimatedWait time.Duration // estimated time until its running work has ended
		NotBefore     time.Time     // earliest time for the next try after a drain was undone
	}

	// State is the state of a roll-out that the decision on the next drains depends on.
	State struct {
		Now     time.Time
		Started time.Time
		Total   int // instances that the roll-out covers
		Pending []Candidate
		Absent  budgeter.Absences
		Budgets []parser.Budget
	}

	// Options are the settings of a roll-out.
	Options struct {
		// Window is the time in which the roll-out should be done; 0 for no
		// schedule.
		Window time.Duration
		// MaxWait is the longest Candidate.EstimatedWait that is accepted
		// while the roll-out is on schedule; 0 accepts any. It doubles with
		// every twentieth of the window that the roll-out is behind.
		MaxWait time.Duration
		// BudgetReserve is how many instances of the budget of each pool, zone
		// and rack the roll-out leaves unused, so that there is room for
		// failures. At least one instance of each budget can still be used.
		BudgetReserve int
	}
)

// NextDrains returns the instances whose drain should start now, in this order,
// as far as the budgets allow. The pools that would finish last come first, and
// in each pool the instances with the shortest estimated wait.
func NextDrains(s State, o Options) []Candidate {
	r := selection{counter: budgeter.NewCounter(reduceBudgets(s.Budgets, o.BudgetReserve), s.Absent), now: s.Now}
	byPool := map[string][]Candidate{}
	maxWait := o.currentMaxWait(s)
	for _, c := range s.Pending {
		byPool[c.Pool] = append(byPool[c.Pool], c)
	}
	queues := make([]poolQueue, 0, len(byPool))
	for name, list := range byPool {
		q := poolQueue{pool: name, drainRounds: r.drainRounds(name, len(list))}
		for _, c := range list {
			if !c.NotBefore.After(s.Now) && (maxWait == 0 || c.EstimatedWait <= maxWait) {
				q.candidates = append(q.candidates, c)
			}
		}
		slices.SortFunc(q.candidates, compareByWait)
		queues = append(queues, q)
	}
	slices.SortFunc(queues, func(a, b poolQueue) int {
		return cmp.Or(cmp.Compare(b.drainRounds, a.drainRounds), cmp.Compare(a.pool, b.pool))
	})
	for _, q := range queues {
		r.selectWithinBudgets(q.candidates)
	}
	return r.selected
}

type (
	// poolQueue holds the candidates of one pool.
	poolQueue struct {
		pool        string
		drainRounds int // number of drains that the pool needs one after another
		candidates  []Candidate
	}

	// selection is the state of one call of NextDrains.
	selection struct {
		counter  *budgeter.Counter
		now      time.Time
		selected []Candidate
	}
)

// plannedAbsence returns the absence with which a drain of the candidate counts against the budgets.
func (c Candidate) plannedAbsence(now time.Time) budgeter.Absence {
	return budgeter.Absence{Instance: c.ID, Pool: c.Pool, Zone: c.Zone, Rack: c.Rack, Kind: budgeter.Planned, Since: now}
}

func compareByWait(a, b Candidate) int {
	return cmp.Or(cmp.Compare(a.EstimatedWait, b.EstimatedWait), cmp.Compare(a.ID, b.ID))
}

// drainRounds returns how many drains one after another n instances of a pool
// need, if each drain takes as many instances as the budget of the pool allows.
func (r *selection) drainRounds(pool string, n int) int {
	limit, ok := r.counter.MaxAbsent(parser.PoolScope, pool)
	if !ok {
		return 1
	}
	limit = max(1, limit)
	return (n + limit - 1) / limit
}

func (r *selection) selectWithinBudgets(list []Candidate) {
	for _, c := range list {
		x := c.plannedAbsence(r.now)
		if _, spent := r.counter.Exhausted(x); spent {
			continue
		}
		r.counter.Add(x)
		r.selected = append(r.selected, c)
	}
}

// currentMaxWait returns the longest estimated wait that is accepted now; 0 accepts any.
func (o Options) currentMaxWait(s State) time.Duration {
	if o.Window <= 0 || s.Total == 0 {
		return o.MaxWait
	}
	elapsedShare := float64(s.Now.Sub(s.Started)) / float64(o.Window)
	doneShare := float64(s.Total-len(s.Pending)) / float64(s.Total)
	doublings := max(0, elapsedShare-doneShare) * doublingsPerWindow
	if doublings > maxDoublings {
		return 0
	}
	return time.Duration(float64(o.MaxWait) * math.Exp2(doublings))
}

// reduceBudgets returns the budgets lowered by n absent instances each, but not
// below 1 unless a budget was 0 before.
func reduceBudgets(budgets []parser.Budget, n int) []parser.Budget {
	if n == 0 {
		return budgets
	}
	list := slices.Clone(budgets)
	for k, b := range list {
		list[k].MaxAbsent = max(min(1, b.MaxAbsent), b.MaxAbsent-n)
	}
	return list
}

// PlanWaves returns the drains of a whole roll-out in waves, where every
// instance of a wave is back in service before the next wave starts. Instances
// whose drain the budgets never allow are left out.
func PlanWaves(s State, o Options) [][]Candidate {
	o.Window, o.MaxWait = 0, 0
	var waves [][]Candidate
	for len(s.Pending) > 0 {
		wave := NextDrains(s, o)
		if len(wave) == 0 {
			break
		}
		waves = append(waves, wave)
		drained := map[string]bool{}
		for _, c := range wave {
			drained[c.ID] = true
		}
		s.Pending = slices.DeleteFunc(slices.Clone(s.Pending), func(c Candidate) bool { return drained[c.ID] })
	}
	return waves
}

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
	doublingsPerWindow = 20 // of the patience in a roll-out that is a whole window behind
	maxDoublings       = 15 // of the patience, after which any wait is accepted
)

type (
	// Candidate is an instance that a roll-out still has to maintain and that
	// is in service.
	Candidate struct {
		ID            string
		Pool          string
		Zone          string
		Rack          string
		EstimatedWait time.Duration // estimate of the time until its running work has ended
		NotBefore     time.Time     // an earlier drain was undone; try again from here on
	}

	// State is what the next drains of a roll-out are decided on.
	State struct {
		Now     time.Time
		Started time.Time
		Total   int // instances that the roll-out covers
		Pending []Candidate
		Absent  budgeter.Absences
		Budgets []parser.Budget
	}

	// Options sets up the decisions.
	Options struct {
		// Window is the time in which the roll-out should be done; 0 sets no
		// pace.
		Window time.Duration
		// MaxWait is the longest Wait that is accepted while the roll-out
		// keeps an even pace; 0 accepts any. It doubles with every part of
		// the window that the roll-out is behind.
		MaxWait time.Duration
		// BudgetReserve is how many units of each pool's, zone's and rack's budget
		// stay free for failures, as far as at least one unit remains.
		BudgetReserve int
	}
)

// NextDrains returns the instances whose drain should start now, in this order. It
// takes the instance with the least running work of each pool, and the pools
// that would finish last first, as long as the budgets have room.
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
	// poolQueue is the candidates of one pool.
	poolQueue struct {
		pool        string
		drainRounds int // drains one after another that the pool still needs
		candidates  []Candidate
	}

	// selection is one decision under way.
	selection struct {
		counter  *budgeter.Counter
		now      time.Time
		selected []Candidate
	}
)

// plannedAbsence returns what a drain of the candidate would take from the budgets.
func (c Candidate) plannedAbsence(now time.Time) budgeter.Absence {
	return budgeter.Absence{Instance: c.ID, Pool: c.Pool, Zone: c.Zone, Rack: c.Rack, Kind: budgeter.Planned, Since: now}
}

func compareByWait(a, b Candidate) int {
	return cmp.Or(cmp.Compare(a.EstimatedWait, b.EstimatedWait), cmp.Compare(a.ID, b.ID))
}

// drainRounds returns how many drains one after another n instances of a pool need.
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

// maxWait returns the longest wait accepted now, 0 for any.
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

// reduceBudgets returns budgets with n units less, but at least one unit where there
// was one.
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

// PlanWaves returns the drains of a whole roll-out as they would follow one another
// if every instance of a wave returned before the next wave starts. Instances
// that no budget ever lets go are left out.
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

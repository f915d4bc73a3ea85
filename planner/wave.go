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
	doublings    = 20 // of the patience in a roll-out that is a whole window behind
	maxDoublings = 15 // of the patience, after which any wait is accepted
)

type (
	// Candidate is an instance that a roll-out still has to maintain and that
	// is in service.
	Candidate struct {
		ID        string
		Pool      string
		Zone      string
		Rack      string
		Wait      time.Duration // estimate of the time until its running work has ended
		NotBefore time.Time     // an earlier drain was undone; try again from here on
	}

	// State is what the next drains of a roll-out are decided on.
	State struct {
		Now     time.Time
		Started time.Time
		Total   int // instances that the roll-out covers
		Todo    []Candidate
		Absent  budgeter.Absences
		Budgets []parser.Budget
	}

	// Options sets up the decisions.
	Options struct {
		// Window is the time in which the roll-out should be done; 0 sets no
		// pace.
		Window time.Duration
		// Patience is the longest Wait that is accepted while the roll-out
		// keeps an even pace; 0 accepts any. It doubles with every part of
		// the window that the roll-out is behind.
		Patience time.Duration
		// Reserve is how many units of each pool's, zone's and rack's budget
		// stay free for failures, as far as at least one unit remains.
		Reserve int
	}
)

// Next returns the instances whose drain should start now, in this order. It
// takes the instance with the least running work of each pool, and the pools
// that would finish last first, as long as the budgets have room.
func Next(s State, o Options) []Candidate {
	r := round{counter: budgeter.NewCounter(reserve(s.Budgets, o.Reserve), s.Absent), now: s.Now}
	byPool := map[string][]Candidate{}
	patience := o.patience(s)
	for _, c := range s.Todo {
		byPool[c.Pool] = append(byPool[c.Pool], c)
	}
	queues := make([]queue, 0, len(byPool))
	for name, list := range byPool {
		q := queue{pool: name, rounds: r.rounds(name, len(list))}
		for _, c := range list {
			if !c.NotBefore.After(s.Now) && (patience == 0 || c.Wait <= patience) {
				q.list = append(q.list, c)
			}
		}
		slices.SortFunc(q.list, byWait)
		queues = append(queues, q)
	}
	slices.SortFunc(queues, func(a, b queue) int {
		return cmp.Or(cmp.Compare(b.rounds, a.rounds), cmp.Compare(a.pool, b.pool))
	})
	for _, q := range queues {
		r.take(q.list)
	}
	return r.taken
}

type (
	// queue is the candidates of one pool.
	queue struct {
		pool   string
		rounds int // drains one after another that the pool still needs
		list   []Candidate
	}

	// round is one decision under way.
	round struct {
		counter *budgeter.Counter
		now     time.Time
		taken   []Candidate
	}
)

// absence returns what a drain of the candidate would take from the budgets.
func (c Candidate) absence(now time.Time) budgeter.Absence {
	return budgeter.Absence{Instance: c.ID, Pool: c.Pool, Zone: c.Zone, Rack: c.Rack, Kind: budgeter.Planned, Since: now}
}

func byWait(a, b Candidate) int {
	return cmp.Or(cmp.Compare(a.Wait, b.Wait), cmp.Compare(a.ID, b.ID))
}

// rounds returns how many drains one after another n instances of a pool need.
func (r *round) rounds(pool string, n int) int {
	limit, ok := r.counter.MaxAbsent(parser.PoolScope, pool)
	if !ok {
		return 1
	}
	limit = max(1, limit)
	return (n + limit - 1) / limit
}

func (r *round) take(list []Candidate) {
	for _, c := range list {
		x := c.absence(r.now)
		if _, spent := r.counter.Exhausted(x); spent {
			continue
		}
		r.counter.Add(x)
		r.taken = append(r.taken, c)
	}
}

// patience returns the longest wait accepted now, 0 for any.
func (o Options) patience(s State) time.Duration {
	if o.Window <= 0 || s.Total == 0 {
		return o.Patience
	}
	spent := float64(s.Now.Sub(s.Started)) / float64(o.Window)
	done := float64(s.Total-len(s.Todo)) / float64(s.Total)
	behind := max(0, spent-done) * doublings
	if behind > maxDoublings {
		return 0
	}
	return time.Duration(float64(o.Patience) * math.Exp2(behind))
}

// reserve returns budgets with n units less, but at least one unit where there
// was one.
func reserve(budgets []parser.Budget, n int) []parser.Budget {
	if n == 0 {
		return budgets
	}
	list := slices.Clone(budgets)
	for k, b := range list {
		list[k].MaxAbsent = max(min(1, b.MaxAbsent), b.MaxAbsent-n)
	}
	return list
}

// Waves returns the drains of a whole roll-out as they would follow one another
// if every instance of a wave returned before the next wave starts. Instances
// that no budget ever lets go are left out.
func Waves(s State, o Options) [][]Candidate {
	o.Window, o.Patience = 0, 0
	var waves [][]Candidate
	for len(s.Todo) > 0 {
		wave := Next(s, o)
		if len(wave) == 0 {
			break
		}
		waves = append(waves, wave)
		taken := map[string]bool{}
		for _, c := range wave {
			taken[c.ID] = true
		}
		s.Todo = slices.DeleteFunc(slices.Clone(s.Todo), func(c Candidate) bool { return taken[c.ID] })
	}
	return waves
}

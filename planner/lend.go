package planner

import (
	"cmp"
	"slices"
	"time"
)

type (
	// Demand is the load of one pool.
	Demand struct {
		Pool     string
		Spare    bool // its instances may be lent
		Slots    int  // slots that take work, borrowed ones included
		Running  int  // slots in use
		Waiting  int  // slots that waiting tasks would take
		Borrowed int  // instances on loan to the pool
		Lendable int  // instances that a spare pool can lend now
	}

	// Loan is the decision to move one instance.
	Loan struct {
		From   string
		To     string
		Return bool // a lent instance goes back to its spare pool
		Reason string
	}

	// LendOptions sets up a Lender.
	LendOptions struct {
		NeedFor     time.Duration // a pool must be in need for this long
		IdleFor     time.Duration // a pool must do without its loan for this long
		HoldFor     time.Duration // a loan lasts at least this long
		Slots       int           // slots of one instance
		MoveCost    time.Duration // work that one slot loses by a move
		KeepLending int           // instances that a spare pool keeps for failures
		MaxBorrowed int           // instances on loan to one pool
	}

	// Lender decides on loans from the spare pools. It remembers since when
	// each pool has been in need or idle, so that a burst moves nothing.
	Lender struct {
		o     LendOptions
		need  map[string]time.Time
		idle  map[string]time.Time
		moved map[string]time.Time
	}
)

// DefaultLendOptions returns options for instances of 8 slots.
func DefaultLendOptions() LendOptions {
	return LendOptions{
		NeedFor: 30 * time.Second, IdleFor: 5 * time.Minute, HoldFor: 10 * time.Minute,
		Slots: 8, MoveCost: 10 * time.Second, KeepLending: 1, MaxBorrowed: 4,
	}
}

// NewLender returns a Lender that has seen nothing yet.
func NewLender(o LendOptions) *Lender {
	return &Lender{o: o, need: map[string]time.Time{}, idle: map[string]time.Time{}, moved: map[string]time.Time{}}
}

// Decide returns the moves to make now, at most one to or from each pool.
func (l *Lender) Decide(pools []Demand, now time.Time) []Loan {
	pools = slices.Clone(pools)
	slices.SortFunc(pools, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(b.Waiting, a.Waiting), cmp.Compare(a.Pool, b.Pool))
	})
	var loans []Loan
	lent := map[string]int{}
	for _, p := range pools {
		if p.Spare {
			continue
		}
		needs := l.lasts(l.need, p.Pool, l.inNeed(p), l.o.NeedFor, now)
		idles := l.lasts(l.idle, p.Pool, l.canReturn(p), l.o.IdleFor, now)
		switch {
		case needs && p.Borrowed < l.o.MaxBorrowed:
			if from, ok := l.lender(pools, lent); ok {
				lent[from]++
				loans = append(loans, l.move(p, Loan{From: from, To: p.Pool, Reason: "waiting work is worth more than the move"}, now))
			}
		case idles && now.Sub(l.moved[p.Pool]) >= l.o.HoldFor:
			loans = append(loans, l.move(p, Loan{From: p.Pool, Return: true, Reason: "its work fits its own instances"}, now))
		}
	}
	return loans
}

func (l *Lender) move(p Demand, loan Loan, now time.Time) Loan {
	l.moved[p.Pool] = now
	delete(l.need, p.Pool)
	delete(l.idle, p.Pool)
	return loan
}

// inNeed reports whether the waiting work is worth a move: an instance more
// would be in use, and would start more work in NeedFor than the move costs.
func (l *Lender) inNeed(p Demand) bool {
	gain := time.Duration(min(p.Waiting, l.o.Slots)) * l.o.NeedFor
	cost := time.Duration(l.o.Slots) * l.o.MoveCost
	return p.Waiting >= l.o.Slots && p.Running+p.Waiting > p.Slots && gain > cost
}

// canReturn reports whether the pool would still have a quarter of its slots
// free without one borrowed instance.
func (l *Lender) canReturn(p Demand) bool {
	own := p.Slots - l.o.Slots
	return p.Borrowed > 0 && 4*(p.Running+p.Waiting) < 3*own
}

// lasts reports whether a condition has held for d.
func (l *Lender) lasts(since map[string]time.Time, pool string, holds bool, d time.Duration, now time.Time) bool {
	if !holds {
		delete(since, pool)
		return false
	}
	if _, ok := since[pool]; !ok {
		since[pool] = now
	}
	return now.Sub(since[pool]) >= d
}

// lender returns the spare pool with the most instances to lend.
func (l *Lender) lender(pools []Demand, lent map[string]int) (string, bool) {
	best, most := "", 0
	for _, p := range pools {
		left := p.Lendable - lent[p.Pool] - l.o.KeepLending
		if p.Spare && left > most {
			best, most = p.Pool, left
		}
	}
	return best, most > 0
}

package planner

import (
	"cmp"
	"slices"
	"time"
)

type (
	// PoolDemand is the load of one pool.
	PoolDemand struct {
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
		MinNeedTime      time.Duration // a pool must be in need for this long
		MinIdleTime      time.Duration // a pool must do without its loan for this long
		MinLoanTime      time.Duration // a loan lasts at least this long
		SlotsPerInstance int           // slots of one instance
		MoveCost         time.Duration // work that one slot loses by a move
		KeptForFailures  int           // instances that a spare pool keeps for failures
		MaxBorrowed      int           // instances on loan to one pool
	}

	// Lender decides on loans from the spare pools. It remembers since when
	// each pool has been in need or idle, so that a burst moves nothing.
	Lender struct {
		options   LendOptions
		needSince map[string]time.Time
		idleSince map[string]time.Time
		lastMove  map[string]time.Time
	}
)

// DefaultLendOptions returns options for instances of 8 slots.
func DefaultLendOptions() LendOptions {
	return LendOptions{
		MinNeedTime: 30 * time.Second, MinIdleTime: 5 * time.Minute, MinLoanTime: 10 * time.Minute,
		SlotsPerInstance: 8, MoveCost: 10 * time.Second, KeptForFailures: 1, MaxBorrowed: 4,
	}
}

// NewLender returns a Lender that has seen nothing yet.
func NewLender(o LendOptions) *Lender {
	return &Lender{options: o, needSince: map[string]time.Time{}, idleSince: map[string]time.Time{}, lastMove: map[string]time.Time{}}
}

// DecideLoans returns the moves to make now, at most one to or from each pool.
func (l *Lender) DecideLoans(pools []PoolDemand, now time.Time) []Loan {
	pools = slices.Clone(pools)
	slices.SortFunc(pools, func(a, b PoolDemand) int {
		return cmp.Or(cmp.Compare(b.Waiting, a.Waiting), cmp.Compare(a.Pool, b.Pool))
	})
	var loans []Loan
	lent := map[string]int{}
	for _, p := range pools {
		if p.Spare {
			continue
		}
		inNeed := l.hasLasted(l.needSince, p.Pool, l.needsInstance(p), l.options.MinNeedTime, now)
		isIdle := l.hasLasted(l.idleSince, p.Pool, l.canReturnInstance(p), l.options.MinIdleTime, now)
		switch {
		case inNeed && p.Borrowed < l.options.MaxBorrowed:
			if from, ok := l.poolToBorrowFrom(pools, lent); ok {
				lent[from]++
				loans = append(loans, l.recordMove(p, Loan{From: from, To: p.Pool, Reason: "waiting work is worth more than the move"}, now))
			}
		case isIdle && now.Sub(l.lastMove[p.Pool]) >= l.options.MinLoanTime:
			loans = append(loans, l.recordMove(p, Loan{From: p.Pool, Return: true, Reason: "its work fits its own instances"}, now))
		}
	}
	return loans
}

func (l *Lender) recordMove(p PoolDemand, loan Loan, now time.Time) Loan {
	l.lastMove[p.Pool] = now
	delete(l.needSince, p.Pool)
	delete(l.idleSince, p.Pool)
	return loan
}

// needsInstance reports whether the waiting work is worth a move: an instance more
// would be in use, and would start more work in NeedFor than the move costs.
func (l *Lender) needsInstance(p PoolDemand) bool {
	gain := time.Duration(min(p.Waiting, l.options.SlotsPerInstance)) * l.options.MinNeedTime
	cost := time.Duration(l.options.SlotsPerInstance) * l.options.MoveCost
	return p.Waiting >= l.options.SlotsPerInstance && p.Running+p.Waiting > p.Slots && gain > cost
}

// canReturnInstance reports whether the pool would still have a quarter of its slots
// free without one borrowed instance.
func (l *Lender) canReturnInstance(p PoolDemand) bool {
	slotsAfterReturn := p.Slots - l.options.SlotsPerInstance
	return p.Borrowed > 0 && 4*(p.Running+p.Waiting) < 3*slotsAfterReturn
}

// hasLasted reports whether a condition has held for d.
func (l *Lender) hasLasted(since map[string]time.Time, pool string, holds bool, minTime time.Duration, now time.Time) bool {
	if !holds {
		delete(since, pool)
		return false
	}
	if _, ok := since[pool]; !ok {
		since[pool] = now
	}
	return now.Sub(since[pool]) >= minTime
}

// poolToBorrowFrom returns the spare pool with the most instances to lend.
func (l *Lender) poolToBorrowFrom(pools []PoolDemand, lentNow map[string]int) (string, bool) {
	best, most := "", 0
	for _, p := range pools {
		left := p.Lendable - lentNow[p.Pool] - l.options.KeptForFailures
		if p.Spare && left > most {
			best, most = p.Pool, left
		}
	}
	return best, most > 0
}

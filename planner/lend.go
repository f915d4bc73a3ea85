package planner

import (
	"cmp"
	"slices"
	"time"
)

type (
	// PoolDemand is the load of one pool and what it can lend.
	PoolDemand struct {
		Pool     string
		Spare    bool // a spare pool, whose instances may be lent
		Slots    int  // slots that accept work, including those of borrowed instances
		Running  int  // slots in use
		Waiting  int  // slots that the waiting tasks need
		Borrowed int  // instances that the pool has borrowed
		Lendable int  // instances of a spare pool that it can lend now
	}

	// Loan is a decision to lend one instance or to return it.
	Loan struct {
		From   string
		To     string
		Return bool // the instance returns to its spare pool, and To is empty
		Reason string
	}

	// LendOptions are the settings of a Lender.
	LendOptions struct {
		MinNeedTime      time.Duration // a pool must need an instance for this long before it gets one
		MinIdleTime      time.Duration // a pool must not need its borrowed instances for this long before it returns one
		MinLoanTime      time.Duration // a pool keeps its borrowed instances at least this long after its last move
		SlotsPerInstance int           // slots of an instance
		MoveCost         time.Duration // working time that one slot loses in a move
		KeptForFailures  int           // instances that a spare pool does not lend, so that they can replace failed ones
		MaxBorrowed      int           // maximum number of instances that one pool borrows
	}

	// Lender decides which instances the spare pools lend. It remembers since
	// when each pool has needed an instance or has not needed its borrowed
	// ones, so that a short burst of load causes no move.
	Lender struct {
		options   LendOptions
		needSince map[string]time.Time
		idleSince map[string]time.Time
		lastMove  map[string]time.Time
	}
)

// DefaultLendOptions returns the settings for instances with 8 slots.
func DefaultLendOptions() LendOptions {
	return LendOptions{
		MinNeedTime: 30 * time.Second, MinIdleTime: 5 * time.Minute, MinLoanTime: 10 * time.Minute,
		SlotsPerInstance: 8, MoveCost: 10 * time.Second, KeptForFailures: 1, MaxBorrowed: 4,
	}
}

// NewLender returns a Lender without history.
func NewLender(o LendOptions) *Lender {
	return &Lender{options: o, needSince: map[string]time.Time{}, idleSince: map[string]time.Time{}, lastMove: map[string]time.Time{}}
}

// DecideLoans returns the moves to start now, at most one to or from each pool that is not a spare pool.
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

// needsInstance reports whether the waiting work justifies a move: the pool
// would use all slots of another instance, and these would do more work within
// MinNeedTime than the move costs.
func (l *Lender) needsInstance(p PoolDemand) bool {
	gain := time.Duration(min(p.Waiting, l.options.SlotsPerInstance)) * l.options.MinNeedTime
	cost := time.Duration(l.options.SlotsPerInstance) * l.options.MoveCost
	return p.Waiting >= l.options.SlotsPerInstance && p.Running+p.Waiting > p.Slots && gain > cost
}

// canReturnInstance reports whether the pool would still have a quarter of its
// slots free after it returned one borrowed instance.
func (l *Lender) canReturnInstance(p PoolDemand) bool {
	slotsAfterReturn := p.Slots - l.options.SlotsPerInstance
	return p.Borrowed > 0 && 4*(p.Running+p.Waiting) < 3*slotsAfterReturn
}

// hasLasted updates since and reports whether the condition has held for minTime without a break.
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

// poolToBorrowFrom returns the spare pool that can lend the most instances.
// lentNow counts the loans already decided in this call of DecideLoans.
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

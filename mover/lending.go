package mover

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/budgeter"
	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/messenger"
	"github.com/coltsfootlever/coltsfootlever/parser"
	"github.com/coltsfootlever/coltsfootlever/planner"
	"github.com/coltsfootlever/coltsfootlever/recorder"
)

const lendingPeriod = 5 * time.Second

// LendingController lends instances of spare pools to overloaded pools and
// returns them later, while its member is the leader for lending.
type LendingController struct {
	coordinator *Coordinator
	orders      *Orders
	loads       func() []messenger.PoolLoad
	lender      *planner.Lender
}

// NewLendingController returns a LendingController. loads returns the load of
// the pools, one entry for each pair of member and pool.
func NewLendingController(c *Coordinator, orders *Orders, loads func() []messenger.PoolLoad, o planner.LendOptions) *LendingController {
	return &LendingController{coordinator: c, orders: orders, loads: loads, lender: planner.NewLender(o)}
}

// Run runs lending rounds until ctx ends, while this member is the leader.
func (l *LendingController) Run(ctx context.Context) error {
	tick := time.NewTicker(lendingPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		if !l.coordinator.leadership.Held() || !l.coordinator.hasCurrentData() {
			continue
		}
		if err := l.runRound(ctx); err != nil {
			l.coordinator.mover.cfg.log.Warn("lending round failed; retrying in the next round", "err", err)
		}
	}
}

func (l *LendingController) runRound(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	rules := l.coordinator.rules()
	if rules == nil {
		return nil
	}
	absent, err := l.coordinator.budgets.Absences(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	absent = absent.WithEvacuated(l.coordinator.mover.EvacuatedAbsences())
	fleet := l.coordinator.mover.table.All()
	for _, loan := range l.lender.DecideLoans(poolDemands(rules, fleet, l.loads(), absent), time.Now()) {
		if err := l.moveForLoan(ctx, fleet, loan, absent); err != nil {
			return err
		}
	}
	return nil
}

// poolDemands returns the total load of each pool and how many of its instances
// are borrowed or can be lent.
func poolDemands(rules *parser.Rules, fleet []Instance, loads []messenger.PoolLoad, absent budgeter.Absences) []planner.PoolDemand {
	list := make([]planner.PoolDemand, 0, len(rules.Pools))
	for _, p := range rules.Pools {
		d := planner.PoolDemand{Pool: p.Name, Spare: p.Spare}
		for _, load := range loads {
			if load.Pool == p.Name {
				d.Slots += load.Slots
				d.Running += load.Running
				d.Waiting += load.Waiting
			}
		}
		for _, i := range fleet {
			switch {
			case i.Pool != p.Name:
			case i.Home != i.Pool:
				d.Borrowed++
			case isLendable(i, absent):
				d.Lendable++
			}
		}
		list = append(list, d)
	}
	return list
}

func isLendable(i Instance, absent budgeter.Absences) bool {
	_, out := absent.Find(i.ID)
	return i.Phase == Serving && i.Order == nil && i.Unhealthy == "" && !out
}

// moveForLoan orders the move of one instance for a loan or for the return of a
// loan. If the order on an instance is refused, for example because another
// order came first, it tries the next instance.
func (l *LendingController) moveForLoan(ctx context.Context, fleet []Instance, loan planner.Loan, absent budgeter.Absences) error {
	for _, i := range fleet {
		to := loan.To
		if loan.Return {
			to = i.Home
		}
		if i.Pool != loan.From || !isLendable(i, absent) || loan.Return != (i.Home != i.Pool) {
			continue
		}
		ordered, err := l.orders.Lend(ctx, i.ID, to, "lending")
		var refusal *classifier.Error
		if errors.As(err, &refusal) {
			continue
		}
		if err == nil {
			l.coordinator.recordDecision(ordered, "lending: "+loan.Reason, recorder.Fact{Name: "to", Value: to})
		}
		return errors.Trace(err)
	}
	return nil
}

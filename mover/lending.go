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

// LendingController moves instances between the spare pools and pools in need while its
// member holds the duty.
type LendingController struct {
	coordinator *Coordinator
	orders      *Orders
	loads       func() []messenger.PoolLoad
	lender      *planner.Lender
}

// NewLendingController returns a Lending. loads returns the load of each pool, one line
// for each member and pool.
func NewLendingController(c *Coordinator, orders *Orders, loads func() []messenger.PoolLoad, o planner.LendOptions) *LendingController {
	return &LendingController{coordinator: c, orders: orders, loads: loads, lender: planner.NewLender(o)}
}

// Run works until ctx ends.
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
			l.coordinator.mover.cfg.log.Warn("lending incomplete", "err", err)
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
	fleet := l.coordinator.mover.table.All()
	for _, loan := range l.lender.Decide(poolDemands(rules, fleet, l.loads(), absent), time.Now()) {
		if err := l.moveForLoan(ctx, fleet, loan, absent); err != nil {
			return err
		}
	}
	return nil
}

// demands sums up the load of each pool.
func poolDemands(rules *parser.Rules, fleet []Instance, loads []messenger.PoolLoad, absent budgeter.Absences) []planner.Demand {
	list := make([]planner.Demand, 0, len(rules.Pools))
	for _, p := range rules.Pools {
		d := planner.Demand{Pool: p.Name, Spare: p.Spare}
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

// move orders one loan. An instance that another order is faster to take is
// passed over for the next.
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

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

// Lending moves instances between the spare pools and pools in need while its
// member holds the duty.
type Lending struct {
	c      *Coordinator
	orders *Orders
	loads  func() []messenger.PoolLoad
	lender *planner.Lender
}

// NewLending returns a Lending. loads returns the load of each pool, one line
// for each member and pool.
func NewLending(c *Coordinator, orders *Orders, loads func() []messenger.PoolLoad, o planner.LendOptions) *Lending {
	return &Lending{c: c, orders: orders, loads: loads, lender: planner.NewLender(o)}
}

// Run works until ctx ends.
func (l *Lending) Run(ctx context.Context) error {
	tick := time.NewTicker(lendingPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		if !l.c.duty.Held() || !l.c.fresh() {
			continue
		}
		if err := l.round(ctx); err != nil {
			l.c.m.cfg.log.Warn("lending incomplete", "err", err)
		}
	}
}

func (l *Lending) round(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callsLimit)
	defer cancel()
	rules := l.c.rules()
	if rules == nil {
		return nil
	}
	absent, err := l.c.budgets.Absences(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	fleet := l.c.m.table.All()
	for _, loan := range l.lender.Decide(demands(rules, fleet, l.loads(), absent), time.Now()) {
		if err := l.move(ctx, fleet, loan, absent); err != nil {
			return err
		}
	}
	return nil
}

// demands sums up the load of each pool.
func demands(rules *parser.Rules, fleet []Instance, loads []messenger.PoolLoad, absent budgeter.Absences) []planner.Demand {
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
			case lendable(i, absent):
				d.Lendable++
			}
		}
		list = append(list, d)
	}
	return list
}

func lendable(i Instance, absent budgeter.Absences) bool {
	_, out := absent.Find(i.ID)
	return i.Phase == Serving && i.Order == nil && i.Sick == "" && !out
}

// move orders one loan. An instance that another order is faster to take is
// passed over for the next.
func (l *Lending) move(ctx context.Context, fleet []Instance, loan planner.Loan, absent budgeter.Absences) error {
	for _, i := range fleet {
		to := loan.To
		if loan.Return {
			to = i.Home
		}
		if i.Pool != loan.From || !lendable(i, absent) || loan.Return != (i.Home != i.Pool) {
			continue
		}
		ordered, err := l.orders.Lend(ctx, i.ID, to, "lending")
		var refusal *classifier.Error
		if errors.As(err, &refusal) {
			continue
		}
		if err == nil {
			l.c.note(ordered, "lending: "+loan.Reason, recorder.Fact{Name: "to", Value: to})
		}
		return errors.Trace(err)
	}
	return nil
}

package budgeter

import (
	"context"
	"log/slog"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/parser"
)

type (
	// Store is the part of the key-value service that the package uses.
	Store interface {
		Get(ctx context.Context, key string) (keeper.Record, error)
		Swap(ctx context.Context, key string, value []byte, revision int64, lease keeper.LeaseID) (keeper.Record, error)
	}

	// Budgeter takes absences from the budgets and gives them back.
	Budgeter struct {
		store  Store
		rules  func() *parser.Rules
		assert func(ok bool, format string, args ...any)
	}

	// Option sets up a Budgeter.
	Option func(*Budgeter)
)

// WithAssert sets what is called with each invariant.
func WithAssert(fn func(ok bool, format string, args ...any)) Option {
	return func(b *Budgeter) { b.assert = fn }
}

// New returns a Budgeter. rules returns the rules in force, or nil while they
// are unknown.
func New(store Store, rules func() *parser.Rules, opts ...Option) *Budgeter {
	b := &Budgeter{store: store, rules: rules, assert: func(ok bool, format string, args ...any) {
		if !ok {
			slog.Error("invariant broken", "what", errors.Errorf(format, args...).Error())
		}
	}}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// Absences returns the record of all absences.
func (b *Budgeter) Absences(ctx context.Context) (Absences, error) {
	rec, err := b.store.Get(ctx, keeper.AbsencesKey)
	if err != nil {
		return Absences{}, errors.Trace(err)
	}
	return keeper.Decode[Absences](rec)
}

// Take records a planned absence. It refuses with BudgetSpent when a budget
// has no room, with Conflict when the instance is out of service already or
// when an absence was granted under later rules, and with Unready without
// rules. Taking the same absence for the same order again changes nothing.
// After keeper.ErrUnknown it may have been taken.
func (b *Budgeter) Take(ctx context.Context, x Absence) error {
	x.Kind = Planned
	rules := b.rules()
	if rules == nil {
		return classifier.Refuse(classifier.Unready, "no rules are known yet, so no budget is")
	}
	taken := false
	next, _, err := keeper.Update(ctx, b.store, keeper.AbsencesKey, func(cur Absences, _ bool) (Absences, bool, error) {
		taken = false
		if held, ok := cur.Find(x.Instance); ok && held.Order == x.Order && held.Kind == Planned {
			return cur, false, nil
		}
		if err := checkTakeable(rules, cur, x); err != nil {
			return cur, false, err
		}
		next := cur.with(x)
		next.Rules = rules.Number
		taken = true
		return next, true, nil
	})
	if err != nil {
		return errors.Trace(err)
	}
	if taken {
		b.assertWithinBudget(rules, next, x)
	}
	return nil
}

// admit refuses an absence that must not be taken.
func checkTakeable(rules *parser.Rules, cur Absences, x Absence) error {
	if rules.Number < cur.Rules {
		return classifier.Refuse(classifier.Conflict, "budgets of rules %d are in force, this entry knows rules %d", cur.Rules, rules.Number)
	}
	if held, ok := cur.Find(x.Instance); ok {
		return classifier.Refuse(classifier.Conflict, "instance %s is absent already: %s %s", x.Instance, held.Kind, held.Order)
	}
	return CheckRoom(rules.Budgets, cur, x)
}

// check asserts that the planned absence x, just taken, overdraws no budget.
func (b *Budgeter) assertWithinBudget(rules *parser.Rules, a Absences, x Absence) {
	err := CheckRoom(rules.Budgets, a, x)
	_, ok := a.Find(x.Instance)
	b.assert(err == nil, "planned absence overdraws: %v", err)
	b.assert(ok, "absence of %s not recorded", x.Instance)
}

// MarkUnplanned records that an instance is out of service by itself. It is
// never refused for want of budget. An order that had taken the absence keeps
// it.
func (b *Budgeter) MarkUnplanned(ctx context.Context, x Absence) error {
	_, _, err := keeper.Update(ctx, b.store, keeper.AbsencesKey, func(cur Absences, _ bool) (Absences, bool, error) {
		next := x
		next.Kind, next.Order = Unplanned, ""
		if held, ok := cur.Find(x.Instance); ok {
			next.Order, next.Since = held.Order, held.Since
			if held.Kind == Unplanned {
				return cur, false, nil
			}
		}
		return cur.with(next), true, nil
	})
	return errors.Trace(err)
}

// Return ends the absence that an order holds on an instance; an empty order
// is that of an unplanned absence. The caller has seen the instance healthy,
// or it has left the fleet for good. An absence under another order stays.
func (b *Budgeter) Return(ctx context.Context, instance, order string) error {
	_, _, err := keeper.Update(ctx, b.store, keeper.AbsencesKey, func(cur Absences, _ bool) (Absences, bool, error) {
		held, ok := cur.Find(instance)
		if !ok || held.Order != order {
			return cur, false, nil
		}
		return cur.without(instance), true, nil
	})
	return errors.Trace(err)
}

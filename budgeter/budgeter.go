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
	// Store is the part of the key-value store client that this package uses.
	Store interface {
		Get(ctx context.Context, key string) (keeper.Record, error)
		Swap(ctx context.Context, key string, value []byte, revision int64, lease keeper.LeaseID) (keeper.Record, error)
	}

	// Budgeter records the start and the end of absences and enforces the budgets.
	Budgeter struct {
		store  Store
		rules  func() *parser.Rules
		assert func(ok bool, format string, args ...any)
		// evacuated returns the absences of the instances in evacuated zones.
		evacuated func() []Absence
	}

	// Option configures a Budgeter.
	Option func(*Budgeter)
)

// WithAssert sets the function that is called with the result of each invariant
// check. The default logs the checks that fail.
func WithAssert(fn func(ok bool, format string, args ...any)) Option {
	return func(b *Budgeter) { b.assert = fn }
}

// WithEvacuated sets the function that returns the absences of the instances in
// evacuated zones. They count against the budgets, but are not stored.
func WithEvacuated(fn func() []Absence) Option {
	return func(b *Budgeter) { b.evacuated = fn }
}

// New returns a Budgeter. rules returns the rules in force, which contain the
// budgets, or nil while they are not loaded.
func New(store Store, rules func() *parser.Rules, opts ...Option) *Budgeter {
	b := &Budgeter{store: store, rules: rules, evacuated: func() []Absence { return nil }}
	b.assert = func(ok bool, format string, args ...any) {
		if !ok {
			slog.Error("invariant broken", "what", errors.Errorf(format, args...).Error())
		}
	}
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

// CountedAbsences returns all absences that count against the budgets: the
// recorded ones and those of the instances in evacuated zones.
func (b *Budgeter) CountedAbsences(ctx context.Context) (Absences, error) {
	a, err := b.Absences(ctx)
	return a.WithEvacuated(b.evacuated()), err
}

// StartAbsence records a planned absence. It refuses with BudgetSpent when a
// budget has no room, with Conflict when the instance is out of service already
// or when another absence was granted under later rules than this member has, and
// with Unready when the rules are not loaded. Starting the same absence for the
// same order again changes nothing. After keeper.ErrUnknown the absence may have
// been recorded or not.
func (b *Budgeter) StartAbsence(ctx context.Context, x Absence) error {
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
		if err := checkMayBeAbsent(rules, cur, b.evacuated(), x); err != nil {
			return cur, false, err
		}
		next := cur.withAbsence(x)
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

// checkMayBeAbsent returns a refusal if the instance may not go out of service now
// for the planned absence x.
func checkMayBeAbsent(rules *parser.Rules, cur Absences, evacuated []Absence, x Absence) error {
	if rules.Number < cur.Rules {
		return classifier.Refuse(classifier.Conflict, "budgets of rules %d are in force, this entry knows rules %d", cur.Rules, rules.Number)
	}
	if held, ok := cur.Find(x.Instance); ok {
		return classifier.Refuse(classifier.Conflict, "instance %s is absent already: %s %s", x.Instance, held.Kind, held.Order)
	}
	return CheckBudgets(rules.Budgets, cur.WithEvacuated(evacuated), x)
}

// assertWithinBudget asserts that the planned absence x, which was just stored in
// a, is recorded and exceeds no budget.
func (b *Budgeter) assertWithinBudget(rules *parser.Rules, a Absences, x Absence) {
	err := CheckBudgets(rules.Budgets, a, x)
	_, ok := a.Find(x.Instance)
	b.assert(err == nil, "planned absence exceeds a budget: %v", err)
	b.assert(ok, "absence of %s not recorded", x.Instance)
}

// MarkUnplanned records that an instance is out of service without an order, for
// example because it failed. It is not subject to the budgets. When the instance
// has a planned absence, that becomes unplanned and keeps its order and start
// time.
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
		return cur.withAbsence(next), true, nil
	})
	return errors.Trace(err)
}

// EndAbsence ends the absence that an order has started for an instance. An empty
// order ends an unplanned absence that has no order. An absence of another order
// stays. The caller must have seen that the instance is healthy, or that it has
// left the fleet for good.
func (b *Budgeter) EndAbsence(ctx context.Context, instance, order string) error {
	_, _, err := keeper.Update(ctx, b.store, keeper.AbsencesKey, func(cur Absences, _ bool) (Absences, bool, error) {
		held, ok := cur.Find(instance)
		if !ok || held.Order != order {
			return cur, false, nil
		}
		return cur.without(instance), true, nil
	})
	return errors.Trace(err)
}

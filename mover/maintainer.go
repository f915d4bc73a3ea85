package mover

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/budgeter"
	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/planner"
	"github.com/coltsfootlever/coltsfootlever/recorder"
)

const (
	maintainerPeriod = 2 * time.Second
	ordersPerRound   = 10              // reboots ordered in one round
	pacedPatience    = 2 * time.Minute // longest estimated wait while a roll-out keeps its pace
	maxNamedWaits    = 8               // reasons to wait that the record keeps
	orderRefused     = "refused"       // how an order ends that did not start
	maxNamedFailures = 4               // failures that the reason of a stop names
)

type (
	// Maintainer drives the roll-out while its member holds the duty. Several
	// that race overdraw no budget and reboot no instance twice, since every
	// order is written to the instance's record first.
	Maintainer struct {
		c        *Coordinator
		orders   *Orders
		estimate func(instance string) time.Duration
		reserve  int
	}

	// MaintainerOption sets up a Maintainer.
	MaintainerOption func(*Maintainer)
)

// WithEstimate sets what estimates the time until the running work of an
// instance has ended.
func WithEstimate(fn func(instance string) time.Duration) MaintainerOption {
	return func(m *Maintainer) { m.estimate = fn }
}

// WithReserve sets how many units of each budget a roll-out leaves free.
func WithReserve(n int) MaintainerOption {
	return func(m *Maintainer) { m.reserve = n }
}

// NewMaintainer returns a Maintainer with the duty and the knowledge of c.
func NewMaintainer(c *Coordinator, orders *Orders, opts ...MaintainerOption) *Maintainer {
	m := &Maintainer{c: c, orders: orders, estimate: func(string) time.Duration { return 0 }}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// Run works until ctx ends.
func (m *Maintainer) Run(ctx context.Context) error {
	tick := time.NewTicker(maintainerPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		if m.c.duty.Held() && m.c.fresh() {
			if err := m.round(ctx); err != nil {
				m.c.m.cfg.log.Warn("roll-out not driven", "err", err)
			}
		}
	}
}

func (m *Maintainer) round(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callsLimit)
	defer cancel()
	r, err := m.orders.Rollout(ctx)
	if err != nil || r.ID == "" || (r.State != RolloutRunning && r.Count(StepActive)+r.Count(StepProof) == 0) {
		return errors.Trace(err)
	}
	if r, err = m.track(ctx, r.ID); err != nil || r.State != RolloutRunning {
		return err
	}
	return m.order(ctx, r)
}

// track brings the record of the roll-out up to the records of the instances.
func (m *Maintainer) track(ctx context.Context, id string) (Rollout, error) {
	now, fleet := time.Now(), m.c.m.table.All()
	before := RolloutState("")
	r, _, err := keeper.Update(ctx, m.c.m.store, keeper.MaintenanceKey, func(cur Rollout, _ bool) (Rollout, bool, error) {
		if cur.ID != id {
			return cur, false, nil
		}
		before = cur.State
		next := follow(cur, fleet, now)
		return next, !equal(cur, next), nil
	})
	if err == nil && r.State != before && before != "" {
		m.c.m.cfg.journal(waveDecision(m.c.m.self, r, string(r.State)))
	}
	return r, errors.Trace(err)
}

func equal(a, b Rollout) bool {
	return a.State == b.State && a.Total == b.Total && slices.Equal(a.Steps, b.Steps)
}

// follow returns the roll-out as the records of the fleet show it. It is pure.
func follow(r Rollout, fleet []Instance, now time.Time) Rollout {
	r.Steps = slices.Clone(r.Steps)
	covered, done := 0, 0
	for _, i := range fleet {
		if !r.covers(i.Pool) {
			continue
		}
		covered++
		s, known := adopt(r, i, now)
		if known {
			s = followStep(s, i, now)
			r.set(s)
		}
		if known && (s.State == StepDone || s.State == StepFailed) {
			done++
		}
	}
	r.Total = covered
	return conclude(r, done, now)
}

// adopt returns the step of an instance, a new one when an order of this
// roll-out is not in the step yet.
func adopt(r Rollout, i Instance, now time.Time) (InstanceStep, bool) {
	s, known := r.Step(i.ID)
	if i.Epoch < s.Epoch {
		return s, known // this copy of the record is older than the step
	}
	order := i.orderID()
	if order == "" {
		order, _, _ = strings.Cut(i.LastOrder, " ")
	}
	ours := strings.HasPrefix(order, r.ID+"-")
	if ours && (!known || (s.State == StepWaits && s.Order != order)) {
		return InstanceStep{Instance: i.ID, State: StepActive, Order: order, Since: now, Epoch: i.Epoch, Tries: s.Tries}, true
	}
	return s, known
}

// followStep returns the step of an instance as its record shows it.
func followStep(s InstanceStep, i Instance, now time.Time) InstanceStep {
	if i.Epoch < s.Epoch {
		return s
	}
	switch s.State {
	case StepActive:
		if i.orderID() == s.Order {
			return s
		}
		s.Since, s.Epoch = now, i.Epoch
		s.State, s.Note = endedAs(i, s.Order)
		s.Tries++
		if s.Note == orderRefused {
			s.Since, s.Tries = time.Time{}, s.Tries-1 // it has not drained; it is tried again at once
		}
	case StepProof:
		switch {
		case i.Phase.gone():
			s.State, s.Note = StepFailed, "lost again after its reboot"
		case i.Sick != "":
			s.State, s.Note = StepFailed, "came back sick: "+i.Sick
		case now.Sub(s.Since) >= proofTime:
			s = InstanceStep{Instance: s.Instance, State: StepDone}
		}
	}
	return s
}

// endedAs returns how an order has ended.
func endedAs(i Instance, order string) (StepState, string) {
	how, known := strings.CutPrefix(i.LastOrder, order+" ")
	switch {
	case !known && i.Phase.gone():
		return StepFailed, "gone"
	case !known:
		return StepWaits, "its order was replaced"
	case how == "done":
		return StepProof, ""
	case strings.HasPrefix(how, "failed"):
		return StepFailed, how
	}
	return StepWaits, how
}

// conclude stops a roll-out in which too many fail and ends a finished one.
func conclude(r Rollout, done int, now time.Time) Rollout {
	if r.State != RolloutRunning {
		return r
	}
	if r.Count(StepFailed) >= r.MaxFailed {
		r.stop(failures(r), now)
	} else if done == r.Total && r.Total > 0 {
		r.State, r.Ended, r.Waits = RolloutDone, now, nil
	}
	return r
}

// failures says where and why instances failed.
func failures(r Rollout) string {
	var parts []string
	for _, s := range r.Steps {
		if s.State == StepFailed && len(parts) < maxNamedFailures {
			parts = append(parts, s.Instance+": "+s.Note)
		}
	}
	return fmt.Sprintf("stopped by itself, %d of at most %d failed: %s", r.Count(StepFailed), r.MaxFailed-1, strings.Join(parts, "; "))
}

// order orders the next reboots.
func (m *Maintainer) order(ctx context.Context, r Rollout) error {
	absent, err := m.c.budgets.Absences(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	rules := m.c.rules()
	if rules == nil {
		return nil
	}
	state := planner.State{
		Now: time.Now(), Started: r.Since, Total: r.Total, Todo: m.todo(r, absent),
		Absent: m.unproven(r, absent), Budgets: rules.Budgets,
	}
	options := planner.Options{Window: r.Window, Patience: pacedPatience, Reserve: m.reserve}
	picked := planner.Next(state, options)
	if err := m.waits(ctx, r, planner.Blocked(state, options)); err != nil {
		return err
	}
	for _, c := range picked[:min(len(picked), ordersPerRound)] {
		if !m.c.duty.Held() {
			return nil
		}
		if err := m.orderOne(ctx, r, c); err != nil {
			return err
		}
	}
	return nil
}

// waits notes in the roll-out what it waits for.
func (m *Maintainer) waits(ctx context.Context, r Rollout, reasons []string) error {
	reasons = reasons[:min(len(reasons), maxNamedWaits)]
	if slices.Equal(reasons, r.Waits) {
		return nil
	}
	next, _, err := keeper.Update(ctx, m.c.m.store, keeper.MaintenanceKey, func(cur Rollout, _ bool) (Rollout, bool, error) {
		cur.Waits = reasons
		return cur, cur.ID == r.ID, nil
	})
	if err == nil && len(reasons) > 0 {
		m.c.m.cfg.journal(waveDecision(m.c.m.self, next, "waits: "+strings.Join(reasons, "; ")))
	}
	return errors.Trace(err)
}

// unproven adds the instances that have just returned to the absences, so that
// no more of a pool are taken out before these have proved well. One may have
// returned since the roll-out's record was brought up to date.
func (m *Maintainer) unproven(r Rollout, absent budgeter.Absences) budgeter.Absences {
	list := slices.Clone(absent.List)
	for _, i := range m.c.m.table.All() {
		s, _ := r.Step(i.ID)
		begun := s.State == StepActive || s.State == StepProof
		if _, out := absent.Find(i.ID); begun && !out {
			list = append(list, absence(i, s.Order, s.Since))
		}
	}
	return budgeter.Absences{Rules: absent.Rules, List: list}
}

// orderOne orders one reboot. A refusal leaves the instance to a later round.
func (m *Maintainer) orderOne(ctx context.Context, r Rollout, c planner.Candidate) error {
	order := newOrder(RebootOrder, r.ID)
	order.ID = strings.Replace(order.ID, string(RebootOrder), r.ID, 1)
	i, err := m.orders.reboot(ctx, c.ID, order, r.DrainLimit)
	var refusal *classifier.Error
	if err != nil && !errors.As(err, &refusal) {
		return errors.Trace(err)
	}
	action := "ordered " + c.ID
	if refusal != nil {
		action = "not ordered " + c.ID + ": " + refusal.Message
	}
	d := waveDecision(m.c.m.self, r, action)
	d.Facts = append(d.Facts, recorder.Fact{Name: "order", Value: i.orderID()}, recorder.Fact{Name: "estimated-wait", Value: c.Wait.String()})
	m.c.m.cfg.journal(d)
	return nil
}

// todo returns the instances that can be drained now.
func (m *Maintainer) todo(r Rollout, absent budgeter.Absences) []planner.Candidate {
	var list []planner.Candidate
	for _, i := range m.c.m.table.All() {
		s, known := r.Step(i.ID)
		_, out := absent.Find(i.ID)
		free := i.Phase == Serving && i.Order == nil && i.Next == "" && i.Sick == "" && !out && m.c.m.roster.live(i.ID)
		if !r.covers(i.Pool) || !free || (known && s.State != StepWaits) {
			continue
		}
		c := planner.Candidate{ID: i.ID, Pool: i.Pool, Zone: i.Zone, Rack: i.Rack, Wait: m.estimate(i.ID)}
		if known {
			c.NotBefore = s.Since.Add(retryDrainAfter * time.Duration(max(1, s.Tries)))
		}
		list = append(list, c)
	}
	return list
}

func waveDecision(self string, r Rollout, action string) recorder.Decision {
	return recorder.Decision{
		Time: time.Now(), Entry: self, Kind: recorder.Wave, Subject: r.ID, Action: action,
		Facts: []recorder.Fact{
			{Name: "done", Value: fmt.Sprintf("%d of %d", r.Count(StepDone), r.Total)},
			{Name: "failed", Value: fmt.Sprint(r.Count(StepFailed))},
			{Name: "reason", Value: r.Reason},
		},
	}
}

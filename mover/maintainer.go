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
	rolloutPeriod    = 2 * time.Second
	ordersPerRound   = 10              // maximum number of reboots ordered in one round
	maxPacedWait     = 2 * time.Minute // maximum estimated drain time of a picked instance while the roll-out is on schedule
	maxWaitReasons   = 8               // maximum number of wait reasons in the roll-out's record
	outcomeRefused   = "refused"       // outcome of an order that was withdrawn before it started
	maxNamedFailures = 4               // maximum number of failed instances named in the reason of a stop
)

type (
	// RolloutController advances the maintenance roll-out while its member is
	// the leader for maintenance. When several run at once, they still exceed
	// no budget and reboot no instance twice, since every order is written to
	// the instance's record first.
	RolloutController struct {
		coordinator   *Coordinator
		orders        *Orders
		estimateWait  func(instance string) time.Duration
		budgetReserve int
	}

	// RolloutControllerOption configures a RolloutController.
	RolloutControllerOption func(*RolloutController)
)

// WithWaitEstimate sets the function that estimates the time until the running
// work of an instance has ended.
func WithWaitEstimate(fn func(instance string) time.Duration) RolloutControllerOption {
	return func(m *RolloutController) { m.estimateWait = fn }
}

// WithBudgetReserve sets how many absences of each budget the roll-out leaves
// free for others. A budget that allows any absence still allows the roll-out
// one.
func WithBudgetReserve(n int) RolloutControllerOption {
	return func(m *RolloutController) { m.budgetReserve = n }
}

// NewRolloutController returns a RolloutController that uses the leadership, the
// instance records, the rules and the budgets of c.
func NewRolloutController(c *Coordinator, orders *Orders, opts ...RolloutControllerOption) *RolloutController {
	m := &RolloutController{coordinator: c, orders: orders, estimateWait: func(string) time.Duration { return 0 }}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// Run runs roll-out rounds until ctx ends, while this member is the leader.
func (c *RolloutController) Run(ctx context.Context) error {
	tick := time.NewTicker(rolloutPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		if c.coordinator.leadership.Held() && c.coordinator.hasCurrentData() {
			if err := c.runRound(ctx); err != nil {
				c.coordinator.mover.cfg.log.Warn("maintenance roll-out round failed; retrying in the next round", "err", err)
			}
		}
	}
}

func (c *RolloutController) runRound(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	r, err := c.orders.Rollout(ctx)
	if err != nil || r.ID == "" || (r.State != RolloutRunning && r.Count(StepActive)+r.Count(StepVerifying) == 0) {
		return errors.Trace(err)
	}
	if r, err = c.syncRollout(ctx, r.ID); err != nil || r.State != RolloutRunning {
		return err
	}
	return c.orderReboots(ctx, r)
}

// syncRollout updates the record of the roll-out from the instance records.
func (c *RolloutController) syncRollout(ctx context.Context, id string) (Rollout, error) {
	now, fleet := time.Now(), c.coordinator.mover.table.All()
	before := RolloutState("")
	r, _, err := keeper.Update(ctx, c.coordinator.mover.store, keeper.MaintenanceKey, func(cur Rollout, _ bool) (Rollout, bool, error) {
		if cur.ID != id {
			return cur, false, nil
		}
		before = cur.State
		next := updateProgress(cur, fleet, now)
		return next, !sameProgress(cur, next), nil
	})
	if err == nil && r.State != before && before != "" {
		c.coordinator.mover.cfg.journal(rolloutDecision(c.coordinator.mover.self, r, string(r.State)))
	}
	return r, errors.Trace(err)
}

func sameProgress(a, b Rollout) bool {
	return a.State == b.State && a.Total == b.Total && slices.Equal(a.Steps, b.Steps)
}

// updateProgress returns the roll-out with its steps and state updated from the
// instance records. It has no side effects.
func updateProgress(r Rollout, fleet []Instance, now time.Time) Rollout {
	r.Steps = slices.Clone(r.Steps)
	covered, done := 0, 0
	for _, i := range fleet {
		if !r.coversPool(i.Pool) {
			continue
		}
		covered++
		s, known := currentStep(r, i, now)
		if known {
			s = updateStep(s, i, now)
			r.setStep(s)
		}
		if known && (s.State == StepDone || s.State == StepFailed) {
			done++
		}
	}
	r.Total = covered
	return finishOrStop(r, done, now)
}

// currentStep returns the step of an instance. When the instance has an order of
// this roll-out that the step does not show yet, it returns a new step.
func currentStep(r Rollout, i Instance, now time.Time) (InstanceStep, bool) {
	s, known := r.Step(i.ID)
	if i.Epoch < s.Epoch {
		return s, known // the local copy of the record is older than the step
	}
	order := i.orderID()
	if order == "" {
		order, _, _ = strings.Cut(i.LastOrder, " ")
	}
	ours := strings.HasPrefix(order, r.ID+"-")
	if ours && (!known || (s.State == StepWaiting && s.Order != order)) {
		return InstanceStep{Instance: i.ID, State: StepActive, Order: order, Since: now, Epoch: i.Epoch, Tries: s.Tries}, true
	}
	return s, known
}

// updateStep returns the step of an instance updated from its record.
func updateStep(s InstanceStep, i Instance, now time.Time) InstanceStep {
	if i.Epoch < s.Epoch {
		return s
	}
	switch s.State {
	case StepActive:
		if i.orderID() == s.Order {
			return s
		}
		s.Since, s.Epoch = now, i.Epoch
		s.State, s.Note = orderOutcome(i, s.Order)
		s.Tries++
		if s.Note == outcomeRefused {
			s.Since, s.Tries = time.Time{}, s.Tries-1 // the drain did not start, so it is tried again without delay
		}
	case StepVerifying:
		switch {
		case i.Phase.isGone():
			s.State, s.Note = StepFailed, "lost again after its reboot"
		case i.Unhealthy != "":
			s.State, s.Note = StepFailed, "came back sick: "+i.Unhealthy
		case now.Sub(s.Since) >= verifyPeriod:
			s = InstanceStep{Instance: s.Instance, State: StepDone}
		}
	}
	return s
}

// orderOutcome returns the step state that follows from the outcome of an order
// that has ended, and a note that explains it.
func orderOutcome(i Instance, order string) (StepState, string) {
	outcome, known := strings.CutPrefix(i.LastOrder, order+" ")
	switch {
	case !known && i.Phase.isGone():
		return StepFailed, "gone"
	case !known:
		return StepWaiting, "its order was replaced"
	case outcome == "done":
		return StepVerifying, ""
	case strings.HasPrefix(outcome, "failed"):
		return StepFailed, outcome
	}
	return StepWaiting, outcome
}

// finishOrStop stops a roll-out in which too many instances have failed, and
// ends one in which all instances are done.
func finishOrStop(r Rollout, done int, now time.Time) Rollout {
	if r.State != RolloutRunning {
		return r
	}
	if r.Count(StepFailed) >= r.MaxFailed {
		r.markStopped(failureSummary(r), now)
	} else if done == r.Total && r.Total > 0 {
		r.State, r.Ended, r.WaitReasons = RolloutDone, now, nil
	}
	return r
}

// failureSummary names the failed instances and the cause of each failure.
func failureSummary(r Rollout) string {
	var parts []string
	for _, s := range r.Steps {
		if s.State == StepFailed && len(parts) < maxNamedFailures {
			parts = append(parts, s.Instance+": "+s.Note)
		}
	}
	return fmt.Sprintf("stopped by itself, %d of at most %d failed: %s", r.Count(StepFailed), r.MaxFailed-1, strings.Join(parts, "; "))
}

// orderReboots orders the next reboots.
func (c *RolloutController) orderReboots(ctx context.Context, r Rollout) error {
	absent, err := c.coordinator.budgets.Absences(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	absent = absent.WithEvacuated(c.coordinator.mover.EvacuatedAbsences())
	rules := c.coordinator.rules()
	if rules == nil {
		return nil
	}
	state := planner.State{
		Now: time.Now(), Started: r.Since, Total: r.Total, Pending: c.drainCandidates(r, absent),
		Absent: c.absencesWithUnverified(r, absent), Budgets: rules.Budgets,
	}
	options := planner.Options{Window: r.Window, MaxWait: maxPacedWait, BudgetReserve: c.budgetReserve}
	picked := planner.NextDrains(state, options)
	if err := c.saveWaitReasons(ctx, r, planner.WaitReasons(state, options)); err != nil {
		return err
	}
	for _, candidate := range picked[:min(len(picked), ordersPerRound)] {
		if !c.coordinator.leadership.Held() {
			return nil
		}
		if err := c.orderReboot(ctx, r, candidate); err != nil {
			return err
		}
	}
	return nil
}

// saveWaitReasons writes to the roll-out's record why it orders no more reboots
// at present.
func (c *RolloutController) saveWaitReasons(ctx context.Context, r Rollout, reasons []string) error {
	reasons = reasons[:min(len(reasons), maxWaitReasons)]
	if slices.Equal(reasons, r.WaitReasons) {
		return nil
	}
	next, _, err := keeper.Update(ctx, c.coordinator.mover.store, keeper.MaintenanceKey, func(cur Rollout, _ bool) (Rollout, bool, error) {
		cur.WaitReasons = reasons
		return cur, cur.ID == r.ID, nil
	})
	if err == nil && len(reasons) > 0 {
		c.coordinator.mover.cfg.journal(rolloutDecision(c.coordinator.mover.self, next, "waits: "+strings.Join(reasons, "; ")))
	}
	return errors.Trace(err)
}

// absencesWithUnverified returns the absences with every instance added that
// has an order of this roll-out, or has returned from one and is not
// verified as healthy yet. Thus no further instances of a pool are taken out
// of service before the returned ones are verified. An instance whose step
// is still active is included because it may have returned since the
// roll-out's record was updated.
func (c *RolloutController) absencesWithUnverified(r Rollout, absent budgeter.Absences) budgeter.Absences {
	list := slices.Clone(absent.List)
	for _, i := range c.coordinator.mover.table.All() {
		s, _ := r.Step(i.ID)
		begun := s.State == StepActive || s.State == StepVerifying
		if _, out := absent.Find(i.ID); begun && !out {
			list = append(list, newAbsence(i, s.Order, s.Since))
		}
	}
	return budgeter.Absences{Rules: absent.Rules, List: list}
}

// orderReboot orders one reboot. If the order is refused, a later round tries
// again.
func (c *RolloutController) orderReboot(ctx context.Context, r Rollout, candidate planner.Candidate) error {
	order := newOrder(RebootOrder, r.ID)
	order.ID = strings.Replace(order.ID, string(RebootOrder), r.ID, 1)
	i, err := c.orders.reboot(ctx, candidate.ID, order, r.DrainLimit)
	var refusal *classifier.Error
	if err != nil && !errors.As(err, &refusal) {
		return errors.Trace(err)
	}
	action := "ordered " + candidate.ID
	if refusal != nil {
		action = "not ordered " + candidate.ID + ": " + refusal.Message
	}
	d := rolloutDecision(c.coordinator.mover.self, r, action)
	d.Facts = append(d.Facts, recorder.Fact{Name: "order", Value: i.orderID()}, recorder.Fact{Name: "estimated-wait", Value: candidate.EstimatedWait.String()})
	c.coordinator.mover.cfg.journal(d)
	return nil
}

// drainCandidates returns the instances of the roll-out that are not done yet
// and are free to be drained.
func (c *RolloutController) drainCandidates(r Rollout, absent budgeter.Absences) []planner.Candidate {
	var list []planner.Candidate
	for _, i := range c.coordinator.mover.table.All() {
		s, known := r.Step(i.ID)
		_, out := absent.Find(i.ID)
		free := i.Phase == Serving && i.Order == nil && i.NextOwner == "" && i.Unhealthy == "" && !out && c.coordinator.mover.roster.isListedLive(i.ID)
		if !r.coversPool(i.Pool) || !free || (known && s.State != StepWaiting) {
			continue
		}
		c := planner.Candidate{ID: i.ID, Pool: i.Pool, Zone: i.Zone, Rack: i.Rack, EstimatedWait: c.estimateWait(i.ID)}
		if known {
			c.NotBefore = s.Since.Add(retryDrainDelay * time.Duration(max(1, s.Tries)))
		}
		list = append(list, c)
	}
	return list
}

// rolloutDecision returns the journal entry for an action of the roll-out.
func rolloutDecision(self string, r Rollout, action string) recorder.Decision {
	return recorder.Decision{
		Time: time.Now(), Entry: self, Kind: recorder.Wave, Subject: r.ID, Action: action,
		Facts: []recorder.Fact{
			{Name: "done", Value: fmt.Sprintf("%d of %d", r.Count(StepDone), r.Total)},
			{Name: "failed", Value: fmt.Sprint(r.Count(StepFailed))},
			{Name: "reason", Value: r.Reason},
		},
	}
}

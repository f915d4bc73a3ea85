package mover

import (
	"context"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/keeper"
)

// States of a maintenance roll-out.
const (
	RolloutRunning RolloutState = "running"
	RolloutPaused  RolloutState = "paused"  // paused by an operator
	RolloutStopped RolloutState = "stopped" // stopped automatically after too many failures
	RolloutDone    RolloutState = "done"
)

// States of an instance in a roll-out. An instance without a step has not been
// ordered to reboot yet.
const (
	StepActive    StepState = "active" // its reboot is ordered
	StepVerifying StepState = "proof"  // back in service, its health is being verified
	StepDone      StepState = "done"
	StepFailed    StepState = "failed"
	StepWaiting   StepState = "waits" // its order ended without a reboot; tried again later
)

// Default limits of a roll-out.
const (
	DefaultMaxFailed  = 2                // number of failed instances that stops a roll-out
	DefaultWindow     = 84 * time.Hour   // planned duration of the whole roll-out
	DefaultDrainLimit = 2 * time.Hour    // how long a drain waits for running work before it is undone
	verifyPeriod      = 2 * time.Minute  // how long an instance must stay healthy after its return
	retryDrainDelay   = 30 * time.Minute // delay before an undone drain is tried again
)

type (
	// Rollout is the stored record of a maintenance roll-out, which reboots all
	// instances of some pools. The store holds at most one.
	Rollout struct {
		ID          string         `json:"id"`
		Pools       []string       `json:"pools,omitempty"` // empty for all pools
		State       RolloutState   `json:"state"`
		Reason      string         `json:"reason,omitempty"` // why it is paused or stopped
		RequestedBy string         `json:"asked"`
		Since       time.Time      `json:"since"`
		Ended       time.Time      `json:"ended,omitzero"`
		Window      time.Duration  `json:"window-ns"`      // time within which it should finish
		DrainLimit  time.Duration  `json:"drain-limit-ns"` // time limit of a drain, after which it is undone and tried again later
		MaxFailed   int            `json:"max-failed"`     // number of failed instances that stops it
		Total       int            `json:"total"`
		WaitReasons []string       `json:"waits,omitempty"` // why it orders no more reboots at present
		Steps       []InstanceStep `json:"steps,omitempty"` // sorted by instance ID
	}

	// InstanceStep is the state of one instance in a roll-out.
	InstanceStep struct {
		Instance string    `json:"instance"`
		State    StepState `json:"state"`
		Order    string    `json:"order,omitempty"` // ID of its last order for this roll-out
		Since    time.Time `json:"since,omitzero"`
		Epoch    uint64    `json:"epoch,omitempty"` // epoch of the instance's record when the state was set
		Tries    int       `json:"tries,omitempty"`
		Note     string    `json:"note,omitempty"`
	}

	// RolloutState is the state of a maintenance roll-out.
	RolloutState string

	// StepState is the state of an instance in a roll-out.
	StepState string

	// RolloutRequest asks for a roll-out. Limits that are zero take their
	// defaults.
	RolloutRequest struct {
		Pools       []string      `json:"pools,omitempty"`
		RequestedBy string        `json:"who"`
		Window      time.Duration `json:"window-ns,omitempty"`
		DrainLimit  time.Duration `json:"drain-limit-ns,omitempty"`
		MaxFailed   int           `json:"max-failed,omitempty"`
	}
)

// Step returns the step of an instance, or false when it has not been ordered to
// reboot yet.
func (r Rollout) Step(instance string) (InstanceStep, bool) {
	n, ok := r.stepIndex(instance)
	if !ok {
		return InstanceStep{}, false
	}
	return r.Steps[n], true
}

func (r Rollout) stepIndex(instance string) (int, bool) {
	return slices.BinarySearchFunc(r.Steps, instance, func(s InstanceStep, id string) int {
		switch {
		case s.Instance < id:
			return -1
		case s.Instance > id:
			return 1
		}
		return 0
	})
}

// setStep adds a step and replaces any earlier one of the same instance.
func (r *Rollout) setStep(s InstanceStep) {
	n, ok := r.stepIndex(s.Instance)
	if ok {
		r.Steps[n] = s
		return
	}
	r.Steps = slices.Insert(r.Steps, n, s)
}

// Count returns the number of instances in a state.
func (r Rollout) Count(state StepState) int {
	n := 0
	for _, s := range r.Steps {
		if s.State == state {
			n++
		}
	}
	return n
}

// coversPool reports whether the roll-out includes the instances of a pool.
func (r Rollout) coversPool(pool string) bool {
	return len(r.Pools) == 0 || slices.Contains(r.Pools, pool)
}

// markStopped marks the roll-out as stopped because of failures.
func (r *Rollout) markStopped(why string, now time.Time) {
	r.State, r.Reason, r.Ended = RolloutStopped, why, now
}

// Rollout returns the record of the last roll-out. Its ID is empty when there
// was none.
func (o *Orders) Rollout(ctx context.Context) (Rollout, error) {
	rec, err := o.store.Get(ctx, keeper.MaintenanceKey)
	if err != nil {
		return Rollout{}, errors.Trace(err)
	}
	return keeper.Decode[Rollout](rec)
}

// StartRollout starts a roll-out. It refuses with Conflict while another one is
// running or paused, and with NotFound for a pool that is not in the rules.
func (o *Orders) StartRollout(ctx context.Context, q RolloutRequest) (Rollout, error) {
	rules := o.rules()
	for _, p := range q.Pools {
		if rules == nil || !hasPool(rules, p) {
			return Rollout{}, classifier.Refuse(classifier.NotFound, "no rule names pool %q", p)
		}
	}
	started := newRollout(q)
	return o.updateRollout(ctx, "started", func(r *Rollout) error {
		if r.ID == started.ID {
			return nil
		}
		if r.State == RolloutRunning || r.State == RolloutPaused {
			return classifier.Refuse(classifier.Conflict, "roll-out %s is %s, asked by %s", r.ID, r.State, r.RequestedBy)
		}
		*r = started
		return nil
	})
}

// newRollout returns the record of a new roll-out. IDs of roll-outs begin with
// "wave-" in the store and the operators' interface.
func newRollout(q RolloutRequest) Rollout {
	r := Rollout{
		ID: "wave-" + uuid.NewString()[:orderIDLength], Pools: q.Pools, State: RolloutRunning, RequestedBy: q.RequestedBy,
		Since: time.Now(), Window: q.Window, DrainLimit: q.DrainLimit, MaxFailed: q.MaxFailed,
	}
	if r.Window <= 0 {
		r.Window = DefaultWindow
	}
	if r.DrainLimit <= 0 {
		r.DrainLimit = DefaultDrainLimit
	}
	if r.MaxFailed <= 0 {
		r.MaxFailed = DefaultMaxFailed
	}
	return r
}

// PauseRollout stops the roll-out from ordering more reboots until it is
// resumed. Reboots ordered before still complete.
func (o *Orders) PauseRollout(ctx context.Context, who string) (Rollout, error) {
	return o.updateRollout(ctx, "paused by "+who, func(r *Rollout) error {
		if r.State != RolloutRunning && r.State != RolloutPaused {
			return classifier.Refuse(classifier.Conflict, "no roll-out is running")
		}
		r.State, r.Reason = RolloutPaused, "paused by "+who
		return nil
	})
}

// ResumeRollout continues a roll-out that is paused or was stopped because of
// failures. Instances that failed are tried again.
func (o *Orders) ResumeRollout(ctx context.Context, who string) (Rollout, error) {
	return o.updateRollout(ctx, "resumed by "+who, func(r *Rollout) error {
		if r.State != RolloutPaused && r.State != RolloutStopped && r.State != RolloutRunning {
			return classifier.Refuse(classifier.Conflict, "no roll-out is paused or stopped")
		}
		for n, s := range r.Steps {
			if s.State == StepFailed {
				r.Steps[n] = InstanceStep{Instance: s.Instance, State: StepWaiting, Order: s.Order, Tries: s.Tries, Note: s.Note}
			}
		}
		r.State, r.Reason, r.Ended = RolloutRunning, "", time.Time{}
		return nil
	})
}

func (o *Orders) updateRollout(ctx context.Context, what string, edit func(*Rollout) error) (Rollout, error) {
	next, _, err := keeper.Update(ctx, o.store, keeper.MaintenanceKey, func(cur Rollout, _ bool) (Rollout, bool, error) {
		cur.Steps = slices.Clone(cur.Steps)
		err := edit(&cur)
		return cur, err == nil, err
	})
	if err == nil {
		o.journal(rolloutDecision(o.self, next, what))
	}
	return next, err
}

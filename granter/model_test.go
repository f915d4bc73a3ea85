package granter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/messenger"
	"github.com/coltsfootlever/coltsfootlever/parser"
	"github.com/coltsfootlever/coltsfootlever/registrar"
)

// The model runs the real Granter and Coordinator action by action on an
// emulated ledger. Writes to it are lost, delayed or raced by other writes, and
// each member receives its watch events at a random time. All members act as
// coordinators at once, with rules and views of different age.

const (
	modelTeam    = "leads"
	modelLease   = 10 * time.Second
	modelMargin  = 2 * time.Second
	modelMembers = 3
)

// Outcomes of the first ledger write of an action.
const (
	writeApplied                     = iota // the caller gets the answer
	writeAppliedAnswerLost                  // the caller gets ErrUnknown
	writeDelayed                            // may be applied later, if its revision still matches
	writeRefused                            // the store is unavailable and applies nothing
	writeRaced                              // other members act between the read and the write
	writeAppliedAnswerLostThenOutage        // as writeAppliedAnswerLost, and the store is unavailable for the rest of the action
	writeDelayedThenOutage                  // as writeDelayed, and the store is unavailable for the rest of the action
	writeOutcomes                           // number of outcomes
)

type (
	chooser func(label string, n int) int // returns a number from 0 to n-1

	modelStore struct {
		records       map[string]keeper.Record
		history       []keeper.Event
		delayedWrites []func()
		outcome       int    // of the next write
		cancelAction  func() // cancels the context of the action
		unavailable   bool   // until the end of the action
		race          func() // runs between the read and the write of writeRaced
		casDisabled   bool   // writes apply whatever their revision
	}

	modelMember struct {
		granter     *Granter
		coordinator *Coordinator
		seen        int       // number of events delivered
		removed     bool      // removed from the view; the member itself may not know it yet
		departed    time.Time // time at which the member learnt of its removal and stopped; zero before
		rules       int       // index in model.rules of the rules that its coordinator knows
		view        int       // index in model.views of the view that its coordinator knows
	}

	model struct {
		now     time.Time
		store   *modelStore
		members []*modelMember
		rules   []*parser.Rules
		views   []registrar.View
		loads   []messenger.Heartbeat
		account Account // at the last revision checked
		checked int     // number of revisions checked
	}

	alwaysLeads struct{}
)

func (alwaysLeads) Held() bool { return true }

func (s *modelStore) Get(_ context.Context, key string) (keeper.Record, error) {
	if s.unavailable {
		return keeper.Record{}, keeper.ErrUnavailable
	}
	return s.records[key], nil
}

func (s *modelStore) List(context.Context, string) ([]keeper.Record, int64, error) { panic("unused") }

func (s *modelStore) Watch(context.Context, string, int64, func(keeper.Event)) error { panic("unused") }

func (s *modelStore) Swap(_ context.Context, key string, value []byte, revision int64, _ keeper.LeaseID) (keeper.Record, error) {
	outcome := s.outcome
	s.outcome = writeApplied
	s.unavailable = outcome == writeDelayedThenOutage || outcome == writeAppliedAnswerLostThenOutage
	if s.unavailable {
		s.cancelAction()
	}
	switch outcome {
	case writeRefused:
		return keeper.Record{}, keeper.ErrUnavailable
	case writeDelayed, writeDelayedThenOutage:
		s.delayedWrites = append(s.delayedWrites, func() { _, _ = s.apply(key, value, revision) })
		return keeper.Record{}, keeper.ErrUnknown
	case writeRaced:
		s.race()
	}
	r, err := s.apply(key, value, revision)
	if err == nil && (outcome == writeAppliedAnswerLost || outcome == writeAppliedAnswerLostThenOutage) {
		return keeper.Record{}, keeper.ErrUnknown
	}
	return r, err
}

func (s *modelStore) apply(key string, value []byte, revision int64) (keeper.Record, error) {
	if s.records[key].Revision != revision && !s.casDisabled {
		return keeper.Record{}, keeper.ErrConflict
	}
	r := keeper.Record{Key: key, Value: value, Revision: int64(len(s.history)) + 1}
	s.records[key] = r
	s.history = append(s.history, keeper.Event{Record: r})
	return r, nil
}

func newModel(casDisabled bool) *model {
	m := &model{
		now:   time.Date(2026, 2, 14, 9, 0, 0, 0, time.UTC),
		store: &modelStore{records: make(map[string]keeper.Record), casDisabled: casDisabled},
		views: []registrar.View{{Number: 1}},
	}
	m.setLimit(6)
	for range modelMembers {
		m.join()
	}
	m.runUntilStable()
	return m
}

func (m *model) setLimit(limit int) {
	m.rules = append(m.rules, &parser.Rules{
		Number: uint64(len(m.rules) + 1),
		Teams:  []parser.Team{{Name: modelTeam, Share: 1, Limit: limit}},
		Queues: []parser.Queue{{Name: "inquiries", Team: modelTeam, Pool: "match"}},
	})
}

func (m *model) changeView(change func(*registrar.View)) {
	view := m.views[len(m.views)-1]
	view.Number++
	view.Members = slices.Clone(view.Members)
	view.Departed = slices.Clone(view.Departed)
	change(&view)
	m.views = append(m.views, view)
}

func (m *model) join() {
	id := fmt.Sprintf("entry-%02d", len(m.members))
	silent := func(bool, string, ...any) {}
	mm := &modelMember{granter: New(m.store, id, NewSlotQuota(silent), WithAssert(silent))}
	mm.granter.ledgerRead = true
	mm.coordinator = NewCoordinator(m.store, mm.granter, alwaysLeads{},
		func() *parser.Rules { return m.rules[mm.rules] },
		func() registrar.View { return m.views[mm.view] },
		func() []messenger.Heartbeat { return m.loads },
		WithReclaimDelays(modelLease, modelMargin), WithStopEvidence(m.stoppedSince, 0))
	m.members = append(m.members, mm)
	m.changeView(func(v *registrar.View) {
		v.Members = append(v.Members, registrar.Member{ID: id, State: registrar.Active})
	})
}

// chooseMember chooses one of the members that have not departed.
func (m *model) chooseMember(pick chooser) *modelMember {
	var live []*modelMember
	for _, mm := range m.members {
		if mm.departed.IsZero() {
			live = append(live, mm)
		}
	}
	return live[pick("member", len(live))]
}

// runAction lets one member do one action. pick chooses both.
func (m *model) runAction(pick chooser) {
	mm := m.chooseMember(pick)
	g := mm.granter
	switch pick("action", 11) {
	case 0, 1:
		g.quota.Acquire(modelTeam, 1+pick("slots", 3))
	case 2:
		if used := g.quota.slotsUsedBy(modelTeam); used > 0 {
			g.quota.Release(modelTeam, 1+pick("slots", used))
		}
	case 3:
		m.deliverEvents(mm, 1+pick("events", 8))
	case 4:
		m.deliverEvents(mm, len(m.store.history))
		fallthrough
	case 5:
		m.adjustOwnGrant(m.chooseWriteOutcome(mm, pick), mm)
	case 6, 7:
		m.changeLoads(pick)
		_ = mm.coordinator.runRoundAt(m.chooseWriteOutcome(mm, pick), m.now) // fails for some write outcomes
	case 8:
		mm.rules = len(m.rules) - 1
		mm.view = len(m.views) - 1
	case 9:
		m.applyDelayedWrite(pick)
	case 10:
		m.changeEnvironment(mm, pick)
	}
	m.store.outcome, m.store.unavailable = writeApplied, false
}

// changeLoads sets new loads for all members.
func (m *model) changeLoads(pick chooser) {
	m.loads = nil
	for _, mm := range m.members {
		want := messenger.TeamLoad{Team: modelTeam, Pool: "match", Running: 4 * pick("want", 3)}
		pool := messenger.PoolLoad{Pool: "match", Slots: 8}
		m.loads = append(m.loads, messenger.Heartbeat{From: mm.granter.self, Pools: []messenger.PoolLoad{pool}, Teams: []messenger.TeamLoad{want}})
	}
}

// changeEnvironment changes the limit, the members or the time.
func (m *model) changeEnvironment(mm *modelMember, pick chooser) {
	switch pick("disturbance", 3) {
	case 0:
		m.setLimit(pick("limit", 9))
	case 1:
		if mm.removed {
			mm.departed = m.now // the member learns of its removal and stops
			return
		}
		mm.removed = true
		m.changeView(func(v *registrar.View) {
			v.Members = slices.DeleteFunc(v.Members, func(r registrar.Member) bool { return r.ID == mm.granter.self })
			v.Departed = append(v.Departed, registrar.Departure{ID: mm.granter.self, Since: m.now})
		})
		m.join()
	case 2:
		m.now = m.now.Add(time.Duration(1+pick("seconds", 8)) * time.Second)
		m.endExpiredTasks()
	}
}

// stoppedSince returns the time at which a departed member stopped.
func (m *model) stoppedSince(id string) (time.Time, bool) {
	for _, mm := range m.members {
		if mm.granter.self == id {
			return mm.departed, !mm.departed.IsZero()
		}
	}
	return time.Time{}, false
}

// endExpiredTasks ends the tasks of departed members whose task lease has
// expired.
func (m *model) endExpiredTasks() {
	for _, mm := range m.members {
		if !mm.departed.IsZero() && m.now.After(mm.departed.Add(modelLease)) {
			mm.granter.quota = NewSlotQuota(nil)
		}
	}
}

// chooseWriteOutcome chooses the outcome of the first write of an action of mm,
// and returns the context of the action.
func (m *model) chooseWriteOutcome(mm *modelMember, pick chooser) context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	m.store.cancelAction = cancel
	m.store.outcome = pick("fate", writeOutcomes)
	m.store.race = func() {
		mm.granter.quota.Acquire(modelTeam, 1)
		m.adjustOwnGrant(context.Background(), m.chooseMember(pick))
	}
	return ctx
}

// applyDelayedWrite applies one of the delayed writes, if there are any.
func (m *model) applyDelayedWrite(pick chooser) {
	if n := len(m.store.delayedWrites); n > 0 {
		i := pick("late", n)
		write := m.store.delayedWrites[i]
		m.store.delayedWrites = slices.Delete(m.store.delayedWrites, i, i+1)
		write()
	}
}

func (m *model) adjustOwnGrant(ctx context.Context, mm *modelMember) {
	if _, known := mm.granter.Account(modelTeam); known {
		mm.granter.adjustOwnGrant(ctx, modelTeam)
	}
}

// deliverEvents delivers the next n ledger events to mm, as far as there are
// any.
func (m *model) deliverEvents(mm *modelMember, n int) {
	for range n {
		if mm.seen < len(m.store.history) {
			mm.granter.handleEvent(m.store.history[mm.seen])
			mm.seen++
		}
	}
}

// checkInvariants returns an error if a revision written since the last check
// is not a valid successor of the one before, or if more slots are in use now
// than the members hold or the limit in force allows.
func (m *model) checkInvariants() error {
	for ; m.checked < len(m.store.history); m.checked++ {
		next, err := keeper.Decode[Account](m.store.history[m.checked].Record)
		if err != nil {
			return errors.Trace(err)
		}
		if next.Team != modelTeam {
			continue // the record of the weights
		}
		if err := checkTransition(m.account, next); err != nil {
			return errors.Trace(err)
		}
		m.account = next
	}
	account := m.account
	running := 0
	for _, mm := range m.members {
		used := mm.granter.quota.slotsUsedBy(modelTeam)
		running += used
		mine, _ := account.Grant(mm.granter.self)
		if used > mine.Held {
			return errors.Errorf("%s uses %d slots but holds %d", mm.granter.self, used, mine.Held)
		}
	}
	if running > account.InForce {
		return errors.Errorf("%d slots in use, limit in force %d", running, account.InForce)
	}
	return nil
}

// checkTransition checks one revision of an account against the previous one.
func checkTransition(cur, next Account) error {
	switch {
	case next.Held() > next.InForce:
		return errors.Errorf("%d slots held, limit in force %d", next.Held(), next.InForce)
	case next.InForce > max(cur.InForce, next.Limit):
		return errors.Errorf("limit in force grew from %d to %d, limit %d", cur.InForce, next.InForce, next.Limit)
	case next.Rules < cur.Rules:
		return errors.Errorf("limit of rules %d replaced by that of rules %d", cur.Rules, next.Rules)
	}
	return nil
}

// runUntilStable ends all faults, lets every member act until nothing changes
// any more, and returns the final account.
func (m *model) runUntilStable() Account {
	m.store.delayedWrites = nil
	for _, mm := range m.members {
		if mm.removed && mm.departed.IsZero() {
			mm.departed = m.now
		}
	}
	m.now = m.now.Add(modelLease + modelMargin + time.Second)
	m.endExpiredTasks()
	for range 12 {
		for _, mm := range m.members {
			if !mm.departed.IsZero() {
				continue
			}
			mm.rules, mm.view = len(m.rules)-1, len(m.views)-1
			m.deliverEvents(mm, len(m.store.history))
			_ = mm.coordinator.runRoundAt(context.Background(), m.now) // the caller checks the final account
			m.deliverEvents(mm, len(m.store.history))
			m.adjustOwnGrant(context.Background(), mm)
			mm.granter.quota.Release(modelTeam, mm.granter.quota.slotsUsedBy(modelTeam))
		}
	}
	account, _ := keeper.Decode[Account](m.store.records[keeper.LedgerPrefix+modelTeam])
	return account
}

// intsBelow returns the integers from 0 to n-1. rapid.SampledFrom draws from
// them evenly, whereas rapid.IntRange prefers small integers.
func intsBelow(n int) []int {
	ints := make([]int, n)
	for i := range ints {
		ints[i] = i
	}
	return ints
}

func TestNoTeamRunsMoreThanItsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(false)
		pick := func(label string, n int) int { return rapid.SampledFrom(intsBelow(n)).Draw(t, label) }
		for range rapid.IntRange(1, 300).Draw(t, "actions") {
			m.runAction(pick)
			require.NoError(t, m.checkInvariants())
		}
		account := m.runUntilStable()
		limit := m.rules[len(m.rules)-1].Teams[0].Limit
		require.Equal(t, limit, account.Limit)
		require.Equal(t, limit, account.InForce)
		require.Equal(t, limit, account.Held(), "the grants add up to the limit: %+v", account)
	})
}

func TestModelFindsMissingCompareAndSwap(t *testing.T) {
	found := 0
	for seed := range uint64(100) {
		m := newModel(true)
		r := rand.New(rand.NewPCG(seed, 1))
		pick := func(_ string, n int) int { return r.IntN(n) }
		for range 600 {
			m.runAction(pick)
			if m.checkInvariants() != nil {
				found++
				break
			}
		}
	}
	t.Logf("found in %d of 100 runs", found)
	require.Greater(t, found, 10)
}

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

// The model drives the real Granter and Coordinator step by step over a ledger
// whose writes are lost, late or raced and whose watches lag at will. Two
// coordinators act at once, with rules and views of different age.

const (
	modelTeam    = "leads"
	modelLease   = 10 * time.Second
	modelMargin  = 2 * time.Second
	modelMembers = 3
)

// Fates of the first write of an action.
const (
	writeApplied = iota
	writeAppliedAnswerLost
	writeDelayed // takes effect later, if its revision still matches
	writeRefused
	writeRaced                       // others act between the read and the write
	writeAppliedAnswerLostThenOutage // and the service is gone for the rest of the action
	writeDelayedThenOutage           // likewise
	writeOutcomes
)

type (
	chooser func(label string, n int) int // 0 to n-1

	modelStore struct {
		records       map[string]keeper.Record
		history       []keeper.Event
		delayedWrites []func()
		outcome       int
		cancelAction  func() // ends the context of the action
		unavailable   bool
		race          func()
		casDisabled   bool // compare-and-swap switched off
	}

	modelMember struct {
		granter     *Granter
		coordinator *Coordinator
		seen        int  // events delivered
		removed     bool // from the view, perhaps without knowing it
		departed    time.Time
		rules       int // index of the rules that its coordinator knows
		view        int
	}

	model struct {
		now     time.Time
		store   *modelStore
		members []*modelMember
		rules   []*parser.Rules
		views   []registrar.View
		loads   []messenger.Heartbeat
		account Account // at the last revision checked
		checked int     // revisions checked
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
	fate := s.outcome
	s.outcome = writeApplied
	s.unavailable = fate == writeDelayedThenOutage || fate == writeAppliedAnswerLostThenOutage
	if s.unavailable {
		s.cancelAction()
	}
	switch fate {
	case writeRefused:
		return keeper.Record{}, keeper.ErrUnavailable
	case writeDelayed, writeDelayedThenOutage:
		s.delayedWrites = append(s.delayedWrites, func() { _, _ = s.apply(key, value, revision) })
		return keeper.Record{}, keeper.ErrUnknown
	case writeRaced:
		s.race()
	}
	r, err := s.apply(key, value, revision)
	if err == nil && (fate == writeAppliedAnswerLost || fate == writeAppliedAnswerLostThenOutage) {
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

func (m *model) chooseMember(pick chooser) *modelMember {
	var live []*modelMember
	for _, mm := range m.members {
		if mm.departed.IsZero() {
			live = append(live, mm)
		}
	}
	return live[pick("member", len(live))]
}

// runAction does one thing chosen by pick.
func (m *model) runAction(pick chooser) {
	mm := m.chooseMember(pick)
	g := mm.granter
	switch pick("action", 11) {
	case 0, 1:
		g.quota.Acquire(modelTeam, 1+pick("slots", 3))
	case 2:
		if used := g.quota.usedBy(modelTeam); used > 0 {
			g.quota.Release(modelTeam, 1+pick("slots", used))
		}
	case 3:
		m.deliverEvents(mm, 1+pick("events", 8))
	case 4:
		m.deliverEvents(mm, len(m.store.history))
		fallthrough
	case 5:
		m.adjustAccount(m.chooseWriteOutcome(mm, pick), mm)
	case 6, 7:
		m.changeLoads(pick)
		_ = mm.coordinator.runRound(m.chooseWriteOutcome(mm, pick), m.now) // failures are part of the model
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

// changeLoads changes what the members want.
func (m *model) changeLoads(pick chooser) {
	m.loads = nil
	for _, mm := range m.members {
		want := messenger.TeamLoad{Team: modelTeam, Pool: "match", Running: 4 * pick("want", 3)}
		pool := messenger.PoolLoad{Pool: "match", Slots: 8}
		m.loads = append(m.loads, messenger.Heartbeat{From: mm.granter.self, Pools: []messenger.PoolLoad{pool}, Teams: []messenger.TeamLoad{want}})
	}
}

// changeEnvironment changes limits, members or the time.
func (m *model) changeEnvironment(mm *modelMember, pick chooser) {
	switch pick("disturbance", 3) {
	case 0:
		m.setLimit(pick("limit", 9))
	case 1:
		if mm.removed {
			mm.departed = m.now // it has learnt of its removal
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

// stoppedSince tells since when a departed member has stopped.
func (m *model) stoppedSince(id string) (time.Time, bool) {
	for _, mm := range m.members {
		if mm.granter.self == id {
			return mm.departed, !mm.departed.IsZero()
		}
	}
	return time.Time{}, false
}

// endExpiredTasks ends what departed members left running once its lease is over.
func (m *model) endExpiredTasks() {
	for _, mm := range m.members {
		if !mm.departed.IsZero() && m.now.After(mm.departed.Add(modelLease)) {
			mm.granter.quota = NewSlotQuota(nil)
		}
	}
}

// chooseWriteOutcome draws the chooseWriteOutcome of the first write of an action by mm and returns the
// action's context.
func (m *model) chooseWriteOutcome(mm *modelMember, pick chooser) context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	m.store.cancelAction = cancel
	m.store.outcome = pick("fate", writeOutcomes)
	m.store.race = func() {
		mm.granter.quota.Acquire(modelTeam, 1)
		m.adjustAccount(context.Background(), m.chooseMember(pick))
	}
	return ctx
}

func (m *model) applyDelayedWrite(pick chooser) {
	if n := len(m.store.delayedWrites); n > 0 {
		i := pick("late", n)
		write := m.store.delayedWrites[i]
		m.store.delayedWrites = slices.Delete(m.store.delayedWrites, i, i+1)
		write()
	}
}

func (m *model) adjustAccount(ctx context.Context, mm *modelMember) {
	if _, known := mm.granter.Account(modelTeam); known {
		mm.granter.adjustAccount(ctx, modelTeam)
	}
}

func (m *model) deliverEvents(mm *modelMember, n int) {
	for range n {
		if mm.seen < len(m.store.history) {
			mm.granter.handleEvent(m.store.history[mm.seen])
			mm.seen++
		}
	}
}

// checkInvariants returns an error when a promise is broken, at any revision written
// since the last checkInvariants or by what runs now.
func (m *model) checkInvariants() error {
	for ; m.checked < len(m.store.history); m.checked++ {
		next, err := keeper.Decode[Account](m.store.history[m.checked].Record)
		if err != nil {
			return errors.Trace(err)
		}
		if next.Team != modelTeam {
			continue // the weights
		}
		if err := checkTransition(m.account, next); err != nil {
			return errors.Trace(err)
		}
		m.account = next
	}
	account := m.account
	running := 0
	for _, mm := range m.members {
		used := mm.granter.quota.usedBy(modelTeam)
		running += used
		mine, _ := account.Grant(mm.granter.self)
		if used > mine.Held {
			return errors.Errorf("%s runs %d slots and holds %d", mm.granter.self, used, mine.Held)
		}
	}
	if running > account.InForce {
		return errors.Errorf("%d slots run, limit in force %d", running, account.InForce)
	}
	return nil
}

// checkTransition checks one revision of an account against the one before.
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

// runUntilStable ends all faults and lets everyone act until nothing changes.
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
			_ = mm.coordinator.runRound(context.Background(), m.now) // checked by its effect
			m.deliverEvents(mm, len(m.store.history))
			m.adjustAccount(context.Background(), mm)
			mm.granter.quota.Release(modelTeam, mm.granter.quota.usedBy(modelTeam))
		}
	}
	account, _ := keeper.Decode[Account](m.store.records[keeper.LedgerPrefix+modelTeam])
	return account
}

// intsBelow returns 0 to n-1. rapid samples it evenly, while it draws small integers
// from a range more often.
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
		require.Equal(t, limit, account.Held(), "the whole limit is handed out: %+v", account)
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

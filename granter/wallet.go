package granter

import (
	"fmt"
	"maps"
	"sync"
)

// SlotQuota counts the slots that tasks of each team use on this member, and
// keeps them within the ceilings set by the Granter. It is safe for concurrent
// use.
type SlotQuota struct {
	mu         sync.Mutex
	used       map[string]int  // slots in use, by team
	ceiling    map[string]int  // maximum number of slots, by team
	refused    map[string]bool // teams refused since the last call of takeRefusedTeams
	checkFresh func() error    // Acquire refuses while it returns an error; see SetGuard
	assert     Assert
}

// Assert receives the result of each invariant check, with a message for the
// case that it fails.
type Assert func(ok bool, format string, args ...any)

// NewSlotQuota returns a SlotQuota in which every ceiling is 0. If assert is
// nil, a violated invariant panics.
func NewSlotQuota(assert Assert) *SlotQuota {
	if assert == nil {
		assert = panicUnless
	}
	return &SlotQuota{
		used:       make(map[string]int),
		ceiling:    make(map[string]int),
		refused:    make(map[string]bool),
		checkFresh: func() error { return nil },
		assert:     assert,
	}
}

// SetGuard makes Acquire refuse while checkFresh returns an error. A process
// that was suspended for a long time still has its old ceilings when it
// resumes, although its grants may have been reclaimed meanwhile. From that
// moment on, checkFresh must fail until the process has received the current
// state of the cluster. Call SetGuard before the first Acquire.
func (q *SlotQuota) SetGuard(checkFresh func() error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.checkFresh = checkFresh
}

// Acquire reserves n slots for the team. It returns false and reserves nothing
// when the slots would exceed the team's ceiling or the guard refuses.
func (q *SlotQuota) Acquire(team string, n int) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if n < 1 || q.used[team]+n > q.ceiling[team] {
		q.refused[team] = true
		return false
	}
	if q.checkFresh() != nil {
		return false
	}
	q.used[team] += n
	return true
}

// Release returns n slots that Acquire has reserved.
func (q *SlotQuota) Release(team string, n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.assert(n >= 0 && n <= q.used[team], "slot quota: %d slots released for team %q, but only %d in use", n, team, q.used[team])
	q.used[team] = max(0, q.used[team]-n)
	if q.used[team] == 0 {
		delete(q.used, team)
	}
}

// FreeSlots returns the number of slots that the ceiling still leaves for the
// team.
func (q *SlotQuota) FreeSlots(team string) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return max(0, q.ceiling[team]-q.used[team])
}

// CanAcquire reports whether the team's ceiling leaves room for n more slots.
// It doesn't ask the guard.
func (q *SlotQuota) CanAcquire(team string, n int) bool {
	return q.FreeSlots(team) >= n
}

// Used returns the slots in use by team, without the teams that use none.
func (q *SlotQuota) Used() map[string]int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return maps.Clone(q.used)
}

// Ceiling returns the maximum number of slots that the team may use on this
// member.
func (q *SlotQuota) Ceiling(team string) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.ceiling[team]
}

// SetCeiling sets the maximum number of slots that the team may use on this
// member. Only the Granter and tests that run without a ledger call it.
func (q *SlotQuota) SetCeiling(team string, n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.setCeilingLocked(team, n)
}

// LowerCeiling lowers the team's ceiling to n, or to the slots in use if these
// are more, and returns the new ceiling. It never raises the ceiling.
func (q *SlotQuota) LowerCeiling(team string, n int) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	next := min(q.ceiling[team], max(n, q.used[team]))
	q.setCeilingLocked(team, next)
	return next
}

// setCeilingLocked sets the ceiling. The caller holds q.mu.
func (q *SlotQuota) setCeilingLocked(team string, n int) {
	if n <= 0 {
		delete(q.ceiling, team)
		return
	}
	q.ceiling[team] = n
}

func (q *SlotQuota) slotsUsedBy(team string) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.used[team]
}

// takeRefusedTeams returns the teams for which Acquire was refused for lack of
// slots since the last call, and clears that set.
func (q *SlotQuota) takeRefusedTeams() map[string]bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	teams := q.refused
	q.refused = make(map[string]bool)
	return teams
}

func panicUnless(ok bool, format string, args ...any) {
	if !ok {
		panic(fmt.Sprintf(format, args...))
	}
}

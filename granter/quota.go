package granter

import (
	"fmt"
	"maps"
	"sync"
)

// SlotQuota counts the slots that this entry runs for each team against the
// ceilings that the Granter sets. It is safe for concurrent use.
type SlotQuota struct {
	mu         sync.Mutex
	used       map[string]int
	ceiling    map[string]int
	refused    map[string]bool // teams refused since the last call of takeShort
	checkFresh func() error
	assert     Assert
}

// Assert is told each invariant that the package checks while it runs.
type Assert func(ok bool, format string, args ...any)

// NewSlotQuota returns a wallet in which every ceiling is 0. A nil assert
// panics on a broken invariant.
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

// SetGuard makes Take refuse while fresh returns an error. A process that was
// paused for long still has its old ceilings when it wakes, although its grants
// may have been reclaimed; fresh must fail from that moment until the process
// has heard of it. Call it before Take is used.
func (w *SlotQuota) SetGuard(fresh func() error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checkFresh = fresh
}

// Take reserves n slots for the team. It reports false and reserves nothing
// when the team's ceiling leaves no room or the guard refuses.
func (w *SlotQuota) Acquire(team string, n int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if n < 1 || w.used[team]+n > w.ceiling[team] {
		w.refused[team] = true
		return false
	}
	if w.checkFresh() != nil {
		return false
	}
	w.used[team] += n
	return true
}

// Give returns n slots that Take has reserved.
func (w *SlotQuota) Release(team string, n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.assert(n >= 0 && n <= w.used[team], "wallet: %d slots given back for team %q, %d in use", n, team, w.used[team])
	w.used[team] = max(0, w.used[team]-n)
	if w.used[team] == 0 {
		delete(w.used, team)
	}
}

// FreeSlots returns the slots that Take would still reserve for the team.
func (w *SlotQuota) FreeSlots(team string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return max(0, w.ceiling[team]-w.used[team])
}

// Can reports whether Take would succeed now.
func (w *SlotQuota) CanAcquire(team string, n int) bool {
	return w.FreeSlots(team) >= n
}

// Used returns the slots in use by team. Teams without any are left out.
func (w *SlotQuota) Used() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.used)
}

// Ceiling returns the most slots that the team may use here.
func (w *SlotQuota) Ceiling(team string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ceiling[team]
}

// SetCeiling sets the most slots that the team may use here. Only the Granter
// calls it, and tests that run without a ledger.
func (w *SlotQuota) SetCeiling(team string, n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.setCeilingLocked(team, n)
}

// LowerCeiling lowers the team's ceiling towards n, but not below the slots in use,
// and returns the ceiling that now holds. It never raises the ceiling.
func (w *SlotQuota) LowerCeiling(team string, n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	next := min(w.ceiling[team], max(n, w.used[team]))
	w.setCeilingLocked(team, next)
	return next
}

func (w *SlotQuota) setCeilingLocked(team string, n int) {
	if n <= 0 {
		delete(w.ceiling, team)
		return
	}
	w.ceiling[team] = n
}

func (w *SlotQuota) usedBy(team string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.used[team]
}

// takeRefusedTeams returns the teams that were refused since the last call.
func (w *SlotQuota) takeRefusedTeams() map[string]bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	short := w.refused
	w.refused = make(map[string]bool)
	return short
}

func panicUnless(ok bool, format string, args ...any) {
	if !ok {
		panic(fmt.Sprintf(format, args...))
	}
}

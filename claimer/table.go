package claimer

import (
	"time"

	"github.com/coltsfootlever/coltsfootlever/messenger"
)

// nameTable holds the names (idempotency keys) that a home has granted. The limit applies to new
// grants only; names that other homes hand over are always accepted.
type nameTable struct {
	claims      map[nameKey]messenger.HeldName
	withdrawals map[string]withdrawal // by task ID
	limit       int
}

const (
	maxWithdrawals      = 4096
	withdrawalRetention = 2 * time.Minute // time in which the delayed message of a withdrawn claim is expected to arrive
)

// withdrawal records that a claimant gave up a claim before the home received it.
type withdrawal struct {
	sequence uint64
	at       time.Time
}

func newNameTable(limit int) *nameTable {
	return &nameTable{claims: map[nameKey]messenger.HeldName{}, withdrawals: map[string]withdrawal{}, limit: limit}
}

// recordWithdrawal remembers that the claimant gave up the claim, so that the
// claim is not granted when its message arrives late. When maxWithdrawals are
// remembered, it removes those that are older than withdrawalRetention. If there
// is still no room, the withdrawal is dropped, and the name stays held if the
// claim arrives later.
func (t *nameTable) recordWithdrawal(task string, sequence uint64, now time.Time) {
	if len(t.withdrawals) >= maxWithdrawals {
		for id, w := range t.withdrawals {
			if now.Sub(w.at) > withdrawalRetention {
				delete(t.withdrawals, id)
			}
		}
	}
	if len(t.withdrawals) < maxWithdrawals {
		t.withdrawals[task] = withdrawal{sequence: sequence, at: now}
	}
}

// isWithdrawn reports whether the claim of the task was withdrawn before it
// arrived.
func (t *nameTable) isWithdrawn(task string, sequence uint64) bool {
	w, ok := t.withdrawals[task]
	return ok && sequence <= w.sequence
}

func (t *nameTable) isFull() bool { return len(t.claims) >= t.limit }

// mergeHandedOver adds a name (idempotency key) that another home handed over. If the name has two
// grants, the one with the higher view number is the later one and is kept.
func (t *nameTable) mergeHandedOver(n messenger.HeldName) {
	existing, ok := t.claims[n.Hash]
	if ok && existing.View >= n.View {
		return
	}
	t.claims[n.Hash] = n
}

// recordTaskOutcome records whether the task of the claim has run. If notRun is true, it frees the name,
// or withdraws a claim that has not arrived yet.
func (t *nameTable) recordTaskOutcome(k nameKey, task string, sequence uint64, notRun bool) {
	n, ok := t.claims[k]
	if notRun && (!ok || n.Task != task) {
		t.recordWithdrawal(task, sequence, time.Now())
	}
	if !ok || n.Task != task || n.Sequence != sequence {
		return
	}
	if notRun && !n.Settled {
		delete(t.claims, k)
		return
	}
	n.Settled = true
	t.claims[k] = n
}

// removeExpired removes the names (idempotency keys) claimed before oldest.
func (t *nameTable) removeExpired(oldest time.Time) {
	for k, n := range t.claims {
		if n.Claimed.Before(oldest) {
			delete(t.claims, k)
		}
	}
}

// namesByOtherHome returns the names (idempotency keys) whose home is another
// member, by that member.
func (t *nameTable) namesByOtherHome(h rendezvous, self string) map[string][]messenger.HeldName {
	moved := map[string][]messenger.HeldName{}
	for k, n := range t.claims {
		if home := h.homeOf(k); home != self && home != "" {
			moved[home] = append(moved[home], n)
		}
	}
	return moved
}

// removeHandedOver removes the names (idempotency keys) that their new home has accepted.
func (t *nameTable) removeHandedOver(names []messenger.HeldName) {
	for _, n := range names {
		existing, ok := t.claims[n.Hash]
		if ok && existing.Task == n.Task && existing.View == n.View && existing.Sequence == n.Sequence {
			delete(t.claims, n.Hash)
		}
	}
}

package claimer

import (
	"time"

	"github.com/coltsfootlever/coltsfootlever/messenger"
)

// nameTable holds the granted names of one home. It is bounded for new grants;
// claims handed over by other homes are always taken in.
type nameTable struct {
	claims      map[nameKey]messenger.HeldName
	withdrawals map[string]withdrawal // by task
	limit       int
}

const (
	maxWithdrawals      = 4096            // withdrawn claims remembered
	withdrawalRetention = 2 * time.Minute // for a late claim to arrive
)

// withdrawal is a claim that was given up before the home received it.
type withdrawal struct {
	sequence uint64
	at       time.Time
}

func newNameTable(limit int) *nameTable {
	return &nameTable{claims: map[nameKey]messenger.HeldName{}, withdrawals: map[string]withdrawal{}, limit: limit}
}

// recordWithdrawal remembers that the claim was given up, so that it is not granted
// when it arrives late. A full memory forgets withdrawals that are old enough;
// one that does not fit is dropped, and its name then stays held.
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

// isWithdrawn reports whether the claim of the task was withdrawn before it came.
func (t *nameTable) isWithdrawn(task string, sequence uint64) bool {
	w, ok := t.withdrawals[task]
	return ok && sequence <= w.sequence
}

func (t *nameTable) isFull() bool { return len(t.claims) >= t.limit }

// mergeHandedOver takes in a name handed over by another home. Of two grants of a name,
// the one under the later view is the later grant.
func (t *nameTable) mergeHandedOver(n messenger.HeldName) {
	existing, ok := t.claims[n.Hash]
	if ok && existing.View >= n.View {
		return
	}
	t.claims[n.Hash] = n
}

// settleClaim notes how the claim ended: notRun frees the name, or withdraws a claim
// that has not come yet.
func (t *nameTable) settleClaim(k nameKey, task string, sequence uint64, notRun bool) {
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

// removeExpired drops the names claimed before oldest.
func (t *nameTable) removeExpired(oldest time.Time) {
	for k, n := range t.claims {
		if n.Claimed.Before(oldest) {
			delete(t.claims, k)
		}
	}
}

// namesByOtherHome returns the names whose home is another member, by home.
func (t *nameTable) namesByOtherHome(h rendezvous, self string) map[string][]messenger.HeldName {
	moved := map[string][]messenger.HeldName{}
	for k, n := range t.claims {
		if home := h.homeOf(k); home != self && home != "" {
			moved[home] = append(moved[home], n)
		}
	}
	return moved
}

// removeHandedOver drops the names that their new home has taken over.
func (t *nameTable) removeHandedOver(names []messenger.HeldName) {
	for _, n := range names {
		existing, ok := t.claims[n.Hash]
		if ok && existing.Task == n.Task && existing.View == n.View && existing.Sequence == n.Sequence {
			delete(t.claims, n.Hash)
		}
	}
}

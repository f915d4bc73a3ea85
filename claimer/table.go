package claimer

import (
	"time"

	"github.com/coltsfootlever/coltsfootlever/messenger"
)

// table holds the granted names of one home. It is bounded for new grants;
// names handed over by other homes are always taken in.
type table struct {
	names     map[key]messenger.HeldName
	withdrawn map[string]withdrawal // by task
	limit     int
}

const (
	maxWithdrawn  = 4096            // withdrawn claims remembered
	withdrawnLife = 2 * time.Minute // for a late claim to arrive
)

// withdrawal is a claim that was given up before the home received it.
type withdrawal struct {
	sequence uint64
	at       time.Time
}

func newTable(limit int) *table {
	return &table{names: map[key]messenger.HeldName{}, withdrawn: map[string]withdrawal{}, limit: limit}
}

// withdraw remembers that the claim was given up, so that it is not granted
// when it arrives late. A full memory forgets withdrawals that are old enough;
// one that does not fit is dropped, and its name then stays held.
func (t *table) withdraw(task string, sequence uint64, now time.Time) {
	if len(t.withdrawn) >= maxWithdrawn {
		for id, w := range t.withdrawn {
			if now.Sub(w.at) > withdrawnLife {
				delete(t.withdrawn, id)
			}
		}
	}
	if len(t.withdrawn) < maxWithdrawn {
		t.withdrawn[task] = withdrawal{sequence: sequence, at: now}
	}
}

// gaveUp reports whether the claim of the task was withdrawn before it came.
func (t *table) gaveUp(task string, sequence uint64) bool {
	w, ok := t.withdrawn[task]
	return ok && sequence <= w.sequence
}

func (t *table) full() bool { return len(t.names) >= t.limit }

// merge takes in a name handed over by another home. Of two grants of a name,
// the one under the later view is the later grant.
func (t *table) merge(n messenger.HeldName) {
	have, ok := t.names[n.Hash]
	if ok && have.View >= n.View {
		return
	}
	t.names[n.Hash] = n
}

// settle notes how the claim ended: notRun frees the name, or withdraws a claim
// that has not come yet.
func (t *table) settle(k key, task string, sequence uint64, notRun bool) {
	n, ok := t.names[k]
	if notRun && (!ok || n.Task != task) {
		t.withdraw(task, sequence, time.Now())
	}
	if !ok || n.Task != task || n.Sequence != sequence {
		return
	}
	if notRun && !n.Settled {
		delete(t.names, k)
		return
	}
	n.Settled = true
	t.names[k] = n
}

// expire drops the names claimed before oldest.
func (t *table) expire(oldest time.Time) {
	for k, n := range t.names {
		if n.Claimed.Before(oldest) {
			delete(t.names, k)
		}
	}
}

// split returns the names whose home is another member, by home.
func (t *table) split(h homes, self string) map[string][]messenger.HeldName {
	moved := map[string][]messenger.HeldName{}
	for k, n := range t.names {
		if home := h.of(k); home != self && home != "" {
			moved[home] = append(moved[home], n)
		}
	}
	return moved
}

// forget drops the names that their new home has taken over.
func (t *table) forget(names []messenger.HeldName) {
	for _, n := range names {
		have, ok := t.names[n.Hash]
		if ok && have.Task == n.Task && have.View == n.View && have.Sequence == n.Sequence {
			delete(t.names, n.Hash)
		}
	}
}

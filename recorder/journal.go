package recorder

import (
	"slices"
	"strings"
	"sync"
)

const (
	// DefaultJournal is the number of decisions that an entry remembers.
	DefaultJournal = 4096
	// maxFacts bounds the facts, and the alternatives, of a decision.
	maxFacts = 12
	// maxText bounds each text of a decision, in bytes.
	maxText = 120
)

// Journal remembers the last decisions of one entry. It is safe for concurrent
// use.
type Journal struct {
	mu        sync.Mutex
	decisions []Decision // ring
	next      int
	overwritten uint64
}

// NewJournal returns a journal of the given size, in decisions.
func NewJournal(size int) *Journal {
	return &Journal{decisions: make([]Decision, 0, size)}
}

// Record remembers the decision and forgets the oldest when it is full.
func (j *Journal) Record(d Decision) {
	d = d.bounded()
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.decisions) < cap(j.decisions) {
		j.decisions = append(j.decisions, d)
		return
	}
	j.decisions[j.next] = d
	j.next = (j.next + 1) % len(j.decisions)
	j.overwritten++
}

// Explain returns the remembered decisions on a subject, oldest first.
func (j *Journal) Explain(kind Kind, subject string) []Decision {
	j.mu.Lock()
	defer j.mu.Unlock()
	var found []Decision
	for i := range j.decisions {
		d := j.decisions[(j.next+i)%len(j.decisions)]
		if d.isAbout(kind, subject) {
			found = append(found, d)
		}
	}
	return found
}

// Forgotten returns the number of decisions that made room for newer ones.
func (j *Journal) Forgotten() uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.overwritten
}

// Merge joins decisions from several sources: each once, oldest first.
func Merge(sources ...[]Decision) []Decision {
	seen := make(map[string]bool)
	var all []Decision
	for _, source := range sources {
		for _, d := range source {
			if d.ID != "" && seen[d.ID] {
				continue
			}
			seen[d.ID] = true
			all = append(all, d)
		}
	}
	slices.SortStableFunc(all, func(a, b Decision) int {
		if c := a.Time.Compare(b.Time); c != 0 {
			return c
		}
		return strings.Compare(a.ID, b.ID)
	})
	return all
}

func (d Decision) isAbout(kind Kind, subject string) bool {
	return d.Kind == kind && d.Subject == subject
}

// bounded returns the decision cut to a bounded size.
func (d Decision) bounded() Decision {
	d.Subject, d.Action, d.Entry = cut(d.Subject), cut(d.Action), cut(d.Entry)
	d.Facts = slices.Clone(d.Facts[:min(len(d.Facts), maxFacts)])
	for i, f := range d.Facts {
		d.Facts[i] = Fact{Name: cut(f.Name), Value: cut(f.Value)}
	}
	d.Alternatives = slices.Clone(d.Alternatives[:min(len(d.Alternatives), maxFacts)])
	for i, w := range d.Alternatives {
		d.Alternatives[i] = cut(w)
	}
	return d
}

func cut(s string) string {
	if len(s) <= maxText {
		return s
	}
	return strings.ToValidUTF8(s[:maxText-3], "") + "..."
}

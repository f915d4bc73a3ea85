package recorder

import (
	"slices"
	"strings"
	"sync"
)

const (
	// DefaultJournal is the number of decisions that an entry keeps in memory.
	DefaultJournal = 4096
	// maxItems limits the facts and, separately, the alternatives of a decision.
	maxItems = 12
	// maxTextBytes limits the length of each text of a decision.
	maxTextBytes = 120
)

// Journal keeps the last decisions of one entry in memory. It is safe for
// concurrent use. A Ring keeps decisions of all entries in the key-value service.
type Journal struct {
	mu          sync.Mutex
	decisions   []Decision // ring buffer; once it is full, next is the oldest
	next        int
	overwritten uint64
}

// NewJournal returns a journal that keeps at most size decisions.
func NewJournal(size int) *Journal {
	return &Journal{decisions: make([]Decision, 0, size)}
}

// Record adds the decision. In a full journal it overwrites the oldest one.
func (j *Journal) Record(d Decision) {
	d = d.truncated()
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

// Decisions returns the decisions on a subject, oldest first.
func (j *Journal) Decisions(kind Kind, subject string) []Decision {
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

// Overwritten returns the number of decisions overwritten by newer ones.
func (j *Journal) Overwritten() uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.overwritten
}

// Merge merges the decisions of several sources, without duplicates and oldest
// first.
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

// truncated returns the decision with its lists and texts cut to their maximum
// lengths.
func (d Decision) truncated() Decision {
	d.Subject, d.Action, d.Entry = truncate(d.Subject), truncate(d.Action), truncate(d.Entry)
	d.Facts = slices.Clone(d.Facts[:min(len(d.Facts), maxItems)])
	for i, f := range d.Facts {
		d.Facts[i] = Fact{Name: truncate(f.Name), Value: truncate(f.Value)}
	}
	d.Alternatives = slices.Clone(d.Alternatives[:min(len(d.Alternatives), maxItems)])
	for i, w := range d.Alternatives {
		d.Alternatives[i] = truncate(w)
	}
	return d
}

func truncate(s string) string {
	if len(s) <= maxTextBytes {
		return s
	}
	return strings.ToValidUTF8(s[:maxTextBytes-3], "") + "..."
}

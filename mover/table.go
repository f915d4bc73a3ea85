package mover

import (
	"cmp"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/coltsfootlever/coltsfootlever/keeper"
)

type (
	// Table is the local copy of all instance records. A record in it is never
	// replaced by an older revision.
	Table struct {
		mu       sync.Mutex
		rows     map[string]row
		sorted   []Instance // cached result of All; nil after a change
		loaded   bool
		log      *slog.Logger
		onChange func()
	}

	row struct {
		inst         Instance
		revision     int64
		deleted      bool
		changed      time.Time // when this process learned of this revision
		phaseChanged time.Time // when this process learned of the current phase
	}
)

func newTable(log *slog.Logger, onChange func()) *Table {
	return &Table{rows: map[string]row{}, log: log, onChange: onChange}
}

// Get returns the record of an instance.
func (t *Table) Get(id string) (Instance, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.rows[id]
	return cloneInstance(r.inst), ok && !r.deleted
}

// All returns all records ordered by ID. The caller must not change them.
func (t *Table) All() []Instance {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sorted == nil {
		t.sorted = t.sortedRecords()
	}
	return t.sorted
}

func (t *Table) sortedRecords() []Instance {
	list := make([]Instance, 0, len(t.rows))
	for _, r := range t.rows {
		if !r.deleted {
			list = append(list, cloneInstance(r.inst))
		}
	}
	slices.SortFunc(list, func(a, b Instance) int { return cmp.Compare(a.ID, b.ID) })
	return slices.Clip(list)
}

// replaceAll replaces the copy with a complete list of the records.
func (t *Table) replaceAll(records []keeper.Record) {
	listed := map[string]bool{}
	for _, r := range records {
		listed[strings.TrimPrefix(r.Key, keeper.InstancePrefix)] = true
		t.applyRecord(r)
	}
	t.mu.Lock()
	t.loaded, t.sorted = true, nil
	for id := range t.rows {
		if !listed[id] {
			delete(t.rows, id)
		}
	}
	t.mu.Unlock()
	t.onChange()
}

// applyEvent applies one change reported by a watch of the store.
func (t *Table) applyEvent(e keeper.Event) {
	if !e.Deleted {
		t.applyRecord(e.Record)
		t.onChange()
		return
	}
	id := strings.TrimPrefix(e.Key, keeper.InstancePrefix)
	t.mu.Lock()
	if r, ok := t.rows[id]; ok && r.revision < e.Revision {
		t.rows[id] = row{revision: e.Revision, deleted: true}
		t.sorted = nil
	}
	t.mu.Unlock()
	t.onChange()
}

func (t *Table) applyRecord(r keeper.Record) {
	inst, err := keeper.Decode[Instance](r)
	if err != nil {
		t.log.Error("instance record unreadable; ignored", "key", r.Key, "err", err)
		return
	}
	t.storeIfNewer(inst, r.Revision)
}

// storeIfNewer stores a record that this process has written or read, unless the
// copy has the same or a newer revision.
func (t *Table) storeIfNewer(inst Instance, revision int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.rows[inst.ID]; ok && r.revision >= revision {
		return
	}
	now := time.Now()
	next := row{inst: cloneInstance(inst), revision: revision, changed: now, phaseChanged: now}
	if r, ok := t.rows[inst.ID]; ok && !r.deleted && r.inst.Phase == inst.Phase {
		next.phaseChanged = r.phaseChanged
	}
	t.rows[inst.ID] = next
	t.sorted = nil
}

// changeTimes returns when this process learned of the current revision of the
// record and of its current phase. An instance list read before these times does
// not show the effects of the change.
func (t *Table) changeTimes(id string) (changed, phaseChanged time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.rows[id]
	return r.changed, r.phaseChanged
}

// isLoaded reports whether the complete list of records was read at least once.
func (t *Table) isLoaded() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.loaded
}

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
	// Table is the local copy of all instance records. It never goes back to
	// an older revision of a record.
	Table struct {
		mu     sync.Mutex
		rows   map[string]row
		sorted []Instance // nil after a change
		listed bool
		log    *slog.Logger
		wake   func()
	}

	row struct {
		inst     Instance
		revision int64
		deleted  bool
		changed  time.Time // when this revision became known here
		phased   time.Time // when its phase became known here
	}
)

func newTable(log *slog.Logger, wake func()) *Table {
	return &Table{rows: map[string]row{}, log: log, wake: wake}
}

// Get returns the record of an instance.
func (t *Table) Get(id string) (Instance, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.rows[id]
	return clone(r.inst), ok && !r.deleted
}

// All returns all records ordered by identity. The caller must not change
// them.
func (t *Table) All() []Instance {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sorted == nil {
		t.sorted = t.list()
	}
	return t.sorted
}

func (t *Table) list() []Instance {
	list := make([]Instance, 0, len(t.rows))
	for _, r := range t.rows {
		if !r.deleted {
			list = append(list, clone(r.inst))
		}
	}
	slices.SortFunc(list, func(a, b Instance) int { return cmp.Compare(a.ID, b.ID) })
	return slices.Clip(list)
}

// reset takes a complete list of the records.
func (t *Table) reset(records []keeper.Record) {
	listed := map[string]bool{}
	for _, r := range records {
		listed[strings.TrimPrefix(r.Key, keeper.InstancePrefix)] = true
		t.put(r)
	}
	t.mu.Lock()
	t.listed, t.sorted = true, nil
	for id := range t.rows {
		if !listed[id] {
			delete(t.rows, id)
		}
	}
	t.mu.Unlock()
	t.wake()
}

// event takes one change seen by a watch.
func (t *Table) event(e keeper.Event) {
	if !e.Deleted {
		t.put(e.Record)
		t.wake()
		return
	}
	id := strings.TrimPrefix(e.Key, keeper.InstancePrefix)
	t.mu.Lock()
	if r, ok := t.rows[id]; ok && r.revision < e.Revision {
		t.rows[id] = row{revision: e.Revision, deleted: true}
		t.sorted = nil
	}
	t.mu.Unlock()
	t.wake()
}

func (t *Table) put(r keeper.Record) {
	inst, err := keeper.Decode[Instance](r)
	if err != nil {
		t.log.Error("instance record unreadable", "key", r.Key, "err", err)
		return
	}
	t.store(inst, r.Revision)
}

// store takes a record that this process has written or read.
func (t *Table) store(inst Instance, revision int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.rows[inst.ID]; ok && r.revision >= revision {
		return
	}
	now := time.Now()
	next := row{inst: clone(inst), revision: revision, changed: now, phased: now}
	if r, ok := t.rows[inst.ID]; ok && !r.deleted && r.inst.Phase == inst.Phase {
		next.phased = r.phased
	}
	t.rows[inst.ID] = next
	t.sorted = nil
}

// since returns when the record and when its phase became known here. Evidence
// from before says nothing about them.
func (t *Table) since(id string) (changed, phased time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.rows[id]
	return r.changed, r.phased
}

// known reports whether the records have been listed once.
func (t *Table) known() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.listed
}

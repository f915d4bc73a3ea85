package emulator

import (
	"bytes"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/keeper"
)

type (
	// engine is the state of the key-value service. Revisions grow by one with
	// each change of a key.
	engine struct {
		mu        sync.Mutex
		records   map[string]item
		leases    map[keeper.LeaseID]*lease
		lastLease keeper.LeaseID
		revision  int64
		history   []keeper.Event // events after revision compacted
		compacted int64
		keep      int           // events kept at least
		changed   chan struct{} // closed at the next change of data or faults
	}

	item struct {
		keeper.Record
		lease keeper.LeaseID
	}

	lease struct {
		ttl     time.Duration
		expires time.Time
		timer   *time.Timer
		keys    map[string]bool
	}
)

// wake tells all waiting calls that data or faults have changed.
func (e *engine) wake() {
	close(e.changed)
	e.changed = make(chan struct{})
}

// record appends an event and compacts the history.
func (e *engine) record(ev keeper.Event) {
	e.history = append(e.history, ev)
	if len(e.history) > 2*e.keep {
		e.compact(e.revision - int64(e.keep))
	}
	e.wake()
}

func (e *engine) compact(revision int64) {
	n := min(max(revision-e.compacted, 0), int64(len(e.history)))
	e.history = slices.Clone(e.history[n:])
	e.compacted += n
}

func (e *engine) get(key string) keeper.Record {
	r, ok := e.records[key]
	if !ok {
		return keeper.Record{Key: key}
	}
	r.Value = bytes.Clone(r.Value)
	return r.Record
}

func (e *engine) list(prefix string) []keeper.Record {
	var found []keeper.Record
	for key := range e.records {
		if strings.HasPrefix(key, prefix) {
			found = append(found, e.get(key))
		}
	}
	slices.SortFunc(found, func(a, b keeper.Record) int { return strings.Compare(a.Key, b.Key) })
	return found
}

func (e *engine) swap(key string, value []byte, revision int64, id keeper.LeaseID) (keeper.Record, error) {
	if len(value) > keeper.MaxValueBytes {
		return keeper.Record{}, errors.Annotatef(keeper.ErrTooLarge, "%d bytes under %q", len(value), key)
	}
	old := e.records[key]
	if old.Revision != revision {
		return keeper.Record{}, errors.Annotatef(keeper.ErrConflict, "%q at revision %d, not %d", key, old.Revision, revision)
	}
	if id != 0 {
		l, ok := e.leases[id]
		if !ok {
			return keeper.Record{}, errors.Annotatef(keeper.ErrLeaseLost, "lease %d", id)
		}
		l.keys[key] = true
	}
	if l, ok := e.leases[old.lease]; ok && old.lease != id {
		delete(l.keys, key)
	}
	e.revision++
	r := keeper.Record{Key: key, Value: bytes.Clone(value), Revision: e.revision}
	e.records[key] = item{Record: r, lease: id}
	e.record(keeper.Event{Record: r})
	return r, nil
}

func (e *engine) remove(key string, revision int64) error {
	old := e.records[key]
	if old.Revision != revision {
		return errors.Annotatef(keeper.ErrConflict, "%q at revision %d, not %d", key, old.Revision, revision)
	}
	if revision == 0 {
		return nil
	}
	if l, ok := e.leases[old.lease]; ok {
		delete(l.keys, key)
	}
	delete(e.records, key)
	e.revision++
	e.record(keeper.Event{Record: keeper.Record{Key: key, Revision: e.revision}, Deleted: true})
	return nil
}

func (e *engine) grant(ttl time.Duration) keeper.LeaseID {
	e.lastLease++
	id := e.lastLease
	l := &lease{ttl: ttl, expires: time.Now().Add(ttl), keys: make(map[string]bool)}
	l.timer = time.AfterFunc(ttl, func() { e.expire(id) })
	e.leases[id] = l
	return id
}

func (e *engine) keepAlive(id keeper.LeaseID) error {
	l, ok := e.leases[id]
	if !ok {
		return errors.Annotatef(keeper.ErrLeaseLost, "lease %d", id)
	}
	l.expires = time.Now().Add(l.ttl)
	l.timer.Reset(l.ttl)
	return nil
}

// expire ends a lease whose time is over.
func (e *engine) expire(id keeper.LeaseID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if l, ok := e.leases[id]; ok && !time.Now().Before(l.expires) {
		e.revoke(id)
	}
}

// revoke ends a lease and deletes the keys bound to it.
func (e *engine) revoke(id keeper.LeaseID) {
	l, ok := e.leases[id]
	if !ok {
		return
	}
	l.timer.Stop()
	for key := range l.keys {
		_ = e.remove(key, e.records[key].Revision) // cannot conflict: the revision was just read
	}
	delete(e.leases, id)
}

// since returns the events after a revision.
func (e *engine) since(after int64) ([]keeper.Event, error) {
	if after < e.compacted {
		return nil, errors.Annotatef(keeper.ErrCompacted, "revision %d, oldest kept %d", after, e.compacted)
	}
	if after >= e.revision {
		return nil, nil
	}
	return e.history[after-e.compacted:], nil
}

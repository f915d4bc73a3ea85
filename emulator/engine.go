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

const historyLimit = 4000 // number of events kept for watches; when it is exceeded, the older half is compacted

type (
	// storeEngine is the state of the key-value service. The revision increases by
	// one with each change of a key.
	storeEngine struct {
		mu                sync.Mutex
		records           map[string]storedItem
		leases            map[keeper.LeaseID]*lease
		lastLease         keeper.LeaseID
		revision          int64
		compactedRevision int64
		history           []keeper.Event // events after compactedRevision
		changed           condition      // broadcast at each change of data or faults
	}

	storedItem struct {
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

// commit assigns the next revision to a change and adds it to the history.
func (e *storeEngine) commit(ev keeper.Event) keeper.Record {
	e.revision++
	ev.Revision = e.revision
	e.history = append(e.history, ev)
	if len(e.history) > historyLimit {
		e.compact(e.revision - historyLimit/2)
	}
	e.changed.broadcast()
	return ev.Record
}

// compact drops the events up to and including revision from the history.
func (e *storeEngine) compact(revision int64) {
	n := min(max(revision-e.compactedRevision, 0), int64(len(e.history)))
	e.history = slices.Clone(e.history[n:])
	e.compactedRevision += n
}

func (e *storeEngine) get(key string) keeper.Record {
	r := e.records[key].Record
	r.Key, r.Value = key, bytes.Clone(r.Value)
	return r
}

func (e *storeEngine) list(prefix string) []keeper.Record {
	var found []keeper.Record
	for key := range e.records {
		if strings.HasPrefix(key, prefix) {
			found = append(found, e.get(key))
		}
	}
	slices.SortFunc(found, func(a, b keeper.Record) int { return strings.Compare(a.Key, b.Key) })
	return found
}

// swap writes a record if its current revision is the given one; revision 0 means
// that the key does not exist. The record is bound to lease id unless id is 0.
func (e *storeEngine) swap(key string, value []byte, revision int64, id keeper.LeaseID) (keeper.Record, error) {
	if len(value) > keeper.MaxValueBytes {
		return keeper.Record{}, errors.Annotatef(keeper.ErrTooLarge, "%d bytes under %q", len(value), key)
	}
	l, ok := e.leases[id]
	if id != 0 && !ok {
		return keeper.Record{}, errors.Annotatef(keeper.ErrLeaseLost, "lease %d", id)
	}
	if err := e.checkAndDetach(key, revision); err != nil {
		return keeper.Record{}, err
	}
	if ok {
		l.keys[key] = true
	}
	r := e.commit(keeper.Event{Record: keeper.Record{Key: key, Value: value}})
	e.records[key] = storedItem{Record: r, lease: id}
	return r, nil
}

// remove deletes a record if its current revision is the given one.
func (e *storeEngine) remove(key string, revision int64) error {
	if err := e.checkAndDetach(key, revision); err != nil || revision == 0 {
		return err
	}
	delete(e.records, key)
	e.commit(keeper.Event{Record: keeper.Record{Key: key}, Deleted: true})
	return nil
}

// checkAndDetach fails with ErrConflict unless the record of key has the given
// revision. Otherwise it detaches the record from its lease.
func (e *storeEngine) checkAndDetach(key string, revision int64) error {
	old := e.records[key]
	if old.Revision != revision {
		return errors.Annotatef(keeper.ErrConflict, "%q at revision %d, not %d", key, old.Revision, revision)
	}
	if l, ok := e.leases[old.lease]; ok {
		delete(l.keys, key)
	}
	return nil
}

func (e *storeEngine) grant(ttl time.Duration) keeper.LeaseID {
	e.lastLease++
	id := e.lastLease
	l := &lease{ttl: ttl, expires: time.Now().Add(ttl), keys: make(map[string]bool)}
	l.timer = time.AfterFunc(ttl, func() { e.expire(id, l) })
	e.leases[id] = l
	return id
}

func (e *storeEngine) keepAlive(id keeper.LeaseID) error {
	l, ok := e.leases[id]
	if !ok {
		return errors.Annotatef(keeper.ErrLeaseLost, "lease %d", id)
	}
	l.expires = time.Now().Add(l.ttl)
	l.timer.Reset(l.ttl)
	return nil
}

func (e *storeEngine) expire(id keeper.LeaseID, l *lease) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !time.Now().Before(l.expires) {
		e.revoke(id)
	}
}

// revoke ends a lease and deletes its keys.
func (e *storeEngine) revoke(id keeper.LeaseID) {
	l, ok := e.leases[id]
	if !ok {
		return
	}
	l.timer.Stop()
	delete(e.leases, id)
	for key := range l.keys {
		delete(e.records, key)
		e.commit(keeper.Event{Record: keeper.Record{Key: key}, Deleted: true})
	}
}

// eventsAfter returns the events whose revision is higher than after.
func (e *storeEngine) eventsAfter(after int64) ([]keeper.Event, error) {
	if after < e.compactedRevision {
		return nil, errors.Annotatef(keeper.ErrCompacted, "revision %d, oldest kept %d", after, e.compactedRevision)
	}
	return e.history[min(after-e.compactedRevision, int64(len(e.history))):], nil
}

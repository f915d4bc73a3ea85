package emulator

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/supervisor"
)

const maxTxnKeys = 32 // maximum number of keys in a transaction

type (
	// MetaStore emulates the metadata store with transactions, leases and watches,
	// for package platform.
	// Faults are set with InjectFaults.
	MetaStore struct {
		mu             sync.Mutex
		faults         MetaStoreFaults
		revision       int64
		records        map[string]storedRecord
		events         []keeper.Event
		oldestRevision int64 // a watch must start at this revision or later, because the events before it were dropped
		leases         map[keeper.LeaseID]time.Time
		changed        chan struct{}
		commits        int
	}

	// MetaStoreFaults are the faults that a MetaStore shows.
	MetaStoreFaults struct {
		Delay               time.Duration   // time that each call waits before it takes effect
		Down                bool            // every call fails and changes nothing
		DisconnectedClients map[string]bool // clients whose calls fail, by the name passed to ClientFor
		WatchOnlyClients    map[string]bool // clients whose calls fail while their open watches continue
		// LoseCommitResponse decides whether the response to a transaction is lost
		// and, if so, after which delay the transaction is applied.
		LoseCommitResponse func(txn keeper.Txn) (lost bool, delay time.Duration)
		// DelayCommitResponse decides for how long the response to an applied
		// transaction is delayed.
		DelayCommitResponse func(txn keeper.Txn) time.Duration
		MaxValueBytes       int                       // transactions with a larger value are rejected
		RejectCommit        func(txn keeper.Txn) bool // decides whether a transaction is rejected as invalid
	}

	storedRecord struct {
		keeper.Record
		lease keeper.LeaseID
	}

	// MetaStoreClient is the client of one entry node for a MetaStore.
	MetaStoreClient struct {
		*MetaStore
		name string
	}
)

// NewMetaStore returns an empty store without faults.
func NewMetaStore() *MetaStore {
	return &MetaStore{
		records: make(map[string]storedRecord),
		leases:  make(map[keeper.LeaseID]time.Time),
		changed: make(chan struct{}),
		faults:  MetaStoreFaults{DisconnectedClients: make(map[string]bool), WatchOnlyClients: make(map[string]bool), MaxValueBytes: keeper.MaxValueBytes},
	}
}

// InjectFaults changes the faults under the store's mutex.
func (s *MetaStore) InjectFaults(change func(f *MetaStoreFaults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.faults)
}

// ClientFor returns the client of the named entry node.
// MetaStoreFaults.DisconnectedClients can disconnect it by this name.
func (s *MetaStore) ClientFor(name string) *MetaStoreClient {
	return &MetaStoreClient{s, name}
}

// Compact drops all events so far, so that watches from earlier revisions fail
// with ErrCompacted.
func (s *MetaStore) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events, s.oldestRevision = nil, s.revision+1
	s.notifyWatchers()
}

// PutAsOperator writes a key in the name of the platform's operator. Faults do not
// affect it.
func (s *MetaStore) PutAsOperator(p keeper.Put) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _, _ = s.commit(keeper.Txn{Put: []keeper.Put{p}}) // a put without expected revision and without lease cannot fail
}

// DeleteAsOperator deletes a key in the name of the platform's operator. Faults do not
// affect it.
func (s *MetaStore) DeleteAsOperator(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _, _ = s.commit(keeper.Txn{Delete: []string{key}}) // a deletion without expected revision cannot fail
}

// Commits returns the number of calls of Commit that reached the store, including
// those that were not applied and those whose response was lost.
func (s *MetaStore) Commits() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.commits
}

// notifyWatchers wakes the waiting watches so that they look for new events.
func (s *MetaStore) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// applyFaults waits for the configured delay and fails when the store is
// down, the client is disconnected or only its open watches work.
func (c *MetaStoreClient) applyFaults(ctx context.Context) error {
	c.mu.Lock()
	watchOnly := c.faults.WatchOnlyClients[c.name]
	c.mu.Unlock()
	if watchOnly {
		return errors.Annotatef(keeper.ErrUnavailable, "client %q", c.name)
	}
	return c.applyFaultsToWatch(ctx)
}

// applyFaultsToWatch waits for the configured delay and fails when the store is
// down or the client is disconnected.
func (c *MetaStoreClient) applyFaultsToWatch(ctx context.Context) error {
	c.mu.Lock()
	delay, unreachable := c.faults.Delay, c.faults.Down || c.faults.DisconnectedClients[c.name]
	c.mu.Unlock()
	if delay > 0 {
		if err := supervisor.Pause(ctx, delay); err != nil {
			return err
		}
	}
	if unreachable {
		return errors.Annotatef(keeper.ErrUnavailable, "client %q", c.name)
	}
	return nil
}

// Get returns the record of a key; its revision is 0 if the key does not exist.
func (c *MetaStoreClient) Get(ctx context.Context, key string) (keeper.Record, error) {
	if err := c.applyFaults(ctx); err != nil {
		return keeper.Record{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.removeExpired()
	r := c.records[key].Record
	r.Key = key
	return r, nil
}

// List returns the records whose key has the prefix, sorted by key, and the
// current revision.
func (c *MetaStoreClient) List(ctx context.Context, prefix string) ([]keeper.Record, int64, error) {
	if err := c.applyFaults(ctx); err != nil {
		return nil, 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.removeExpired()
	var records []keeper.Record
	for key, r := range c.records {
		if strings.HasPrefix(key, prefix) {
			records = append(records, r.Record)
		}
	}
	slices.SortFunc(records, func(a, b keeper.Record) int { return strings.Compare(a.Key, b.Key) })
	return records, c.revision, nil
}

// Watch calls fn for each change after a revision of a key with the prefix.
func (c *MetaStoreClient) Watch(ctx context.Context, prefix string, after int64, fn func(keeper.Event)) error {
	if err := c.applyFaults(ctx); err != nil {
		return err
	}
	for {
		if err := c.applyFaultsToWatch(ctx); err != nil {
			return err
		}
		events, changed, err := c.eventsAfter(prefix, &after)
		if err != nil {
			return err
		}
		for _, ev := range events {
			fn(ev)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-time.After(time.Second): // leases expire only when a call checks them
		}
	}
}

// eventsAfter returns the events after *after of keys with the prefix and advances
// *after to the current revision. The channel is closed at the next change.
func (c *MetaStoreClient) eventsAfter(prefix string, after *int64) ([]keeper.Event, chan struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.removeExpired()
	if *after+1 < c.oldestRevision {
		return nil, nil, keeper.ErrCompacted
	}
	var events []keeper.Event
	for _, ev := range c.events {
		if ev.Revision > *after && strings.HasPrefix(ev.Key, prefix) {
			events = append(events, ev)
		}
	}
	*after = c.revision
	return events, c.changed, nil
}

// Commit applies a transaction if all expected revisions match.
func (c *MetaStoreClient) Commit(ctx context.Context, txn keeper.Txn) (int64, []keeper.Record, error) {
	if n := len(txn.Expect) + len(txn.Put) + len(txn.Delete); n > maxTxnKeys {
		return 0, nil, fmt.Errorf("transaction of %d entries, the limit is %d", n, maxTxnKeys)
	}
	if err := c.applyFaults(ctx); err != nil {
		return 0, nil, err
	}
	revision, current, delay, err := c.commitWithFaults(txn)
	if delay > 0 {
		time.Sleep(delay) // also after the end of ctx, as in a process that is stopped
	}
	return revision, current, err
}

// commitWithFaults applies a transaction, unless its response is to be lost, and
// returns the delay of the response.
func (c *MetaStoreClient) commitWithFaults(txn keeper.Txn) (revision int64, current []keeper.Record, delay time.Duration, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.commits++
	if err := c.faults.check(txn); err != nil {
		return 0, nil, 0, err
	}
	if c.faults.LoseCommitResponse != nil {
		if lost, delay := c.faults.LoseCommitResponse(txn); lost {
			time.AfterFunc(delay, func() {
				c.mu.Lock()
				defer c.mu.Unlock()
				_, _, _ = c.commit(txn) // the caller has already received ErrUnknown, so the result is dropped
			})
			return 0, nil, 0, keeper.ErrUnknown
		}
	}
	if c.faults.DelayCommitResponse != nil {
		delay = c.faults.DelayCommitResponse(txn)
	}
	revision, current, err = c.commit(txn)
	return revision, current, delay, err
}

// check returns an error if the store rejects the transaction as invalid.
func (f *MetaStoreFaults) check(txn keeper.Txn) error {
	for _, p := range txn.Put {
		if len(p.Value) > f.MaxValueBytes {
			return errors.Annotatef(keeper.ErrRejected, "%q with a value of %d bytes, the limit is %d", p.Key, len(p.Value), f.MaxValueBytes)
		}
	}
	if f.RejectCommit != nil && f.RejectCommit(txn) {
		return errors.Annotate(keeper.ErrRejected, "transaction")
	}
	return nil
}

// commit applies a transaction if all expected revisions match; otherwise it
// returns the current records of the expected keys.
func (s *MetaStore) commit(txn keeper.Txn) (int64, []keeper.Record, error) {
	s.removeExpired()
	var current []keeper.Record
	conflict := false
	for _, e := range txn.Expect {
		r := s.records[e.Key].Record
		r.Key = e.Key
		current = append(current, r)
		conflict = conflict || r.Revision != e.Revision
	}
	if conflict {
		return 0, current, keeper.ErrConflict
	}
	for _, p := range txn.Put {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			return 0, nil, keeper.ErrLeaseLost
		}
	}
	s.revision++
	for _, p := range txn.Put {
		r := keeper.Record{Key: p.Key, Value: slices.Clone(p.Value), Revision: s.revision}
		s.records[p.Key] = storedRecord{r, p.Lease}
		s.events = append(s.events, keeper.Event{Record: r})
	}
	for _, key := range txn.Delete {
		s.remove(key)
	}
	s.notifyWatchers()
	return s.revision, nil, nil
}

func (s *MetaStore) remove(key string) {
	if _, ok := s.records[key]; !ok {
		return
	}
	delete(s.records, key)
	s.events = append(s.events, keeper.Event{Record: keeper.Record{Key: key, Revision: s.revision}, Deleted: true})
}

// Grant creates a lease with the given time to live.
func (c *MetaStoreClient) Grant(ctx context.Context, ttl time.Duration) (keeper.LeaseID, error) {
	if err := c.applyFaults(ctx); err != nil {
		return 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revision++
	id := keeper.LeaseID(c.revision)
	c.leases[id] = time.Now().Add(ttl)
	return id, nil
}

// KeepAlive extends any lease by leaseRenewal, not by the time to live that Grant
// was given.
func (c *MetaStoreClient) KeepAlive(ctx context.Context, id keeper.LeaseID) error {
	if err := c.applyFaults(ctx); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.removeExpired()
	if _, ok := c.leases[id]; !ok {
		return keeper.ErrLeaseLost
	}
	c.leases[id] = time.Now().Add(leaseRenewal)
	return nil
}

const leaseRenewal = 1500 * time.Millisecond // time to live of the leader's lease; KeepAlive uses it for every lease

// Revoke ends a lease and deletes its records.
func (c *MetaStoreClient) Revoke(ctx context.Context, id keeper.LeaseID) error {
	if err := c.applyFaults(ctx); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.leases, id)
	c.removeExpired()
	return nil
}

// removeExpired deletes expired leases and the records bound to them.
func (s *MetaStore) removeExpired() {
	now := time.Now()
	for id, until := range s.leases {
		if !now.Before(until) {
			delete(s.leases, id)
		}
	}
	var expired []string
	for key, r := range s.records {
		if _, ok := s.leases[r.lease]; r.lease != 0 && !ok {
			expired = append(expired, key)
		}
	}
	if len(expired) == 0 {
		return
	}
	s.revision++
	for _, key := range expired {
		s.remove(key)
	}
	s.notifyWatchers()
}

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

const maxTxnKeys = 32 // keys that a transaction may name

type (
	// MetaStore stands in for a metadata store with transactions, leases and
	// watches. Its exported fields switch faults on and off; set them through
	// Do.
	MetaStore struct {
		mu             sync.Mutex
		faults         MetaStoreFaults
		revision       int64
		records        map[string]storedRecord
		events         []keeper.Event
		oldestRevision int64 // revision of the oldest event kept
		leases         map[keeper.LeaseID]time.Time
		changed        chan struct{}
		commits        int
	}

	// MetaStoreFaults are what goes wrong in a MetaStore.
	MetaStoreFaults struct {
		Delay               time.Duration   // of each answer
		Down                bool            // every call fails, nothing is done
		DisconnectedClients map[string]bool // by client name, see For
		// LoseCommitResponse says of a transaction whether its answer is lost, and how much
		// later it is carried out.
		LoseCommitResponse func(txn keeper.Txn) (lost bool, late time.Duration)
	}

	storedRecord struct {
		keeper.Record
		lease keeper.LeaseID
	}

	// MetaStoreClient is one entry's access to a MetaStore.
	MetaStoreClient struct {
		*MetaStore
		name string
	}
)

// NewMetaStore returns an empty store.
func NewMetaStore() *MetaStore {
	return &MetaStore{
		records: make(map[string]storedRecord),
		leases:  make(map[keeper.LeaseID]time.Time),
		changed: make(chan struct{}),
		faults:  MetaStoreFaults{DisconnectedClients: make(map[string]bool)},
	}
}

// InjectFaults changes the faults.
func (s *MetaStore) InjectFaults(change func(f *MetaStoreFaults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.faults)
}

// ClientFor returns the access of a named entry, which StoreFaults.Cut can cut.
func (s *MetaStore) ClientFor(name string) *MetaStoreClient {
	return &MetaStoreClient{s, name}
}

// Compact forgets the events so far.
func (s *MetaStore) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events, s.oldestRevision = nil, s.revision+1
	s.notifyWatchers()
}

// PutAsOperator puts a key as the operator does, whatever fails.
func (s *MetaStore) PutAsOperator(p keeper.Put) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _, _ = s.commit(keeper.Txn{Put: []keeper.Put{p}}) // it has no condition that could fail
}

// Commits is the number of transactions so far.
func (s *MetaStore) Commits() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.commits
}

func (s *MetaStore) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// applyFaults waits for the store's delay and fails when the client is cut off.
func (c *MetaStoreClient) applyFaults(ctx context.Context) error {
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

// Get reads a key.
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

// List reads all keys below a prefix, in the order of keys.
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

// Watch calls fn with changes below a prefix after a revision.
func (c *MetaStoreClient) Watch(ctx context.Context, prefix string, after int64, fn func(keeper.Event)) error {
	for {
		if err := c.applyFaults(ctx); err != nil {
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
		case <-time.After(time.Second): // leases end without an event of their own
		}
	}
}

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

// Commit carries out a transaction.
func (c *MetaStoreClient) Commit(ctx context.Context, txn keeper.Txn) (int64, []keeper.Record, error) {
	if n := len(txn.Expect) + len(txn.Put) + len(txn.Delete); n > maxTxnKeys {
		return 0, nil, fmt.Errorf("transaction of %d entries, the limit is %d", n, maxTxnKeys)
	}
	if err := c.applyFaults(ctx); err != nil {
		return 0, nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.commits++
	if c.faults.LoseCommitResponse != nil {
		if lost, late := c.faults.LoseCommitResponse(txn); lost {
			time.AfterFunc(late, func() {
				c.mu.Lock()
				defer c.mu.Unlock()
				_, _, _ = c.commit(txn) // nobody hears of the outcome
			})
			return 0, nil, keeper.ErrUnknown
		}
	}
	return c.commit(txn)
}

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

// Grant opens a lease.
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

// KeepAlive renews a lease by the time it was granted for, a second and a half
// in these tests.
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

const leaseRenewal = 1500 * time.Millisecond // the lease time of leadership

// Revoke ends a lease.
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

// removeExpired removes the records of leases that have ended.
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

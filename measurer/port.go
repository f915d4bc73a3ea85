package measurer

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"net"
	"sync"

	"github.com/coltsfootlever/coltsfootlever/dispatcher"
	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/lister"
	"github.com/coltsfootlever/coltsfootlever/messenger"
	"github.com/coltsfootlever/coltsfootlever/server"
)

type (
	// countingStore counts the calls that an entry makes to the key-value service
	// to read, list, write, delete and watch keys and to renew leases, and the
	// events that its watches receive. The bytes counted are those of the keys and
	// values in base64, the encoding that the service's HTTP protocol uses.
	countingStore struct {
		server.Store
		counter *Counter
	}

	// countingInstances counts an entry's reads of the platform's instance list. The bytes counted
	// are those of the list as JSON.
	countingInstances struct {
		server.Instances
		counter *Counter
		sizes   *listSizeCache
	}

	// listSizeCache caches the JSON size of an instance list by the number of its
	// instances. Without it, encoding each list to get its size would be counted
	// as CPU time of the entries.
	listSizeCache struct {
		mu    sync.Mutex
		bytes map[int]int // by number of instances
	}

	// countingWorkers counts the calls that an entry makes to workers to start
	// tasks and to renew their leases.
	countingWorkers struct {
		server.Workers
		counter *Counter
	}

	// countingPeers counts, by kind, the heartbeats, claims, settlements, forwards
	// and rule fetches that an entry sends to other entries. It counts no bytes:
	// countingConn counts those of the connections.
	countingPeers struct {
		server.Peers
		counter *Counter
	}

	// countingConn is the dialing end of a connection between two entries. It
	// counts the bytes for both of them.
	countingConn struct {
		net.Conn
		dialer, listener *Counter
	}
)

// encodedBytes returns the size of a key and its value in base64.
func encodedBytes(key string, value []byte) int {
	return base64.StdEncoding.EncodedLen(len(key)) + base64.StdEncoding.EncodedLen(len(value))
}

// Get implements server.Store.
func (s countingStore) Get(ctx context.Context, key string) (keeper.Record, error) {
	r, err := s.Store.Get(ctx, key)
	s.counter.Add("store-get", encodedBytes(key, r.Value))
	return r, err
}

// List implements server.Store.
func (s countingStore) List(ctx context.Context, prefix string) ([]keeper.Record, int64, error) {
	records, revision, err := s.Store.List(ctx, prefix)
	bytes := encodedBytes(prefix, nil)
	for _, r := range records {
		bytes += encodedBytes(r.Key, r.Value)
	}
	s.counter.Add("store-list", bytes)
	return records, revision, err
}

// Swap implements server.Store.
func (s countingStore) Swap(ctx context.Context, key string, value []byte, revision int64, lease keeper.LeaseID) (keeper.Record, error) {
	s.counter.Add("store-swap", encodedBytes(key, value))
	return s.Store.Swap(ctx, key, value, revision, lease)
}

// Delete implements server.Store.
func (s countingStore) Delete(ctx context.Context, key string, revision int64) error {
	s.counter.Add("store-delete", encodedBytes(key, nil))
	return s.Store.Delete(ctx, key, revision)
}

// Watch implements server.Store.
func (s countingStore) Watch(ctx context.Context, prefix string, after int64, fn func(keeper.Event)) error {
	s.counter.Add("store-watch", encodedBytes(prefix, nil))
	return s.Store.Watch(ctx, prefix, after, func(e keeper.Event) {
		s.counter.Add("store-event", encodedBytes(e.Key, e.Value))
		fn(e)
	})
}

// KeepAlive implements server.Store.
func (s countingStore) KeepAlive(ctx context.Context, id keeper.LeaseID) error {
	s.counter.Add("store-keep-alive", 0)
	return s.Store.KeepAlive(ctx, id)
}

// List implements server.Instances.
func (i countingInstances) List(ctx context.Context) ([]lister.Listing, error) {
	list, err := i.Instances.List(ctx)
	i.counter.Add(ListReads, i.sizes.sizeOf(list))
	return list, err
}

// sizeOf returns the size of the list as JSON, in bytes.
func (c *listSizeCache) sizeOf(list []lister.Listing) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, ok := c.bytes[len(list)]
	if !ok {
		data, _ := json.Marshal(list)
		n = len(data)
		c.bytes[len(list)] = n
	}
	return n
}

// Start implements server.Workers.
func (w countingWorkers) Start(ctx context.Context, address string, start dispatcher.Start) (dispatcher.Finish, error) {
	w.counter.Add(Starts, 0)
	return w.Workers.Start(ctx, address, start)
}

// Renew implements server.Workers.
func (w countingWorkers) Renew(ctx context.Context, address string, r dispatcher.Renewal) ([]string, error) {
	data, _ := json.Marshal(r)
	w.counter.Add(Renewals, len(data))
	return w.Workers.Renew(ctx, address, r)
}

// Heartbeat implements server.Peers.
func (p countingPeers) Heartbeat(ctx context.Context, address string, hb messenger.Heartbeat) (messenger.Heartbeat, error) {
	p.counter.Add(Heartbeats, 0)
	return p.Peers.Heartbeat(ctx, address, hb)
}

// Claim implements server.Peers.
func (p countingPeers) Claim(ctx context.Context, address string, r messenger.ClaimRequest) (messenger.ClaimReply, error) {
	p.counter.Add(Claims, 0)
	return p.Peers.Claim(ctx, address, r)
}

// ReportTaskOutcome implements server.Peers.
func (p countingPeers) ReportTaskOutcome(ctx context.Context, address string, r messenger.SettleRequest) error {
	p.counter.Add(Settlements, 0)
	return p.Peers.ReportTaskOutcome(ctx, address, r)
}

// ForwardTask implements server.Peers.
func (p countingPeers) ForwardTask(ctx context.Context, address string, r messenger.ForwardRequest) (messenger.Answer, error) {
	p.counter.Add(Forwards, 0)
	return p.Peers.ForwardTask(ctx, address, r)
}

// ListRulesChanges implements server.Peers.
func (p countingPeers) ListRulesChanges(ctx context.Context, address string, r messenger.ChangesRequest) (messenger.ChangesReply, error) {
	p.counter.Add(RuleFetches, 0)
	return p.Peers.ListRulesChanges(ctx, address, r)
}

// Read implements net.Conn.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.dialer.Add(PeerReceived, n)
	c.listener.Add(PeerSent, n)
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.dialer.Add(PeerSent, n)
	c.listener.Add(PeerReceived, n)
	return n, err
}

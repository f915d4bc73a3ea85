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
	// storePort counts calls of the key-value service. Bytes are those of keys
	// and values in base64, as its published protocol carries them.
	storePort struct {
		server.Store
		meter *Meter
	}

	// listPort counts reads of the instance list by the bytes of its JSON form.
	listPort struct {
		server.Instances
		meter *Meter
		sizes *listSizes
	}

	// listSizes remembers the bytes of lists by their length, since encoding
	// each list would count as processor time of the entries.
	listSizes struct {
		mu    sync.Mutex
		bytes map[int]int
	}

	// workerPort counts orders to workers.
	workerPort struct {
		server.Workers
		meter *Meter
	}

	// peerPort counts calls of peers. Their bytes are counted by countedConn.
	peerPort struct {
		server.Peers
		meter *Meter
	}

	// countedConn counts the bytes of a connection at both of its ends.
	countedConn struct {
		net.Conn
		dialer, listener *Meter
	}
)

func recordBytes(key string, value []byte) int {
	return base64.StdEncoding.EncodedLen(len(key)) + base64.StdEncoding.EncodedLen(len(value))
}

// Get implements server.Store.
func (p storePort) Get(ctx context.Context, key string) (keeper.Record, error) {
	r, err := p.Store.Get(ctx, key)
	p.meter.Add("store-get", recordBytes(key, r.Value))
	return r, err
}

// List implements server.Store.
func (p storePort) List(ctx context.Context, prefix string) ([]keeper.Record, int64, error) {
	records, revision, err := p.Store.List(ctx, prefix)
	bytes := recordBytes(prefix, nil)
	for _, r := range records {
		bytes += recordBytes(r.Key, r.Value)
	}
	p.meter.Add("store-list", bytes)
	return records, revision, err
}

// Swap implements server.Store.
func (p storePort) Swap(ctx context.Context, key string, value []byte, revision int64, lease keeper.LeaseID) (keeper.Record, error) {
	p.meter.Add("store-swap", recordBytes(key, value))
	return p.Store.Swap(ctx, key, value, revision, lease)
}

// Delete implements server.Store.
func (p storePort) Delete(ctx context.Context, key string, revision int64) error {
	p.meter.Add("store-delete", recordBytes(key, nil))
	return p.Store.Delete(ctx, key, revision)
}

// Watch implements server.Store.
func (p storePort) Watch(ctx context.Context, prefix string, after int64, fn func(keeper.Event)) error {
	p.meter.Add("store-watch", recordBytes(prefix, nil))
	return p.Store.Watch(ctx, prefix, after, func(e keeper.Event) {
		p.meter.Add("store-event", recordBytes(e.Key, e.Value))
		fn(e)
	})
}

// KeepAlive implements server.Store.
func (p storePort) KeepAlive(ctx context.Context, id keeper.LeaseID) error {
	p.meter.Add("store-keep-alive", 0)
	return p.Store.KeepAlive(ctx, id)
}

// List implements server.Instances.
func (p listPort) List(ctx context.Context) ([]lister.Listing, error) {
	list, err := p.Instances.List(ctx)
	p.meter.Add(ListReads, p.sizes.of(list))
	return list, err
}

func (s *listSizes) of(list []lister.Listing) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, ok := s.bytes[len(list)]
	if !ok {
		data, _ := json.Marshal(list)
		n = len(data)
		s.bytes[len(list)] = n
	}
	return n
}

// Start implements server.Workers.
func (p workerPort) Start(ctx context.Context, address string, s dispatcher.Start) (dispatcher.Finish, error) {
	p.meter.Add(Starts, 0)
	return p.Workers.Start(ctx, address, s)
}

// Renew implements server.Workers.
func (p workerPort) Renew(ctx context.Context, address string, r dispatcher.Renewal) ([]string, error) {
	data, _ := json.Marshal(r)
	p.meter.Add(Renewals, len(data))
	return p.Workers.Renew(ctx, address, r)
}

// Heartbeat implements server.Peers.
func (p peerPort) Heartbeat(ctx context.Context, address string, hb messenger.Heartbeat) (messenger.Heartbeat, error) {
	p.meter.Add(Heartbeats, 0)
	return p.Peers.Heartbeat(ctx, address, hb)
}

// Claim implements server.Peers.
func (p peerPort) Claim(ctx context.Context, address string, r messenger.ClaimRequest) (messenger.ClaimReply, error) {
	p.meter.Add(Claims, 0)
	return p.Peers.Claim(ctx, address, r)
}

// Settle implements server.Peers.
func (p peerPort) Settle(ctx context.Context, address string, r messenger.SettleRequest) error {
	p.meter.Add(Settlements, 0)
	return p.Peers.Settle(ctx, address, r)
}

// Forward implements server.Peers.
func (p peerPort) Forward(ctx context.Context, address string, r messenger.ForwardRequest) (messenger.Answer, error) {
	p.meter.Add(Forwards, 0)
	return p.Peers.Forward(ctx, address, r)
}

// Changes implements server.Peers.
func (p peerPort) Changes(ctx context.Context, address string, r messenger.ChangesRequest) (messenger.ChangesReply, error) {
	p.meter.Add(RuleFetches, 0)
	return p.Peers.Changes(ctx, address, r)
}

// Read implements net.Conn.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.dialer.Add(PeerReceived, n)
	c.listener.Add(PeerSent, n)
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.dialer.Add(PeerSent, n)
	c.listener.Add(PeerReceived, n)
	return n, err
}

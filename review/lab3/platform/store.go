package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the store, from SYSTEM.md and PROTOCOL.md.
const (
	storeLatency   = 4 * time.Millisecond
	writesPerS     = 400.0
	readsPerS      = 2000.0
	keepAlivePrice = 0.1
	pageItems      = 500
	pageBytes      = 1 << 20
	valueBytes     = 1 << 20
	maxEntries     = 32
	maxWait        = 30 * time.Second
	minTTL         = time.Second
	historyTime    = 20 * time.Second
	linkBytesPerS  = 1000e6 / 8
)

type (
	// item is a record of the store, or the tombstone of one.
	item struct {
		Key       string `json:"key"`
		Value     []byte `json:"value,omitempty"`
		Revision  int64  `json:"revision"`
		Created   int64  `json:"created,omitempty"`
		Lease     int64  `json:"lease,omitempty"`
		Tombstone bool   `json:"tombstone,omitempty"`
		at        time.Time
	}

	lease struct {
		ttl   time.Duration
		until time.Time
	}

	// store is a stand-in of the platform's metadata store.
	store struct {
		mu        sync.Mutex
		rev       int64
		items     map[string]item
		history   []item
		compacted int64 // changes up to this revision are forgotten
		leases    map[int64]lease
		changed   chan struct{}
		writes    bucket
		reads     bucket
		lastActor string // the machine that last wrote under a condition
	}

	txnBody struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expected"`
		Set []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"set_keys"`
		Drop []string `json:"drop"`
	}

	// bucket bounds calls to a rate, with one second's worth in reserve.
	bucket struct {
		rate, left float64
		at         time.Time
	}
)

func newStore() *store {
	s := &store{
		rev: 1, items: make(map[string]item), leases: make(map[int64]lease), changed: make(chan struct{}),
		writes: bucket{rate: writesPerS, left: writesPerS, at: time.Now()}, reads: bucket{rate: readsPerS, left: readsPerS, at: time.Now()},
	}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}()
	return s
}

// take reports whether a call of the given price is within the rate.
func (b *bucket) take(price float64) bool {
	now := time.Now()
	b.left = min(b.rate, b.left+b.rate*now.Sub(b.at).Seconds())
	b.at = now
	if b.left < price {
		return false
	}
	b.left -= price
	return true
}

// handlerFor returns the store as one machine of the system reaches it.
func (s *store) handlerFor(machine string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /coltsfootlever/kv-key", s.limited(&s.reads, 1, s.get))
	mux.HandleFunc("GET /coltsfootlever/kv-range", s.limited(&s.reads, 1, s.list))
	mux.HandleFunc("GET /coltsfootlever/kv-watch", s.limited(&s.reads, 1, s.watch))
	mux.HandleFunc("POST /coltsfootlever/kv-txn", s.limited(&s.writes, 1, func(w http.ResponseWriter, r *http.Request) { s.txn(w, r, machine) }))
	mux.HandleFunc("POST /coltsfootlever/kv-lease", s.limited(&s.writes, 1, s.grant))
	mux.HandleFunc("POST /coltsfootlever/kv-keep/{id}", s.limited(&s.reads, keepAlivePrice, s.keep))
	mux.HandleFunc("DELETE /coltsfootlever/kv-lease-end/{id}", s.limited(&s.writes, 1, s.end))
	return mux
}

// limited answers 429 beyond the rate, and after the store's latency otherwise.
func (s *store) limited(b *bucket, price float64, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		ok := b.take(price)
		s.mu.Unlock()
		if !ok {
			reply(w, http.StatusTooManyRequests, struct{}{})
			return
		}
		time.Sleep(storeLatency)
		next(w, r)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		status, raw = http.StatusInternalServerError, nil
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	_, _ = w.Write(raw) // the caller may have gone
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	rev := s.rev
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"current_rev": rev})
		return
	}
	reply(w, http.StatusOK, map[string]any{"key": it.Key, "value": it.Value, "revision": it.Revision, "created": it.Created, "lease": it.Lease, "current_rev": rev})
}

// list returns a page of at most pageItems items or pageBytes, and at least one item.
func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	keys := []string{}
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	page, size, more := []item{}, 0, false
	for _, key := range keys {
		it := s.items[key]
		if len(page) == pageItems || len(page) > 0 && size+len(it.Value) > pageBytes {
			more = true
			break
		}
		page, size = append(page, it), size+len(it.Value)
	}
	rev := s.rev
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": page, "has_more": more, "current_rev": rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, waitErr := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	if err != nil || waitErr != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	timeout := time.NewTimer(min(maxWait, time.Duration(wait)*time.Millisecond))
	defer timeout.Stop()
	for {
		s.mu.Lock()
		events, changed, rev, gone := s.eventsAfter(q.Get("prefix"), after), s.changed, s.rev, after < s.compacted
		s.mu.Unlock()
		if gone {
			reply(w, http.StatusGone, struct{}{})
			return
		}
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "current_rev": max(rev, after)})
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			reply(w, http.StatusOK, map[string]any{"events": []item{}, "current_rev": max(rev, after)})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// eventsAfter returns the changes under a prefix after a revision.
func (s *store) eventsAfter(prefix string, after int64) []item {
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
	var events []item
	for _, it := range s.history[first:] {
		if strings.HasPrefix(it.Key, prefix) {
			events = append(events, it)
		}
	}
	return events
}

func (s *store) txn(w http.ResponseWriter, r *http.Request, machine string) {
	var in txnBody
	raw, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(raw, &in)
	}
	if err != nil || len(in.Expected)+len(in.Set)+len(in.Drop) > maxEntries {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	for _, p := range in.Set {
		if len(p.Value) > valueBytes {
			reply(w, http.StatusBadRequest, struct{}{})
			return
		}
	}
	s.mu.Lock()
	status, body := s.apply(&in, machine)
	s.mu.Unlock()
	reply(w, status, body)
}

// apply carries out a transaction as a whole or not at all.
func (s *store) apply(in *txnBody, machine string) (int, any) {
	s.expire()
	found, holds := []item{}, true
	for _, e := range in.Expected {
		it, ok := s.items[e.Key]
		if !ok {
			it = item{Key: e.Key}
		}
		found, holds = append(found, it), holds && it.Revision == e.Revision
	}
	if !holds {
		return http.StatusPreconditionFailed, map[string]any{"items": found, "current_rev": s.rev}
	}
	for _, p := range in.Set {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			return http.StatusNotFound, struct{}{}
		}
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			return http.StatusForbidden, struct{}{}
		}
	}
	if len(in.Expected) > 0 && in.Expected[0].Key == "leader" {
		s.lastActor = machine
	}
	s.rev++
	for _, p := range in.Set {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range in.Drop {
		s.drop(key)
	}
	s.notify()
	return http.StatusOK, map[string]any{"revision": s.rev}
}

func (s *store) put(key string, value []byte, lease int64) {
	created := s.rev
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	it := item{Key: key, Value: value, Revision: s.rev, Created: created, Lease: lease, at: time.Now()}
	s.items[key], s.history = it, append(s.history, it)
}

func (s *store) drop(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, item{Key: key, Revision: s.rev, Tombstone: true, at: time.Now()})
	}
}

// notify wakes the watches and forgets the oldest changes.
func (s *store) notify() {
	old := 0
	for old < len(s.history) && time.Since(s.history[old].at) > historyTime {
		s.compacted = s.history[old].Revision
		old++
	}
	s.history = s.history[old:]
	close(s.changed)
	s.changed = make(chan struct{})
}

// putAsPlatform writes a key as the operator or a server does.
func (s *store) putAsPlatform(key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		fail("encoding %s: %v", key, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.put(key, raw, 0)
	s.notify()
}

// dropAsPlatform removes a key as the platform does.
func (s *store) dropAsPlatform(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.drop(key)
	s.notify()
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	ttl := max(minTTL, time.Duration(in.TTL)*time.Millisecond)
	s.mu.Lock()
	s.rev++
	id := s.rev
	s.leases[id] = lease{ttl, time.Now().Add(ttl)}
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": ttl.Milliseconds()})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64) // 0 is no lease
	s.mu.Lock()
	s.expire()
	l, ok := s.leases[id]
	if ok {
		s.leases[id] = lease{l.ttl, time.Now().Add(l.ttl)}
	}
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	reply(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64) // 0 is no lease
	s.mu.Lock()
	_, ok := s.leases[id]
	if ok {
		s.leases[id] = lease{}
		s.expire()
	}
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	reply(w, http.StatusOK, struct{}{})
}

// expire ends the leases that are over and removes their keys.
func (s *store) expire() {
	now, ended := time.Now(), false
	for id, l := range s.leases {
		if now.After(l.until) {
			delete(s.leases, id)
			ended = true
		}
	}
	if !ended {
		return
	}
	s.rev++
	for key, it := range s.items {
		if _, ok := s.leases[it.Lease]; it.Lease != 0 && !ok {
			s.drop(key)
		}
	}
	s.notify()
}

// actor returns the machine that last wrote under the leader's condition.
func (s *store) actor() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastActor
}

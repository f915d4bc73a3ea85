package distributor_test

import (
	"context"
	"fmt"
	"maps"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/distributor"
	"github.com/coltsfootlever/coltsfootlever/emulator"
	"github.com/coltsfootlever/coltsfootlever/messenger"
	"github.com/coltsfootlever/coltsfootlever/registrar"
)

// fleet is a set of entries that share a store and exchange heartbeats.
type fleet struct {
	store        *emulator.Store
	entries      map[string]*distributor.Distributor
	storeClients map[string]*emulator.StoreClient

	mu       sync.Mutex // also guards entries
	view     registrar.View
	isolated map[string]bool // entries that answer no peer and send no heartbeat
}

func newFleet() *fleet {
	return &fleet{
		store:        emulator.NewStore(),
		entries:      map[string]*distributor.Distributor{},
		storeClients: map[string]*emulator.StoreClient{},
		isolated:     map[string]bool{},
	}
}

func (f *fleet) ListRulesChanges(ctx context.Context, address string, req messenger.ChangesRequest) (messenger.ChangesReply, error) {
	f.mu.Lock()
	d, ok := f.entries[address]
	isolated := f.isolated[address]
	f.mu.Unlock()
	if !ok || isolated {
		return messenger.ChangesReply{}, classifier.Refuse(classifier.PeerLost, "no answer")
	}
	return d.HandleChanges(ctx, req)
}

// add registers an entry without running it.
func (f *fleet) add(id string) *distributor.Distributor {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view.Members = append(f.view.Members, registrar.Member{ID: id, Address: id})
	f.storeClients[id] = f.store.ClientFor(id)
	f.entries[id] = distributor.New(f.storeClients[id], f,
		distributor.WithMembers(id, f.members), distributor.WithAssert(panicUnless))
	return f.entries[id]
}

// panicUnless panics when an invariant is broken.
func panicUnless(ok bool, format string, args ...any) {
	if !ok {
		panic(fmt.Sprintf(format, args...))
	}
}

func (f *fleet) members() registrar.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view
}

func (f *fleet) setIsolated(id string, isolated bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isolated[id] = isolated
}

// run runs the entries and their heartbeats until ctx ends.
func (f *fleet) run(ctx context.Context) {
	for _, d := range f.entries {
		go func() { _ = d.Run(ctx) }()
	}
	go func() {
		for ctx.Err() == nil {
			f.sendHeartbeats()
			select {
			case <-ctx.Done():
			case <-time.After(2 * time.Second):
			}
		}
	}()
}

// sendHeartbeats tells every entry the rules number of every other entry.
func (f *fleet) sendHeartbeats() {
	f.mu.Lock()
	entries, isolated := maps.Clone(f.entries), maps.Clone(f.isolated)
	f.mu.Unlock()
	for from, sender := range entries {
		for to, receiver := range entries {
			if from != to && !isolated[from] {
				receiver.RecordMemberRules(from, sender.RulesNumber())
			}
		}
	}
}

// poolRules returns the text of rules with the named pools.
func poolRules(names ...string) []byte {
	var b strings.Builder
	for _, name := range names {
		fmt.Fprintf(&b, "pool %s # asked by Ana\n", name)
	}
	return []byte(b.String())
}

// runWithFleet runs fn with virtual time and a fleet of n registered entries.
func runWithFleet(t *testing.T, n int, fn func(ctx context.Context, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFleet()
		for i := range n {
			f.add(fmt.Sprintf("entry-%d", i))
		}
		fn(ctx, f)
		cancel()
		synctest.Wait()
	})
}

package excluder

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/emulator"
	"github.com/coltsfootlever/coltsfootlever/keeper"
)

type (
	// testPeers connects the entries of a test by function calls.
	testPeers struct {
		self    string
		all     map[string]*Excluder
		cut     map[string]bool // entries that answer no other
		outage  bool
		joining *Excluder // entry "c", which shows when the membership is read anew
		silent  []string  // entries that are heard from and answer no request
	}

	// racingStore runs afterSwap after the next write, whose answer is lost.
	racingStore struct {
		*emulator.StoreClient
		afterSwap func()
	}
)

func (p *testPeers) Self() string    { return p.self }
func (p *testPeers) Outage() bool    { return p.outage }
func (p *testPeers) Heard() []string { return append(p.Registered(), p.silent...) }

func (p *testPeers) Refresh(context.Context) {
	if p.joining != nil {
		p.all["c"] = p.joining
	}
}

func (p *testPeers) Registered() []string {
	var ids []string
	for id := range p.all {
		if id != p.self {
			ids = append(ids, id)
		}
	}
	return ids
}

func (p *testPeers) Reports(ctx context.Context, number uint64) map[string]Report {
	reports := map[string]Report{}
	for _, id := range p.Registered() {
		if !p.cut[id] && !p.cut[p.self] {
			reports[id] = p.all[id].HandleReport(ctx, strconv.FormatUint(number, 10))
		}
	}
	return reports
}

func (s *racingStore) Swap(ctx context.Context, key string, value []byte, revision int64, lease keeper.LeaseID) (keeper.Record, error) {
	record, err := s.StoreClient.Swap(ctx, key, value, revision, lease)
	if s.afterSwap == nil || err != nil {
		return record, err
	}
	after := s.afterSwap
	s.afterSwap = nil
	after()
	return keeper.Record{}, errors.Trace(keeper.ErrUnknown)
}

// newEntries returns two entries that read one store, each with its own client.
func newEntries(t *testing.T) (store *emulator.Store, a, b *Excluder, cut map[string]bool, peers *testPeers) {
	store, cut = emulator.NewStore(), map[string]bool{}
	all := map[string]*Excluder{}
	for _, id := range []string{"a", "b"} {
		peers = &testPeers{self: id, all: all, cut: cut}
		all[id] = New(&racingStore{StoreClient: store.ClientFor(id)}, peers, func(context.Context) (InService, error) {
			return InService{"z1": 2, "z2": 1, "z3": 0}, nil
		})
		all[id].Refresh(t.Context())
	}
	return store, all["a"], all["b"], cut, peers
}

func request(zone string) Request {
	return Request{Zone: zone, RequestedBy: "eva", Comment: "flood"}
}

// evacuate evacuates a zone by an entry and requires that it is accepted.
func evacuate(t *testing.T, x *Excluder, zone string) Change {
	c, err := x.Evacuate(t.Context(), request(zone))
	require.NoError(t, err)
	return c
}

// Guards against errors that do not name the zone, the known zones or who has
// evacuated the zone, and against the evacuation of the last zone with instances
// in service, also when two operators evacuate the last two at once.
func TestRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, a, b, _, _ := newEntries(t)
		refused := func(code classifier.Code, text string, err error) {
			require.ErrorContains(t, err, text)
			require.Equal(t, code, classifier.As(err).Code)
			require.Equal(t, classifier.NotRun, classifier.VerdictOf(err))
		}
		_, err := a.Evacuate(t.Context(), request("z9"))
		refused(classifier.NotFound, `unknown zone "z9"; known zones: z1, z2, z3`, err)
		_, err = a.Restore(t.Context(), request("z1"))
		refused(classifier.NotFound, `zone "z1" is not evacuated; evacuated zones: none`, err)
		_, err = a.Evacuate(t.Context(), Request{Zone: "z1", Comment: "two\nlines"})
		refused(classifier.BadRequest, `zone "z1": the comment is "two\nlines"`, err)
		results := make(chan error)
		for x, zone := range map[*Excluder]string{a: "z1", b: "z2"} {
			go func() { _, err := x.Evacuate(t.Context(), request(zone)); results <- err }()
		}
		first, second := <-results, <-results
		require.NotEqual(t, first == nil, second == nil, "exactly one of the last two zones must be evacuated")
		if first == nil {
			first = second
		}
		refused(classifier.NoCapacity, "is the last one with instances in service", first)
		held := a.Record().Zones[0]
		_, err = b.Evacuate(t.Context(), request(held.Zone))
		refused(classifier.Conflict, "is already evacuated by eva since "+held.Since.Format(time.RFC3339), err)
		evacuate(t, a, "z3")
		last := request("z1")
		if held.Zone == "z1" {
			last = request("z2")
		}
		last.Force = true
		_, err = a.Evacuate(t.Context(), last)
		require.NoError(t, err)
	})
}

// Guards against a change that is reported as failed, made twice or undone wrongly
// when the answer of the store is lost and another operator writes meanwhile.
func TestLostAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, a, b, _, _ := newEntries(t)
		store := a.store.(*racingStore)
		store.afterSwap = func() { evacuate(t, b, "z3") }
		evacuate(t, a, "z1")
		require.Equal(t, []string{"z1", "z3"}, b.Record().names())

		store.afterSwap = func() { evacuate(t, b, "z1") }
		_, err := a.Restore(t.Context(), request("z1"))
		require.NoError(t, err)
		require.Equal(t, []string{"z1", "z3"}, a.Record().names(), "the later evacuation of the zone must stay")

		store.afterSwap = func() { store.SetDown(true) }
		_, err = a.Restore(t.Context(), request("z1"))
		require.ErrorContains(t, err, "the restoring of zone z1 may have been accepted")
		require.Equal(t, classifier.MayHaveRun, classifier.VerdictOf(err))
		store.SetDown(false)
		a.Refresh(t.Context())
		require.Equal(t, []string{"z3"}, a.Record().names())
	})
}

// Guards against an acknowledgement while the store does not answer, and against a
// write that takes effect after its refusal.
func TestUnresponsiveStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, a, _, _, _ := newEntries(t)
		store.SetHung(true)
		_, err := a.Evacuate(t.Context(), request("z1"))
		require.ErrorContains(t, err, "zone z1: nothing was changed, because the key-value service did not answer")
		require.Equal(t, classifier.NotRun, classifier.VerdictOf(err))
		require.Equal(t, classifier.StoreDown, classifier.As(err).Code)
		store.SetHung(false)
		time.Sleep(time.Minute)
		a.Refresh(t.Context())
		require.Empty(t, a.Record().Zones)
	})
}

// Guards against an entry that acts on an old record: restarted, cut off from the
// store, cut off from store and peers, or in an outage with a silent peer.
func TestEntryWithoutConfirmationStartsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, a, b, cut, peersOfB := newEntries(t)
		restarted := New(store, &testPeers{}, nil)
		require.Equal(t, classifier.Isolated, classifier.As(restarted.CheckStart("z2")).Code, "no record read yet")
		restarted.Refresh(t.Context())
		require.NoError(t, restarted.CheckStart("z2"))

		store.ClientFor("b").SetDown(true)
		c := evacuate(t, a, "z1")
		require.Empty(t, c.Missing, "an entry without store reads the record from its peers")
		require.Equal(t, classifier.NoCapacity, classifier.As(b.CheckStart("z1")).Code)
		time.Sleep(DefaultStaleness + time.Second)
		require.Error(t, b.CheckStart("z2"))
		a.Refresh(t.Context())
		b.Refresh(t.Context())
		require.NoError(t, b.CheckStart("z2"), "proved by a peer that has read the store")

		cut["b"] = true
		began := time.Now()
		_, err := a.Restore(t.Context(), request("z1"))
		require.NoError(t, err)
		c = evacuate(t, a, "z2")
		require.Equal(t, []string{"b"}, c.Missing)
		require.Equal(t, 2*defaultConfirmTimeout, time.Since(began))
		b.Refresh(t.Context())
		require.Equal(t, classifier.Isolated, classifier.As(b.CheckStart("z2")).Code, "b does not know that z2 is evacuated")

		peersOfB.outage, peersOfB.silent = true, []string{"c"}
		cut["b"] = false
		a.provedAt = time.Time{}
		b.Refresh(t.Context())
		require.Error(t, b.Check(), "outage, and a peer that is heard from did not answer")
		peersOfB.silent = nil
		b.Refresh(t.Context())
		require.Equal(t, classifier.NoCapacity, classifier.As(b.CheckStart("z2")).Code)
		require.NoError(t, b.CheckStart("z1"))
		time.Sleep(DefaultStaleness + time.Second)
		b.Refresh(t.Context())
		require.NoError(t, b.CheckStart("z1"), "outage, and no peer has a newer record")
	})
}

// Guards against an entry that goes back to an older record: when it learns of an
// evacuation after its restore, and when the service has lost changes. Also guards
// against an entry that registers during a change and is not asked.
func TestRecordNeverGoesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, a, b, _, _ := newEntries(t)
		a.peers.(*testPeers).joining = New(store, &testPeers{}, nil)
		require.Equal(t, []string{"a", "b", "c"}, evacuate(t, a, "z1").Confirmed, "an entry that registers meanwhile must confirm as well")
		old := a.Record()
		c, err := a.Restore(t.Context(), request("z1"))
		require.NoError(t, err)
		require.Empty(t, c.Missing)
		b.adopt(old, time.Now())
		require.Empty(t, b.Record().Zones)

		evacuate(t, b, "z2")
		stored, err := store.Get(t.Context(), keeper.EvacuationsKey)
		require.NoError(t, err)
		require.NoError(t, store.Delete(t.Context(), keeper.EvacuationsKey, stored.Revision))
		b.Refresh(t.Context())
		require.True(t, b.IsEvacuated("z2"))
		stored, err = store.Get(t.Context(), keeper.EvacuationsKey)
		require.NoError(t, err)
		again, err := keeper.Decode[Record](stored)
		require.NoError(t, err)
		require.Equal(t, b.Record(), again, "the lost record must be written again")
	})
}

package launcher

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/elector"
	"github.com/coltsfootlever/coltsfootlever/emulator"
	"github.com/coltsfootlever/coltsfootlever/evacuator"
	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/orchestrator"
	"github.com/coltsfootlever/coltsfootlever/platform"
	"github.com/coltsfootlever/coltsfootlever/requester"
)

// newFollowingState returns the state of an entry node that follows the operator's
// records in a store.
func newFollowingState(t *testing.T) (*fleetState, *emulator.MetaStore) {
	metaStore := emulator.NewMetaStore()
	server := httptest.NewServer(platform.NewStoreHandler(metaStore.ClientFor("entry"), emulator.NewTaskFleet(nil)))
	store := platform.NewStore(func() string { return strings.TrimPrefix(server.URL, "http://") }, requester.NewClient(platform.NewTransport(1)))
	s := &fleetState{log: slog.New(slog.DiscardHandler), evacuationTime: 500 * time.Millisecond, now: elector.BootClock}
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = s.followOperatorRecords(store)(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-stopped
		server.Close()
	})
	return s, metaStore
}

func (s *fleetState) evacuatedZones() []string {
	zones, _ := s.Evacuations()
	return evacuator.Zones{Evacuations: zones}.Evacuated()
}

func (s *fleetState) recordsAreRead() bool {
	_, asOf := s.Evacuations()
	return asOf >= 0
}

const patience = 5 * time.Second // for a busy machine

// Guards against knowledge that seems current while the store does not answer, that does
// not become current again by the watch alone, and against evacuations that are missed
// or outlast their record, also one that was deleted while the store's history was lost.
func TestEvacuationsFollowTheOperatorsRecords(t *testing.T) {
	s, store := newFollowingState(t)
	require.Eventually(t, s.recordsAreRead, patience, time.Millisecond)
	require.Empty(t, s.evacuatedZones())
	store.PutAsOperator(keeper.Put{Key: platform.EvacuationKey("a"), Value: []byte("{}")})
	store.PutAsOperator(keeper.Put{Key: platform.EvacuationKey("b"), Value: []byte("not JSON")})
	store.PutAsOperator(keeper.Put{Key: platform.EvacuationKey(""), Value: []byte("{}")})
	require.Eventually(t, func() bool { return len(s.evacuatedZones()) == 2 }, patience, time.Millisecond)
	store.DeleteAsOperator(platform.EvacuationKey("a"))
	require.Eventually(t, func() bool { return len(s.evacuatedZones()) == 1 }, patience, time.Millisecond)
	time.Sleep(s.evacuationTime)
	require.Less(t, s.operatorRecordAge(), s.evacuationTime, "confirmed without changes")

	store.InjectFaults(func(f *emulator.MetaStoreFaults) { f.Down = true })
	store.DeleteAsOperator(platform.EvacuationKey("b"))
	store.PutAsOperator(keeper.Put{Key: platform.EvacuationKey("c"), Value: []byte("{}")})
	store.Compact()
	time.Sleep(s.evacuationTime)
	require.Greater(t, s.operatorRecordAge(), s.evacuationTime-50*time.Millisecond)
	require.Equal(t, []string{"b"}, s.evacuatedZones())
	store.InjectFaults(func(f *emulator.MetaStoreFaults) { f.Down = false })
	require.Eventually(t, func() bool { return s.operatorRecordAge() < s.evacuationTime }, patience, time.Millisecond)
	require.Equal(t, []string{"c"}, s.evacuatedZones())
}

// A restarted entry node must not take the time before its first list for knowledge, and
// learns of evacuations from that list.
func TestEvacuationsAreUnknownBeforeTheFirstList(t *testing.T) {
	s := &fleetState{log: slog.New(slog.DiscardHandler), now: elector.BootClock}
	_, asOf := s.Evacuations()
	require.Negative(t, asOf)
	confirm := s.confirmEvacuations()
	confirm()
	s.applyOperatorRecord(keeper.Record{Key: platform.EvacuationKey("a")})
	_, asOf = s.Evacuations()
	require.Negative(t, asOf, "the rest of the list has not been applied")
	s.replaceEvacuations([]keeper.Record{{Key: platform.EvacuationKey("a")}, {Key: platform.ManifestKey}}, 5)
	_, asOf = s.Evacuations()
	require.EqualValues(t, 5, asOf)
	require.Equal(t, []string{"a"}, s.evacuatedZones())
}

// Guards against refusals that go on when a zone has been restored, or that rest on an
// old load.
func TestAllZonesCountAsEvacuatedOnlyWhileTheyAre(t *testing.T) {
	s := &fleetState{log: slog.New(slog.DiscardHandler), now: elector.BootClock}
	require.Nil(t, s.EvacuatedZones())
	s.replaceEvacuations([]keeper.Record{{Key: platform.EvacuationKey("a")}, {Key: platform.EvacuationKey("b")}}, 5)
	load := orchestrator.Load{EvacuatedZones: []string{"a", "b"}}
	s.load.Store(&receivedLoad{load, time.Now()})
	require.Equal(t, []string{"a", "b"}, s.EvacuatedZones())
	s.removeEvacuation(keeper.Record{Key: platform.EvacuationKey("b")})
	require.Nil(t, s.EvacuatedZones())
	s.addEvacuation(keeper.Record{Key: platform.EvacuationKey("b")})
	require.NotNil(t, s.EvacuatedZones())
	s.load.Store(&receivedLoad{load, time.Now().Add(-2 * maxLoadAge)})
	require.Nil(t, s.EvacuatedZones())
}

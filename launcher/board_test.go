package launcher

import (
	"errors"
	"log/slog"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/orchestrator"
	"github.com/coltsfootlever/coltsfootlever/platform"
)

func newFleetState() *fleetState {
	return &fleetState{log: slog.New(slog.DiscardHandler)}
}

func manifestRecord(version int) keeper.Record {
	return keeper.Record{Key: platform.ManifestKey, Value: []byte(`{"version":` + strconv.Itoa(version) + `}`)}
}

func TestOlderOrInvalidManifestIsIgnored(t *testing.T) {
	s := newFleetState()
	require.Nil(t, s.Manifest())
	for _, step := range []struct {
		record keeper.Record
		want   int64
	}{
		{manifestRecord(4), 4},
		{manifestRecord(3), 4},
		{keeper.Record{Key: platform.ManifestKey, Value: []byte("nonsense")}, 4},
		{manifestRecord(9), 9},
	} {
		s.applyOperatorRecord(step.record)
		require.Equal(t, step.want, s.Manifest().Version)
	}
}

func TestWaveReplacesEarlierOneWithSameNumber(t *testing.T) {
	s := newFleetState()
	waveRecord := func(number, maxConcurrent string) keeper.Record {
		return keeper.Record{Key: platform.OperatorPrefix + "wave/" + number, Value: []byte(`{"wave":` + number + `,"machines":["m"],"maximum":` + maxConcurrent + `}`)}
	}
	s.applyOperatorRecord(waveRecord("1", "2"))
	s.applyOperatorRecord(waveRecord("2", "2"))
	s.applyOperatorRecord(waveRecord("1", "5"))
	s.applyOperatorRecord(keeper.Record{Key: platform.OperatorPrefix + "wave/3", Value: []byte(`{}`)})
	require.Len(t, s.Waves(), 2)
	require.Equal(t, 5, s.Waves()[1].MaxConcurrent)
}

func TestPendingCountsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFleetState()
		_, ok := s.Pending("q")
		require.False(t, ok)
		s.load.Store(&receivedLoad{orchestrator.Load{Pending: map[string]int{"q": 3}}, time.Now()})
		pending, ok := s.Pending("q")
		require.True(t, ok)
		require.Equal(t, 3, pending)
		time.Sleep(maxLoadAge + time.Second)
		_, ok = s.Pending("q")
		require.False(t, ok)
	})
}

// An entry accepts a customer's jobs up to a share of the leader's free memory, until the
// leader publishes anew how much that is.
func TestAcceptedJobsKeepToTheLeadersMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFleetState()
		require.True(t, s.ReserveMemory("a", 1<<30), "no load is known")
		publish := func(free int64) { s.load.Store(&receivedLoad{orchestrator.Load{FreeBytes: free}, time.Now()}) }
		publish(100 * acceptShare)
		require.True(t, s.ReserveMemory("a", 99))
		require.True(t, s.ReserveMemory("a", 1000), "one job may exceed the share")
		require.False(t, s.ReserveMemory("a", 1))
		require.True(t, s.ReserveMemory("b", 1))
		publish(100 * acceptShare)
		require.True(t, s.ReserveMemory("a", 1))
		publish(1)
		require.False(t, s.ReserveMemory("b", 1))
		time.Sleep(maxLoadAge + time.Second)
		require.True(t, s.ReserveMemory("b", 1), "the load is old")
	})
}

// stubTransport answers each request with the given status and error.
type stubTransport struct {
	status int
	err    error
}

func (t *stubTransport) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: t.status, Body: http.NoBody}, t.err
}

func TestStoreIsUnreachableOnlyAfterFailedCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFleetState()
		transport := &stubTransport{status: http.StatusOK}
		s.store.transport = transport
		s.applyOperatorRecord(manifestRecord(1))
		callStore := func() {
			r, err := http.NewRequest(http.MethodGet, "http://127.0.0.1/", nil)
			require.NoError(t, err)
			res, err := s.store.RoundTrip(r)
			if err == nil {
				require.NoError(t, res.Body.Close())
			}
		}
		callStore()
		require.True(t, s.isReady())
		time.Sleep(2 * time.Second)
		require.False(t, s.StoreIsUnreachable(), "no call has failed")
		transport.status = http.StatusServiceUnavailable
		callStore()
		require.True(t, s.StoreIsUnreachable())
		transport.status = http.StatusConflict
		callStore()
		require.False(t, s.StoreIsUnreachable())
		transport.err = errors.New("no answer")
		time.Sleep(maxReadySilence)
		callStore()
		require.True(t, s.StoreIsUnreachable())
		require.False(t, s.isReady())
	})
}

// blockingTransport answers a request once a value is received from answers.
type blockingTransport struct {
	answers chan struct{}
}

func (t *blockingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	select {
	case <-r.Context().Done():
		return nil, r.Context().Err()
	case <-t.answers:
		return &http.Response{StatusCode: http.StatusNotFound, Header: http.Header{}, Body: http.NoBody, Request: r}, nil
	}
}

// A write that is sent to a silent store has an unknown outcome, so the silence must
// be noticed before the first of them has run into its time limit.
func TestSilentStoreIsUnreachableBeforeACallFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFleetState()
		transport := &blockingTransport{answers: make(chan struct{})}
		s.store.transport = transport
		time.Sleep(time.Second)
		store := platform.NewStore(func() string { return "127.0.0.1:1" }, &http.Client{Transport: &s.store})
		go func() { _ = store.Watch(t.Context(), platform.OperatorPrefix, 0, func(keeper.Event) {}) }()
		time.Sleep(time.Second)
		require.False(t, s.StoreIsUnreachable(), "a watch has no answer while nothing changes")
		go func() { _, _, _ = store.Commit(t.Context(), keeper.Txn{}) }()
		time.Sleep(unreachableAfter)
		require.False(t, s.StoreIsUnreachable(), "a slow store may still answer")
		time.Sleep(time.Millisecond)
		require.True(t, s.StoreIsUnreachable())
		transport.answers <- struct{}{}
		synctest.Wait()
		require.False(t, s.StoreIsUnreachable(), "any answer ends the silence")
		close(transport.answers)
	})
}

// Callers that reach an entry which has just started were told to wait as in a long
// outage, though no call to the store had failed.
func TestEntryThatHasJustStartedTellsOfNoOutage(t *testing.T) {
	s := newFleetState()
	s.store.transport = failingTransport{}
	require.Less(t, s.SinceStoreAnswer(), time.Hour)
	r, err := http.NewRequest(http.MethodGet, "http://127.0.0.1/", nil)
	require.NoError(t, err)
	_, err = s.store.RoundTrip(r)
	require.Error(t, err)
	require.Equal(t, neverAnswered, s.SinceStoreAnswer())
}

// failingTransport is a connection to a store that doesn't respond.
type failingTransport struct{}

// RoundTrip implements http.RoundTripper.
func (failingTransport) RoundTrip(*http.Request) (*http.Response, error) {
	return nil, errors.New("no answer")
}

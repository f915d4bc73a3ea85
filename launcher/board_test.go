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

func newBoard() *board {
	return &board{log: slog.New(slog.DiscardHandler)}
}

func manifestRecord(version int) keeper.Record {
	return keeper.Record{Key: platform.ManifestKey, Value: []byte(`{"version":` + strconv.Itoa(version) + `}`)}
}

func TestManifestNeverGoesBack(t *testing.T) {
	b := newBoard()
	require.Nil(t, b.Manifest())
	for _, step := range []struct {
		record keeper.Record
		want   int64
	}{
		{manifestRecord(4), 4},
		{manifestRecord(3), 4},
		{keeper.Record{Key: platform.ManifestKey, Value: []byte("nonsense")}, 4},
		{manifestRecord(9), 9},
	} {
		b.takeOperator(step.record)
		require.Equal(t, step.want, b.Manifest().Version)
	}
}

func TestWavesAreKeptByNumber(t *testing.T) {
	b := newBoard()
	wave := func(number, atOnce string) keeper.Record {
		return keeper.Record{Key: platform.OperatorPrefix + "wave/" + number, Value: []byte(`{"wave":` + number + `,"machines":["m"],"maximum":` + atOnce + `}`)}
	}
	b.takeOperator(wave("1", "2"))
	b.takeOperator(wave("2", "2"))
	b.takeOperator(wave("1", "5"))
	b.takeOperator(keeper.Record{Key: platform.OperatorPrefix + "wave/3", Value: []byte(`{}`)})
	require.Len(t, b.Waves(), 2)
	require.Equal(t, 5, b.Waves()[1].MaxConcurrent)
}

func TestCountsGetTooOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBoard()
		_, ok := b.Pending("q")
		require.False(t, ok)
		b.load.Store(&load{orchestrator.Load{Pending: map[string]int{"q": 3}}, time.Now()})
		n, ok := b.Pending("q")
		require.True(t, ok)
		require.Equal(t, 3, n)
		time.Sleep(maxLoadAge + time.Second)
		_, ok = b.Pending("q")
		require.False(t, ok)
	})
}

// answers is a transport that answers as it is told.
type answers struct {
	status int
	err    error
}

func (a *answers) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: a.status, Body: http.NoBody}, a.err
}

func TestStoreIsAwayOnlyAfterFailedCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBoard()
		transport := &answers{status: http.StatusOK}
		b.store.next = transport
		b.takeOperator(manifestRecord(1))
		call := func() {
			r, err := http.NewRequest(http.MethodGet, "http://127.0.0.1/", nil)
			require.NoError(t, err)
			res, err := b.store.RoundTrip(r)
			if err == nil {
				require.NoError(t, res.Body.Close())
			}
		}
		call()
		require.True(t, b.isReady())
		time.Sleep(2 * time.Second)
		require.False(t, b.StoreIsUnreachable(), "nothing has been asked")
		transport.status = http.StatusServiceUnavailable
		call()
		require.True(t, b.StoreIsUnreachable())
		transport.status = http.StatusConflict
		call()
		require.False(t, b.StoreIsUnreachable())
		transport.err = errors.New("no answer")
		time.Sleep(readyWithin)
		call()
		require.True(t, b.StoreIsUnreachable())
		require.False(t, b.isReady())
	})
}

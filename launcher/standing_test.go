package launcher

import (
	"context"
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/platform"
)

func TestSmallerProcessorShareGivesLongerDelay(t *testing.T) {
	records := []keeper.Record{{Value: []byte("0.2")}, {Value: []byte("0.8")}, {Value: []byte("nonsense")}}
	require.Zero(t, delayForShare(0.8, records))
	require.Equal(t, maxCandidateDelay*3/4, delayForShare(0.2, records))
	require.Zero(t, delayForShare(0.4, nil))
	require.Zero(t, delayForShare(0, nil))
}

// listStore is a store whose List can fail.
type listStore struct {
	records     []keeper.Record
	unavailable bool
}

func (s *listStore) List(context.Context, string) ([]keeper.Record, int64, error) {
	if s.unavailable {
		return nil, 0, keeper.ErrUnavailable
	}
	return s.records, 1, nil
}

func (s *listStore) Commit(context.Context, keeper.Txn) (int64, []keeper.Record, error) {
	return 1, nil, nil
}

// An entry node with a small processor share must not run for leadership first
// because it could not read the shares of the others. It would lead more slowly
// than they do. See docs/operating/incidents/weak-leader.md.
func TestDelayStaysWhenStoreDoesNotAnswer(t *testing.T) {
	store := &listStore{records: []keeper.Record{{Value: []byte("0.8")}}, unavailable: true}
	log := slog.New(slog.DiscardHandler)
	small := newDelayCalculator(&platform.Settings{ProcessorShare: 0.2}, store, log)
	require.Equal(t, maxCandidateDelay, small.candidateDelay(t.Context()), "no list has been read yet")
	large := newDelayCalculator(&platform.Settings{ProcessorShare: 0.8}, store, log)
	store.unavailable = false
	require.Equal(t, maxCandidateDelay*3/4, small.candidateDelay(t.Context()))
	require.Zero(t, large.candidateDelay(t.Context()))
	store.unavailable = true
	require.Equal(t, maxCandidateDelay*3/4, small.candidateDelay(t.Context()))
	require.Zero(t, large.candidateDelay(t.Context()))
}

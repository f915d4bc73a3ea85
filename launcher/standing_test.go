package launcher

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/keeper"
)

func TestWeakEntriesWaitForStrongOnes(t *testing.T) {
	records := []keeper.Record{{Value: []byte("0.2")}, {Value: []byte("0.8")}, {Value: []byte("nonsense")}}
	require.Zero(t, delayOf(0.8, records))
	require.Equal(t, weakEntryDelay*3/4, delayOf(0.2, records))
	require.Zero(t, delayOf(0.4, nil))
	require.Zero(t, delayOf(0, nil))
}

package launcher_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/launcher"
	"github.com/coltsfootlever/coltsfootlever/relayer"
)

// A weak entry node must carry no calls of the leader, and --relays=off must keep
// any from being a relay.
func TestOnlyStrongEntryNodesRegisterAsRelays(t *testing.T) {
	for name, c := range map[string]struct {
		share      float64
		on, relays bool
	}{"strong": {0.8, true, true}, "weak": {0.192, true, false}, "off": {0.8, false, false}} {
		t.Run(name, func(t *testing.T) {
			f := newLargeFleet(t, 2)
			entryNode, err := launcher.New(f.writeSettings(t, "n1", c.share), launcher.WithRelays(c.on))
			require.NoError(t, err)
			ctx, cancel := context.WithCancel(t.Context())
			stopped := make(chan error, 1)
			go func() { stopped <- entryNode.Run(ctx) }()
			store := f.store.ClientFor("observer")
			require.Eventually(t, func() bool {
				r, err := store.Get(ctx, "entries/n1") // is written by then in any case
				return err == nil && r.Revision > 0
			}, 10*time.Second, 10*time.Millisecond)
			time.Sleep(200 * time.Millisecond)
			record, err := store.Get(ctx, relayer.KeyPrefix+"n1")
			require.NoError(t, err)
			require.Equal(t, c.relays, record.Revision > 0, "%s", record.Value)
			cancel()
			require.NoError(t, <-stopped)
		})
	}
}

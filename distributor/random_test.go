package distributor_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/distributor"
	"github.com/coltsfootlever/coltsfootlever/keeper"
)

// outcome is the result that one operator got.
type outcome struct {
	who    string
	number uint64
	err    error
}

// TestRandomFaults applies changes concurrently through entries whose
// connections to the store fail at random. The sequence must contain every
// accepted change under the number that its operator got and no refused change,
// and all entries must end with the same rules.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		runWithFleet(t, 3, func(ctx context.Context, f *fleet) {
			f.store.SetDelay(5 * time.Millisecond)
			f.run(ctx)
			outcomes := map[string]outcome{}
			for step := range rapid.IntRange(1, 12).Draw(rt, "steps") {
				results := make(chan outcome, 3)
				operators := rapid.IntRange(1, 3).Draw(rt, "racers")
				for operator := range operators {
					id := fmt.Sprintf("entry-%d", operator)
					f.storeClients[id].SetDown(rapid.IntRange(0, 5).Draw(rt, "down") == 0)
					f.storeClients[id].LoseNextWriteResponses(rapid.IntRange(0, 2).Draw(rt, "lost"))
					f.setIsolated(id, rapid.IntRange(0, 3).Draw(rt, "deaf") == 0)
					go func() { results <- applyPool(ctx, f.entries[id], fmt.Sprintf("p%d-%d", step, operator)) }()
				}
				for range operators {
					o := <-results
					outcomes[o.who] = o
				}
			}
			for id, client := range f.storeClients {
				client.SetDown(false)
				client.LoseNextWriteResponses(0)
				f.setIsolated(id, false)
			}
			time.Sleep(time.Minute)
			requireSequence(ctx, t, f, outcomes)
		})
	})
}

// applyPool applies rules with one pool through an entry. The operator has the
// name of the pool.
func applyPool(ctx context.Context, d *distributor.Distributor, pool string) outcome {
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	applied, err := d.Apply(ctx, d.RulesNumber(), poolRules(pool), pool)
	return outcome{who: pool, number: applied.Number, err: err}
}

// requireSequence checks the stored sequence of changes against the outcomes,
// and that every entry has the last rules in force.
func requireSequence(ctx context.Context, t *testing.T, f *fleet, outcomes map[string]outcome) {
	records, _, err := f.store.List(ctx, keeper.ChangePrefix)
	require.NoError(t, err)
	numbers := map[string]uint64{}
	for i, record := range records {
		c, err := distributor.DecodeChange(record.Value)
		require.NoError(t, err)
		require.Equal(t, uint64(i+1), c.Number)
		require.NotContains(t, numbers, c.Who, "applied twice")
		numbers[c.Who] = c.Number
	}
	for who, o := range outcomes {
		var conflict *distributor.ConflictError
		switch {
		case o.err == nil:
			require.Equal(t, o.number, numbers[who])
		case errors.As(o.err, &conflict), classifier.VerdictOf(o.err) == classifier.NotRun:
			require.NotContains(t, numbers, who)
		}
	}
	for _, d := range f.entries {
		require.Equal(t, uint64(len(records)), d.RulesNumber())
		require.Equal(t, f.entries["entry-0"].Rules(), d.Rules())
	}
}

package distributor_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/distributor"
	"github.com/coltsfootlever/coltsfootlever/emulator"
	"github.com/coltsfootlever/coltsfootlever/keeper"
)

// BenchmarkApply measures what one change of one rule costs the entry that
// accepts it, for different numbers of rules in force. The key-value service is
// an emulator in the same process.
func BenchmarkApply(b *testing.B) {
	for _, rules := range []int{100, 400, 1600} {
		b.Run(fmt.Sprintf("rules=%d", rules), func(b *testing.B) {
			store := emulator.NewStore()
			d := distributor.New(store, nil)
			names := make([]string, rules)
			for i := range names {
				names[i] = fmt.Sprintf("pool-%06d", i)
			}
			n := uint64(0)
			apply := func() {
				names[0] = fmt.Sprintf("pool-x%d", n)
				_, err := d.Apply(b.Context(), n, poolRules(names...), "ana")
				require.NoError(b, err)
				n++
			}
			apply()
			b.ReportAllocs()
			for b.Loop() {
				apply()
			}
			record, err := store.Get(b.Context(), fmt.Sprintf("%s%012d", keeper.ChangePrefix, n))
			require.NoError(b, err)
			b.ReportMetric(float64(len(record.Value)), "record-bytes")
		})
	}
}

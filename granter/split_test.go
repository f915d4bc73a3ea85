package granter_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/coltsfootlever/coltsfootlever/granter"
)

func TestSplit(t *testing.T) {
	even := func(wants ...int) []granter.Part {
		parts := make([]granter.Part, len(wants))
		for i, want := range wants {
			parts[i] = granter.Part{Member: fmt.Sprint("m", i), Slots: 8, Want: want}
		}
		return parts
	}
	large := even(8, 8, 8, 8)
	large[2].Largest = 4
	settled := even(2, 1, 0)
	for i, target := range []int{6, 6, 3} {
		settled[i].Target = target
	}
	tests := []struct {
		name  string
		limit int
		parts []granter.Part
		want  []int
	}{
		{"nobody", 5, nil, nil},
		{"idle slots are spread", 12, even(0, 0, 0), []int{4, 4, 4}},
		{"wants come first", 12, even(8, 1, 0), []int{9, 2, 1}},
		{"scarce slots are shared", 12, even(8, 8, 2), []int{5, 5, 2}},
		{"a member's slots bound its want", 12, even(100, 2, 2), []int{8, 2, 2}},
		{"a large task fits one member", 7, large, []int{1, 1, 4, 1}},
		{"targets that serve stay", 15, settled, []int{6, 6, 3}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			require.Equal(t, tt.want, granter.Split("leads", tt.limit, tt.parts))
		})
	}
}

// All of the limit is handed out, a second split changes nothing, and the
// largest task that can ever start finds a member with room for it.
func TestSplitHandsOutTheLimitAndIsStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := make([]granter.Part, rapid.IntRange(1, 7).Draw(t, "members"))
		limit := rapid.IntRange(0, 40).Draw(t, "limit")
		largest := 0
		for i := range parts {
			parts[i] = granter.Part{
				Member: fmt.Sprint("m", i),
				Slots:  rapid.IntRange(0, 16).Draw(t, "slots"),
				Want:   rapid.IntRange(0, 20).Draw(t, "want"),
				Target: rapid.IntRange(0, 10).Draw(t, "target"),
			}
			parts[i].Largest = rapid.IntRange(0, parts[i].Want).Draw(t, "largest")
			if parts[i].Largest <= min(limit, parts[i].Slots) {
				largest = max(largest, parts[i].Largest)
			}
		}
		first := granter.Split("leads", limit, parts)
		sum := 0
		for i, n := range first {
			require.GreaterOrEqual(t, n, 0)
			sum += n
			parts[i].Target = n
		}
		require.Equal(t, limit, sum)
		require.GreaterOrEqual(t, slices.Max(first), largest)
		require.Equal(t, first, granter.Split("leads", limit, parts))
	})
}

package granter_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/coltsfootlever/coltsfootlever/granter"
)

func TestSplitLimit(t *testing.T) {
	even := func(wants ...int) []granter.MemberDemand {
		members := make([]granter.MemberDemand, len(wants))
		for i, want := range wants {
			members[i] = granter.MemberDemand{Member: fmt.Sprint("m", i), Slots: 8, Wanted: want}
		}
		return members
	}
	large := even(8, 8, 8, 8)
	large[2].Largest = 4
	settled := even(2, 1, 0)
	for i, target := range []int{6, 6, 3} {
		settled[i].Target = target
	}
	tests := []struct {
		name    string
		limit   int
		members []granter.MemberDemand
		want    []int
	}{
		{"no members", 5, nil, nil},
		{"idle slots are spread", 12, even(0, 0, 0), []int{4, 4, 4}},
		{"wanted slots come first", 12, even(8, 1, 0), []int{9, 2, 1}},
		{"a limit below the wanted slots is divided", 12, even(8, 8, 2), []int{5, 5, 2}},
		{"a member gets no more wanted slots than its workers have", 12, even(100, 2, 2), []int{8, 2, 2}},
		{"one member gets enough for the largest task", 7, large, []int{1, 1, 4, 1}},
		{"targets that cover the wanted slots are kept", 15, settled, []int{6, 6, 3}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			require.Equal(t, tt.want, granter.SplitLimit("leads", tt.limit, tt.members))
		})
	}
}

// The targets add up to the limit, a second call with these targets changes
// nothing, and one member gets enough slots for the largest waiting task that
// fits its limits.
func TestSplitLimitAssignsWholeLimitAndIsStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := make([]granter.MemberDemand, rapid.IntRange(1, 7).Draw(t, "members"))
		limit := rapid.IntRange(0, 40).Draw(t, "limit")
		largest := 0
		for i := range members {
			members[i] = granter.MemberDemand{
				Member: fmt.Sprint("m", i),
				Slots:  rapid.IntRange(0, 16).Draw(t, "slots"),
				Wanted: rapid.IntRange(0, 20).Draw(t, "want"),
				Target: rapid.IntRange(0, 10).Draw(t, "target"),
			}
			members[i].Largest = rapid.IntRange(0, members[i].Wanted).Draw(t, "largest")
			if members[i].Largest <= min(limit, members[i].Slots) {
				largest = max(largest, members[i].Largest)
			}
		}
		first := granter.SplitLimit("leads", limit, members)
		sum := 0
		for i, n := range first {
			require.GreaterOrEqual(t, n, 0)
			sum += n
			members[i].Target = n
		}
		require.Equal(t, limit, sum)
		require.GreaterOrEqual(t, slices.Max(first), largest)
		require.Equal(t, first, granter.SplitLimit("leads", limit, members))
	})
}

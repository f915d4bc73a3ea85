package mover

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestAssignSpreadsEachPool(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.IntRange(1, 14).Draw(t, "members")
		var candidates []Candidate
		for n := range members {
			candidates = append(candidates, Candidate{ID: fmt.Sprintf("e%02d", n), Zone: fmt.Sprintf("z%d", n%3)})
		}
		var instances []Instance
		for p := range rapid.IntRange(1, 20).Draw(t, "pools") {
			for n := range rapid.IntRange(1, 30).Draw(t, "size") {
				owner := fmt.Sprintf("e%02d", rapid.IntRange(0, 16).Draw(t, "owner"))
				instances = append(instances, Instance{ID: fmt.Sprintf("p%02d-%02d", p, n), Pool: fmt.Sprintf("p%02d", p), Owner: owner})
			}
		}
		owners := Assign(instances, candidates)
		require.Equal(t, owners, Assign(instances, candidates))
		byPool, zones, size := map[string]map[string]int{}, map[string]map[byte]bool{}, map[string]int{}
		for _, i := range instances {
			if byPool[i.Pool] == nil {
				byPool[i.Pool], zones[i.Pool] = map[string]int{}, map[byte]bool{}
			}
			var n int
			_, err := fmt.Sscanf(owners[i.ID], "e%d", &n)
			require.NoError(t, err)
			byPool[i.Pool][owners[i.ID]]++
			zones[i.Pool][byte(n%3)] = true
			size[i.Pool]++
		}
		for pool, counts := range byPool {
			for owner, n := range counts {
				require.LessOrEqual(t, n, size[pool]/members+1, owner)
			}
			require.GreaterOrEqual(t, len(zones[pool]), min(3, members, size[pool]), pool)
		}
		for n := range instances {
			instances[n].Owner = owners[instances[n].ID]
		}
		require.Equal(t, owners, Assign(instances, candidates), "a balanced assignment does not change")
	})
}

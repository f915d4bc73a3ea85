package evacuator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/evacuator"
	"github.com/coltsfootlever/coltsfootlever/modeler"
)

const bound = 5 * time.Second

func ExampleZones_StartBy() {
	known := evacuator.Replace(nil, nil, -1, 10*time.Second)
	known = evacuator.Add(known, modeler.Evacuation{Zone: "a"}, 10*time.Second, 11*time.Second)
	z := evacuator.Zones{Evacuations: known, AsOf: 11 * time.Second, Bound: bound}
	fmt.Println(z.StartBy("a", false, 11500*time.Millisecond))
	fmt.Println(z.StartBy("a", true, 11500*time.Millisecond)) // the rest of a gang
	fmt.Println(z.StartBy("b", false, 11500*time.Millisecond))
	fmt.Println(z.StartBy("b", false, 16*time.Second))
	// Output:
	// 0s the zone is evacuated
	// 12.1s <nil>
	// 15.8s <nil>
	// 0s the operator's records were last confirmed too long ago
}

// The rest of a gang must not start later than the bound if the process learned of the
// evacuation late, and not at all if it doesn't know when the zone was in use.
func TestGangIsNotCompletedAfterTheBound(t *testing.T) {
	z := evacuator.Zones{AsOf: 15 * time.Second, Bound: bound}
	z.Evacuations = evacuator.Add(nil, modeler.Evacuation{Zone: "a"}, 10*time.Second, 14600*time.Millisecond)
	latest, err := z.StartBy("a", true, 14650*time.Millisecond)
	require.NoError(t, err)
	require.Less(t, latest, 15*time.Second)
	_, err = z.StartBy("a", true, 14750*time.Millisecond)
	require.ErrorIs(t, err, evacuator.ErrEvacuated)
	z.Evacuations = evacuator.Add(nil, modeler.Evacuation{Zone: "a"}, -1, 14*time.Second)
	_, err = z.StartBy("a", true, 14*time.Second)
	require.ErrorIs(t, err, evacuator.ErrEvacuated)
}

// A worker whose clock is 2 % slow, and was read 2 s ago, must still refuse a start that
// arrives after the bound.
func TestLeaseEndsInTimeOnASlowClock(t *testing.T) {
	const rate = 0.98
	z := evacuator.Zones{AsOf: 10 * time.Second, Bound: bound}
	latest, err := z.StartBy("a", false, z.AsOf)
	require.NoError(t, err)
	ahead := (1 - rate) * 2 * float64(time.Second) // of the estimate
	require.Less(t, (float64(latest-z.AsOf)+ahead)/rate, float64(bound))
}

// Without the operator's records nothing may start, also shortly after the machine has
// booted. Where zones can't be evacuated everything may.
func TestNothingStartsBeforeTheRecordsAreRead(t *testing.T) {
	require.False(t, evacuator.Zones{AsOf: -1, Bound: bound}.IsCurrent(0))
	_, err := evacuator.Zones{AsOf: -1, Bound: bound}.StartBy("a", false, time.Second)
	require.ErrorIs(t, err, evacuator.ErrOutdated)
	require.True(t, evacuator.Zones{AsOf: -1}.IsCurrent(time.Hour))
}

// A restored zone must not get all waiting work at once, and must be in use whole
// after some seconds. A second evacuation takes all of it out of use again.
func TestRestoredZoneReturnsInSteps(t *testing.T) {
	const instances, restoredAt = 200, 20 * time.Second
	known := evacuator.Add(nil, modeler.Evacuation{Zone: "a"}, 0, 10*time.Second)
	known = evacuator.Remove(known, "a", restoredAt)
	inUse := func(z evacuator.Zones, now time.Duration) int {
		n := 0
		for i := range instances {
			if z.Accepts("a", fmt.Sprintf("m%d", i), now) {
				n++
			}
		}
		return n
	}
	z := evacuator.Zones{Evacuations: known, AsOf: restoredAt, Bound: bound}
	require.False(t, z.IsEvacuated("a"))
	for step := range 5 {
		share := float64(inUse(z, restoredAt+time.Duration(step)*time.Second)) / instances
		require.InDelta(t, float64(step+1)/5, share, 0.1)
	}
	require.Equal(t, instances, inUse(z, restoredAt+evacuator.ReturnTime))
	z.Evacuations = evacuator.Add(known, modeler.Evacuation{Zone: "a"}, 21*time.Second, 22*time.Second)
	require.Zero(t, inUse(z, 30*time.Second))
	require.Len(t, z.Evacuations, 1)
}

// A list that lacks an evacuated zone restores it: the deletion of its record may have
// been missed. Zones that are listed still stay evacuated since they were.
func TestListReplacesTheEvacuations(t *testing.T) {
	known := evacuator.Replace(nil, []modeler.Evacuation{{Zone: "a", Revision: 3}, {Zone: "b", Revision: 4}}, -1, time.Second)
	known = evacuator.Replace(known, []modeler.Evacuation{{Zone: "b", Revision: 4}, {Zone: "c", Revision: 5}}, 2*time.Second, 3*time.Second)
	z := evacuator.Zones{Evacuations: known}
	require.Equal(t, []string{"b", "c"}, z.Evacuated())
	require.False(t, z.IsEvacuated("a"))
	require.Equal(t, time.Second, known[1].Since)
	require.Negative(t, known[1].InUseAsOf)
	require.Equal(t, 2*time.Second, known[2].InUseAsOf)
	known = evacuator.Replace(known, nil, 20*time.Second, 20*time.Second)
	require.Empty(t, evacuator.Zones{Evacuations: known}.Evacuated())
	require.Len(t, known, 2, "zone a has returned to use")
}

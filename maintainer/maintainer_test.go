package maintainer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/maintainer"
)

func ExampleNext() {
	next := maintainer.Next(maintainer.Wave{
		MaxConcurrent: 3, InMaintenance: 1, TimeLeft: time.Minute,
		Pending: []maintainer.Instance{
			{Name: "busy", Pool: "p", Up: true, ShortTasks: 9},
			{Name: "off", Pool: "spare", Spare: true, Up: true},
			{Name: "empty", Pool: "p", Up: true},
		},
	}, map[string]maintainer.Pool{"p": {Instances: 8, Utilization: 0.2}})
	fmt.Println(next)
	// Output: [off empty]
}

// pendingInstances returns n instances of pool p, each with the number of short
// tasks.
func pendingInstances(n int, shortTasks int) []maintainer.Instance {
	var list []maintainer.Instance
	for i := range n {
		list = append(list, maintainer.Instance{Name: fmt.Sprintf("i%02d", i), Pool: "p", Up: true, ShortTasks: shortTasks})
	}
	return list
}

func TestNextDoesNotExceedMaxConcurrent(t *testing.T) {
	w := maintainer.Wave{MaxConcurrent: 4, InMaintenance: 4, TimeLeft: time.Second, Pending: pendingInstances(10, 0)}
	require.Empty(t, maintainer.Next(w, map[string]maintainer.Pool{"p": {Instances: 20}}))
	w.InMaintenance = 3
	require.Len(t, maintainer.Next(w, map[string]maintainer.Pool{"p": {Instances: 20}}), 1)
}

// The number of instances that start at once grows as the deadline comes closer.
func TestNextSpreadsBusyInstancesOverTheTimeLeft(t *testing.T) {
	w := maintainer.Wave{MaxConcurrent: 10, TimeLeft: 45 * time.Second, Pending: pendingInstances(12, 5)}
	pools := map[string]maintainer.Pool{"p": {Instances: 40, Utilization: 0.9}}
	require.Len(t, maintainer.Next(w, pools), 2)
	w.TimeLeft = 12 * time.Second
	require.Len(t, maintainer.Next(w, pools), 9)
}

func TestNextLimitsTheShareOfAPoolInMaintenance(t *testing.T) {
	w := maintainer.Wave{MaxConcurrent: 10, TimeLeft: 45 * time.Second, Pending: pendingInstances(8, 0)}
	require.Len(t, maintainer.Next(w, map[string]maintainer.Pool{"p": {Instances: 8}}), 2)
	require.Len(t, maintainer.Next(w, map[string]maintainer.Pool{"p": {Instances: 8, InMaintenance: 1}}), 1)
	require.Len(t, maintainer.Next(w, map[string]maintainer.Pool{"p": {Instances: 1}}), 1)
}

// Guards against a wave that misses its deadline because instances with
// long-running tasks are left until the end: these tasks are moved one after
// another. The maintenance of some of these instances must start first, but of not
// more than a quarter of MaxConcurrent at the same time.
func TestInstancesWithLongRunningTasksStartEarly(t *testing.T) {
	w := maintainer.Wave{MaxConcurrent: 8, TimeLeft: time.Minute}
	for i := range 20 {
		w.Pending = append(w.Pending, maintainer.Instance{Name: fmt.Sprintf("empty-%02d", i), Pool: "p", Up: true})
	}
	for i := range 5 {
		w.Pending = append(w.Pending, maintainer.Instance{Name: fmt.Sprintf("long-running-%d", i), Pool: "p", Up: true, LongRunningTasks: 2})
	}
	pools := map[string]maintainer.Pool{"p": {Instances: 40}}
	next := maintainer.Next(w, pools)
	require.Len(t, next, 8)
	require.Equal(t, []string{"long-running-0", "long-running-1", "empty-00"}, next[:3])
	w.MovingLongRunning, w.InMaintenance = 2, 2
	require.Equal(t, "empty-00", maintainer.Next(w, pools)[0])
	w.InMaintenance = 8
	require.Empty(t, maintainer.Next(w, pools))
}

package mover

import (
	"fmt"
	"testing"
	"time"

	"github.com/coltsfootlever/coltsfootlever/lister"
	"github.com/coltsfootlever/coltsfootlever/scheduler"
)

// benchmarkFleet returns 1,100 instances in 77 pools, owned by 14 members.
func benchmarkFleet() ([]Instance, []Candidate, []lister.Listing) {
	var members []Candidate
	for n := range 14 {
		members = append(members, Candidate{ID: fmt.Sprintf("e%02d", n), Zone: fmt.Sprintf("z%d", n%6)})
	}
	var fleet []Instance
	var list []lister.Listing
	for n := range 1100 {
		l := lister.Listing{ID: fmt.Sprintf("w%04d", n), Kind: lister.WorkerKind, Pool: fmt.Sprintf("p%02d", n%77),
			Zone: fmt.Sprintf("z%d", n%6), Slots: 8, State: lister.Live}
		fleet, list = append(fleet, newInstance(l)), append(list, l)
	}
	owners := Assign(fleet, members)
	for n := range fleet {
		fleet[n].Owner = owners[fleet[n].ID]
	}
	return fleet, members, list
}

func BenchmarkAssign1100(b *testing.B) {
	fleet, members, _ := benchmarkFleet()
	for b.Loop() {
		Assign(fleet, members)
	}
}

// BenchmarkReconcileWorkers1100 measures the reconciliation that every member
// runs at least four times a second.
func BenchmarkReconcileWorkers1100(b *testing.B) {
	fleet, _, list := benchmarkFleet()
	m := New(nil, "e00", scheduler.NewFleet(), nil)
	m.roster.Replace(list, time.Now())
	for n, i := range fleet {
		m.table.storeIfNewer(i, int64(n+1))
	}
	for b.Loop() {
		m.reconcileWorkers()
	}
}

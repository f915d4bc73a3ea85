package orchestrator

import (
	"fmt"
	"testing"
	"time"

	"github.com/coltsfootlever/coltsfootlever/modeler"
)

// processorShareOfEntry is the share of a core that a small deployment gives an entry node.
const processorShareOfEntry = 0.4

// newSinglePoolFleet returns a fleet whose workers are all in pool p0.
func newSinglePoolFleet(workers int) *fleet {
	f := newFleet(1, 0)
	f.cfg.ProcessorShare = processorShareOfEntry
	for i := range workers {
		f.addWorker(i, "p0", fmt.Sprintf("rack-%d", i/4))
	}
	f.indexWorkersByInstance()
	return f
}

// largeJobs returns, by name, jobs of n tasks.
func largeJobs(n int) map[string]modeler.Job {
	small := modeler.Resources{CPU: 10, Memory: 1}
	repeating := modeler.Job{Queue: "qp0", Repeat: n, Steps: []modeler.Step{{Count: 1, Gang: true, Need: small, Estimate: time.Second}}}
	return map[string]modeler.Job{
		"long-running": {Queue: "lastingp0", Steps: []modeler.Step{{Count: n, LongRunning: true, Need: small, Estimate: time.Second}}},
		"ordinary":     {Queue: "qp0", Steps: []modeler.Step{{Count: n, MaxPerWorker: n, Need: small, Estimate: time.Second}}},
		"gang":         {Queue: "qp0", Steps: []modeler.Step{{Count: n, Gang: true, Need: small, Estimate: time.Second}}},
		"repeating":    repeating,
	}
}

// submitJob adds a job of a customer of its own.
func (f *fleet) submitJob(def modeler.Job) *job {
	f.jobCount++
	def.ID, def.Customer, def.Accepted = fmt.Sprintf("%06d", f.jobCount), fmt.Sprintf("c%d", f.jobCount%fleetCustomers), f.now
	j := newJob(def, f.customerState(def.Customer))
	f.Engine.addJob(j)
	f.addToMeanJobWork(j)
	return j
}

// passesUntilPlaced runs placement passes until all tasks of the jobs have been placed. It
// returns how many tasks the first one has placed, the processor time of the longest pass
// and of all passes.
func (f *fleet) passesUntilPlaced(tasks int) (first int, longest, total time.Duration) {
	for placed := 0; placed < tasks; {
		f.now = f.now.Add(placementInterval)
		n := 0
		took := f.processorTimeOf(func() { n = f.pass() })
		if n == 0 {
			return first, longest, total
		}
		if placed == 0 {
			first = n
		}
		placed, longest, total = placed+n, max(longest, took), total+took
	}
	return first, longest, total
}

// BenchmarkLargeJob measures the placement passes that a large job causes.
func BenchmarkLargeJob(b *testing.B) {
	for _, kind := range []string{"long-running", "ordinary", "gang", "repeating"} {
		for _, workers := range []int{12, 40} {
			for _, tasks := range []int{100, 1000, 5000} {
				b.Run(fmt.Sprintf("%s/workers=%d/tasks=%d", kind, workers, tasks), func(b *testing.B) { benchLargeJob(b, kind, workers, tasks) })
			}
		}
	}
}

func benchLargeJob(b *testing.B, kind string, workers, tasks int) {
	var longest, total, pause time.Duration
	for b.Loop() {
		b.StopTimer()
		f := newSinglePoolFleet(workers)
		f.submitJob(largeJobs(tasks)[kind])
		b.StartTimer()
		_, l, sum := f.passesUntilPlaced(tasks)
		p := placementPacer{cost: l}
		longest, total, pause = longest+l, total+sum, pause+p.next(processorShareOfEntry).Sub(time.Time{})
	}
	atShare := func(d time.Duration) float64 {
		return d.Seconds() * 1000 / processorShareOfEntry / float64(b.N)
	}
	b.ReportMetric(atShare(longest), "longest-ms")
	b.ReportMetric(atShare(total), "all-ms")
	b.ReportMetric(pause.Seconds()*1000/float64(b.N), "pause-ms")
}

package delayer_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/delayer"
	"github.com/coltsfootlever/coltsfootlever/modeler"
)

const (
	racks         = 6
	rackWorkers   = 4
	workerCores   = 32
	popularShare  = 0.35 // of the tasks have their data in the first rack
	estimateError = 0.15 // standard deviation of the logarithm of actual to estimated durations
	remoteFactor  = 2.0
)

// A wait must never cost a job its objective, nor more than going elsewhere would.
func TestWaitIsBounded(t *testing.T) {
	task := delayer.Task{Estimate: time.Second, RemoteFactor: 2, Slack: 700 * time.Millisecond}
	soon := delayer.Room{In: 500 * time.Millisecond, Error: 100 * time.Millisecond}
	require.True(t, task.ShouldWait(soon))
	require.False(t, task.ShouldWait(delayer.Room{In: 500 * time.Millisecond, Error: 500 * time.Millisecond}), "gains no more than the error")
	require.False(t, task.ShouldWait(delayer.Room{In: 650 * time.Millisecond, Error: 100 * time.Millisecond}), "misses the objective")
	task.Waited = 400 * time.Millisecond
	require.False(t, task.ShouldWait(soon), "has waited in vain")
	require.False(t, delayer.Task{Estimate: time.Second, RemoteFactor: 1, Slack: time.Hour}.ShouldWait(delayer.Room{}), "runs as fast elsewhere")
}

// Runs that don't end, and room that waiting tasks have already counted on, must not be
// waited for.
func TestRoomIsThatOfRunsThatEnd(t *testing.T) {
	need := modeler.Resources{CPU: 4000}
	run := delayer.Run{Resources: need, Estimate: time.Second, Elapsed: 400 * time.Millisecond}
	later := delayer.Run{Resources: need, Estimate: time.Second}
	endless := delayer.Run{Resources: need, Endless: true}
	workers := []delayer.Worker{{Runs: []delayer.Run{later, run, endless}}}
	first := delayer.Room{In: 600 * time.Millisecond, Error: 100 * time.Millisecond}
	second := delayer.Room{In: time.Second, Error: 100 * time.Millisecond}
	require.Equal(t, []delayer.Room{first}, delayer.FindRoom(workers, need, 1, 0.1))
	require.Equal(t, []delayer.Room{first, second}, delayer.FindRoom(workers, need, 3, 0.1))
	workers[0].Free = workers[0].Free.Sub(need)
	require.Equal(t, []delayer.Room{second}, delayer.FindRoom(workers, need, 1, 0.1))
}

type (
	simulation struct {
		rng     *rand.Rand
		waits   bool
		workers []*simulatedWorker // by rack
		waiting []*simulatedTask
		error   delayer.Accuracy
		took    []float64 // of jobs, relative to their critical path
		late    int
	}

	simulatedWorker struct {
		rack int
		free int64
		runs []*simulatedTask
	}

	simulatedTask struct {
		job                  *simulatedJob
		rack                 int
		cores                int64
		estimate, actual     time.Duration
		waitedSince, started time.Duration // waitedSince is negative if it has not waited
		ends                 time.Duration
	}

	simulatedJob struct {
		accepted, ideal time.Duration
		left            int
	}
)

// simulateAffinity plays jobs of eight tasks with their data in one rack, at an
// offered load as a share of all cores.
func simulateAffinity(load float64, waits bool) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(1, 1)), waits: waits}
	for i := range racks * rackWorkers {
		s.workers = append(s.workers, &simulatedWorker{rack: i / rackWorkers, free: workerCores})
	}
	const step, length = 10 * time.Millisecond, 150 * time.Second
	jobsPerStep := load * racks * rackWorkers * workerCores / (8 * 8 * 1.3) * step.Seconds() // 8 tasks of 8 cores and 1.3 s
	for now := time.Duration(0); now < length; now += step {
		if s.rng.Float64() < jobsPerStep {
			s.submit(now)
		}
		for _, w := range s.workers {
			w.runs = slices.DeleteFunc(w.runs, func(t *simulatedTask) bool { return t.ends <= now && s.end(w, t) })
		}
		s.place(now)
	}
	return s
}

func (s *simulation) submit(now time.Duration) {
	j := &simulatedJob{accepted: now, left: 8}
	rack := 0
	if s.rng.Float64() > popularShare {
		rack = s.rng.IntN(racks)
	}
	j.ideal = time.Duration(500+s.rng.IntN(1600)) * time.Millisecond
	cores := int64(3 + s.rng.IntN(11))
	for range j.left {
		actual := time.Duration(float64(j.ideal) * math.Exp(estimateError*s.rng.NormFloat64()))
		s.waiting = append(s.waiting, &simulatedTask{job: j, rack: rack, cores: cores, estimate: j.ideal, actual: actual, waitedSince: -1})
	}
}

// end ends a task and returns true.
func (s *simulation) end(w *simulatedWorker, t *simulatedTask) bool {
	w.free += t.cores
	if w.rack == t.rack {
		s.error.Record(t.ends-t.started, t.estimate)
	}
	if t.job.left--; t.job.left == 0 {
		took := t.ends - t.job.accepted
		s.took = append(s.took, took.Seconds()/t.job.ideal.Seconds())
		if took > time.Duration(1.6*float64(t.job.ideal))+600*time.Millisecond {
			s.late++
		}
	}
	return true
}

// place starts waiting tasks, the oldest first.
func (s *simulation) place(now time.Duration) {
	claimed := make([]int64, len(s.workers)) // by tasks that wait
	s.waiting = slices.DeleteFunc(s.waiting, func(t *simulatedTask) bool {
		best := -1
		for i, w := range s.workers {
			if w.free >= t.cores && (best < 0 || s.isBetter(w, s.workers[best], t)) {
				best = i
			}
		}
		if best < 0 {
			return false
		}
		w := s.workers[best]
		if w.rack != t.rack && s.waits && s.shouldWait(t, claimed, now) {
			return false
		}
		took := t.actual
		if w.rack != t.rack {
			took = time.Duration(remoteFactor * float64(took))
		}
		t.started, t.ends = now, now+took
		w.free -= t.cores
		w.runs = append(w.runs, t)
		return true
	})
}

func (s *simulation) isBetter(a, b *simulatedWorker, t *simulatedTask) bool {
	if (a.rack == t.rack) != (b.rack == t.rack) {
		return a.rack == t.rack
	}
	return a.free < b.free
}

func (s *simulation) shouldWait(t *simulatedTask, claimed []int64, now time.Duration) bool {
	var near []delayer.Worker
	var indexes []int
	for i, w := range s.workers {
		if w.rack != t.rack {
			continue
		}
		view := delayer.Worker{Free: modeler.Resources{CPU: w.free - claimed[i]}}
		for _, r := range w.runs {
			view.Runs = append(view.Runs, delayer.Run{Resources: modeler.Resources{CPU: r.cores}, Estimate: r.estimate, Elapsed: now - r.started})
		}
		near, indexes = append(near, view), append(indexes, i)
	}
	rooms := delayer.FindRoom(near, modeler.Resources{CPU: t.cores}, 1, s.error.RelativeError())
	waited := time.Duration(0)
	if t.waitedSince >= 0 {
		waited = now - t.waitedSince
	}
	deadline := t.job.accepted + time.Duration(1.6*float64(t.job.ideal)) + 600*time.Millisecond
	if len(rooms) == 0 || !(delayer.Task{Estimate: t.estimate, RemoteFactor: remoteFactor, Slack: deadline - now - t.estimate, Waited: waited}).ShouldWait(rooms[0]) {
		return false
	}
	if t.waitedSince < 0 {
		t.waitedSince = now
	}
	claimed[indexes[rooms[0].Worker]] += t.cores
	return true
}

func (s *simulation) mean() float64 {
	sum := 0.0
	for _, took := range s.took {
		sum += took
	}
	return sum / float64(len(s.took))
}

// The load is one of jobs whose data is in one rack, a third of them in the same, at
// 25 to 45 % of the cores. Waits must make jobs faster on the whole, and no more of
// them late.
func TestWaitsPayUnderLoadWithAffinity(t *testing.T) {
	for _, load := range []float64{0.25, 0.35, 0.45} {
		without, with := simulateAffinity(load, false), simulateAffinity(load, true)
		t.Logf("load %.2f: without waits %d jobs, %.2f of their critical path, %d late; with waits %d jobs, %.2f, %d late",
			load, len(without.took), without.mean(), without.late, len(with.took), with.mean(), with.late)
		require.Less(t, with.mean(), without.mean())
		require.LessOrEqual(t, with.late, without.late)
	}
}

package measurer

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/lister"
)

const (
	startDuration    = 30 * time.Second // after this time all entries know each other
	settleDuration   = time.Minute      // after this time grants and workers are distributed among the entries
	phaseDuration    = time.Minute
	changeInterval   = 6 * time.Second
	longTaskDuration = 100 * time.Second
	keyedJobRate     = 5 // jobs per second and entry
	decodeRuns       = 20
	heapCollections  = 4 // garbage collections before the heap is measured
)

// Phases of a run.
const (
	Idle    = "idle"    // no jobs and no changes of the rules
	Changes = "changes" // one change of the rules every 6 s
	Load    = "load"    // half as many long tasks as workers
	Keyed   = "named"   // in addition to Load, 5 short jobs with an idempotency key per second and entry
)

type (
	// Phase is the result of one phase of a run. Traffic is per second.
	Phase struct {
		Name               string
		NonCoordinatorMean TrafficByKind // mean of all entries except the coordinator
		Coordinator        TrafficByKind // of the entry that is the coordinator
		FleetSum           TrafficByKind // sum of all entries
		// CPUPercent is the mean CPU usage of one entry, in percent of one
		// core. It includes the CPU usage of the emulated platform, divided by
		// the number of entries.
		CPUPercent float64
		HeapBytes  float64 // live heap of one entry at the end of the phase
	}

	// Result is the result of one run.
	Result struct {
		Size         Size
		Phases       []Phase
		ListBytes    float64 // size of the instance list as JSON
		ListDecodeMS float64 // CPU time to decode the instance list, in milliseconds
	}
)

// Run runs a fleet of the size and measures it. It must be called in a
// testing/synctest bubble, because its waits are simulated time, and in a process
// that does nothing else, because it measures the CPU time and the heap of the
// whole process.
func Run(ctx context.Context, size Size) (Result, error) {
	f := newFleet(size)
	heapBefore := liveHeapBytes()
	if err := f.start(ctx); err != nil {
		return Result{}, errors.Trace(err)
	}
	defer f.close()
	time.Sleep(startDuration)
	if err := f.applyRules(ctx, 0); err != nil {
		return Result{}, errors.Annotate(err, "apply the first rules")
	}
	time.Sleep(settleDuration)
	result := Result{Size: size}
	phases := []struct {
		name string
		work func(context.Context) error
	}{{Idle, waitPhase}, {Changes, f.changeRules}, {Load, waitPhase}, {Keyed, f.submitKeyedJobs}}
	for _, p := range phases {
		if p.name == Load {
			if err := f.startLongTasks(ctx); err != nil {
				return result, errors.Trace(err)
			}
		}
		phase, err := f.measure(ctx, p.name, p.work)
		if err != nil {
			return result, errors.Annotate(err, p.name)
		}
		phase.HeapBytes = (liveHeapBytes() - heapBefore) / float64(size.Entries)
		result.Phases = append(result.Phases, phase)
	}
	result.ListBytes, result.ListDecodeMS = f.measureListDecoding(ctx)
	select {
	case err := <-f.failed:
		return result, errors.Annotate(err, "entry failed during the run")
	default:
		return result, nil
	}
}

// measure runs the work of a phase and returns the traffic, the CPU usage and the
// name of the phase.
func (f *fleet) measure(ctx context.Context, name string, work func(context.Context) error) (Phase, error) {
	before := f.snapshots()
	cpuBefore, start := processCPUTime(), time.Now()
	if err := work(ctx); err != nil {
		return Phase{}, errors.Trace(err)
	}
	cpuTime, seconds := processCPUTime()-cpuBefore, time.Since(start).Seconds()
	phase := Phase{Name: name, CPUPercent: 100 * cpuTime.Seconds() / seconds / float64(len(f.entries))}
	coordinator := f.coordinatorIndex(ctx)
	for n, after := range f.snapshots() {
		rate := after.SubtractAndDivide(before[n], seconds)
		phase.FleetSum = phase.FleetSum.Plus(rate)
		if n == coordinator {
			phase.Coordinator = rate
		} else {
			phase.NonCoordinatorMean = phase.NonCoordinatorMean.Plus(rate)
		}
	}
	phase.NonCoordinatorMean = phase.NonCoordinatorMean.SubtractAndDivide(nil, float64(len(f.entries)-1))
	return phase, nil
}

// snapshots returns the traffic counted so far, by number of the entry. It lets
// messages arrive first that are under way, so that each counts on both ends.
func (f *fleet) snapshots() []TrafficByKind {
	time.Sleep(time.Nanosecond) // simulated time goes on only once nothing is under way
	all := make([]TrafficByKind, 0, len(f.counters))
	for _, c := range f.counters {
		all = append(all, c.Snapshot())
	}
	return all
}

// coordinatorIndex returns the number of the entry that is the coordinator, or 0
// when no entry is.
func (f *fleet) coordinatorIndex(ctx context.Context) int {
	r, err := f.store.Get(ctx, keeper.LeasePrefix+"coordinator")
	for n, e := range f.entries {
		if err == nil && strings.Contains(string(r.Value), e.Status().Entry) {
			return n
		}
	}
	return 0
}

// waitPhase waits for the duration of a phase.
func waitPhase(context.Context) error {
	time.Sleep(phaseDuration)
	return nil
}

// changeRules changes the rules every changeInterval for the duration of a phase.
func (f *fleet) changeRules(ctx context.Context) error {
	start := time.Now()
	for variant := 1; time.Since(start) < phaseDuration; variant++ {
		next := start.Add(time.Duration(variant) * changeInterval)
		if err := f.applyRules(ctx, variant); err != nil {
			return errors.Trace(err)
		}
		time.Sleep(time.Until(next))
	}
	return nil
}

// startLongTasks submits one long task for every two workers. It then waits 6 s
// (changeInterval), so that the starts are not measured as traffic of the next
// phase.
func (f *fleet) startLongTasks(ctx context.Context) error {
	for n := range f.size.Workers / 2 {
		if err := f.submit(ctx, n, "", longTaskDuration); err != nil {
			return errors.Trace(err)
		}
	}
	time.Sleep(changeInterval)
	return nil
}

// submitKeyedJobs submits short jobs with idempotency keys for half the duration
// of a phase.
func (f *fleet) submitKeyedJobs(ctx context.Context) error {
	start, count := time.Now(), keyedJobRate*len(f.entries)
	for time.Since(start) < phaseDuration/2 {
		next := time.Now().Add(time.Second)
		for n := range count {
			if err := f.submit(ctx, n, newIdempotencyKey(), time.Millisecond); err != nil {
				return errors.Trace(err)
			}
		}
		time.Sleep(time.Until(next))
	}
	return nil
}

// newIdempotencyKey returns a UUID version 7 for the simulated time of the
// bubble. uuid.NewV7 cannot be used: it never goes back in time, so after an
// earlier bubble with a later time its UUIDs would continue from that time.
func newIdempotencyKey() string {
	id := uuid.New()
	var timestamp [8]byte
	binary.BigEndian.PutUint64(timestamp[:], uint64(time.Now().UnixMilli()))
	copy(id[:6], timestamp[2:])
	id[6] = id[6]&0x0f | 0x70 // version 7
	return id.String()
}

// measureListDecoding returns the size of the instance list as JSON and the CPU
// time in milliseconds that decoding it takes once.
func (f *fleet) measureListDecoding(ctx context.Context) (bytes, milliseconds float64) {
	list, _ := f.platform.List(ctx)
	data, _ := json.Marshal(list)
	cpuBefore := processCPUTime()
	for range decodeRuns {
		var decoded []lister.Listing
		_ = json.Unmarshal(data, &decoded)
	}
	return float64(len(data)), (processCPUTime() - cpuBefore).Seconds() * 1000 / decodeRuns
}

// processCPUTime returns the CPU time that the process has used.
func processCPUTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(fmt.Sprintf("getrusage for the CPU time of the process: %v", err))
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// liveHeapBytes returns the size of the live heap. It collects garbage several
// times, because objects in a sync.Pool or with a finalizer are not yet freed
// by the first collection.
func liveHeapBytes() float64 {
	var m runtime.MemStats
	for range heapCollections {
		runtime.GC()
	}
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

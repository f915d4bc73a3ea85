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
	startTime    = 30 * time.Second // until entries know each other
	settleTime   = time.Minute      // until grants and workers are spread
	phaseTime    = time.Minute
	changePeriod = 6 * time.Second
	longTask     = 100 * time.Second
	namedJobs    = 5 // an entry and second
	decodeRuns   = 20
	collections  = 4
)

// Phases of a run.
const (
	Idle    = "idle"    // no work, no change
	Changes = "changes" // one change of the rules every 6 s
	Load    = "load"    // a long task for every second worker
	Named   = "named"   // short tasks with names, 5 an entry and second, above Load
)

type (
	// Phase is what one phase cost an entry in each second.
	Phase struct {
		Name        string
		Members     Amounts // mean of the entries that do not coordinate
		Coordinator Amounts
		All         Amounts // sum of the fleet
		// Processor is the share of one core that an entry used on average,
		// with its part of the stand-ins, in percent.
		Processor float64
		Heap      float64 // bytes live at the end of the phase, an entry
	}

	// Report is the result of one run.
	Report struct {
		Size       Size
		Phases     []Phase
		ListBytes  float64 // of the instance list in JSON
		ListDecode float64 // processor time to decode the instance list, in milliseconds
	}
)

// Run runs a fleet of the size and measures it. It must be called in a
// testing/synctest bubble and in a process that does nothing else.
func Run(ctx context.Context, size Size) (Report, error) {
	w := newWorld(size)
	before := heap()
	if err := w.start(ctx); err != nil {
		return Report{}, errors.Trace(err)
	}
	defer w.close()
	time.Sleep(startTime)
	if err := w.apply(ctx, 0); err != nil {
		return Report{}, errors.Annotate(err, "first rules")
	}
	time.Sleep(settleTime)
	report := Report{Size: size}
	steps := []struct {
		name string
		work func(context.Context) error
	}{{Idle, idle}, {Changes, w.changes}, {Load, idle}, {Named, w.named}}
	for _, s := range steps {
		if s.name == Load {
			if err := w.load(ctx); err != nil {
				return report, errors.Trace(err)
			}
		}
		phase, err := w.measure(ctx, s.name, s.work)
		if err != nil {
			return report, errors.Annotate(err, s.name)
		}
		phase.Heap = (heap() - before) / float64(size.Entries)
		report.Phases = append(report.Phases, phase)
	}
	report.ListBytes, report.ListDecode = w.decodeList(ctx)
	select {
	case err := <-w.failed:
		return report, errors.Annotate(err, "an entry failed")
	default:
		return report, nil
	}
}

// measure runs work and sums up what it cost.
func (w *world) measure(ctx context.Context, name string, work func(context.Context) error) (Phase, error) {
	before := w.read()
	used, start := processor(), time.Now()
	if err := work(ctx); err != nil {
		return Phase{}, errors.Trace(err)
	}
	spent, seconds := processor()-used, time.Since(start).Seconds()
	phase := Phase{Name: name, Processor: 100 * spent.Seconds() / seconds / float64(len(w.entries))}
	coordinator := w.coordinator(ctx)
	for n, after := range w.read() {
		rate := after.Since(before[n], seconds)
		phase.All = phase.All.Plus(rate)
		if n == coordinator {
			phase.Coordinator = rate
		} else {
			phase.Members = phase.Members.Plus(rate)
		}
	}
	phase.Members = phase.Members.Since(nil, float64(len(w.entries)-1))
	return phase, nil
}

func (w *world) read() []Amounts {
	all := make([]Amounts, 0, len(w.meters))
	for _, m := range w.meters {
		all = append(all, m.Read())
	}
	return all
}

// coordinator returns the entry that holds the coordinator's duty.
func (w *world) coordinator(ctx context.Context) int {
	r, err := w.store.Get(ctx, keeper.LeasePrefix+"coordinator")
	for n, e := range w.entries {
		if err == nil && strings.Contains(string(r.Value), e.Status().Entry) {
			return n
		}
	}
	return 0
}

func idle(context.Context) error {
	time.Sleep(phaseTime)
	return nil
}

func (w *world) changes(ctx context.Context) error {
	start := time.Now()
	for turn := 1; time.Since(start) < phaseTime; turn++ {
		next := start.Add(time.Duration(turn) * changePeriod)
		if err := w.apply(ctx, turn); err != nil {
			return errors.Trace(err)
		}
		time.Sleep(time.Until(next))
	}
	return nil
}

// load starts a long task for every second worker.
func (w *world) load(ctx context.Context) error {
	for n := range w.size.Workers / 2 {
		if err := w.submit(ctx, n, "", longTask); err != nil {
			return errors.Trace(err)
		}
	}
	time.Sleep(changePeriod)
	return nil
}

// named hands in short tasks with names for half the time of a phase.
func (w *world) named(ctx context.Context) error {
	start, count := time.Now(), namedJobs*len(w.entries)
	for time.Since(start) < phaseTime/2 {
		next := time.Now().Add(time.Second)
		for n := range count {
			if err := w.submit(ctx, n, newName(), time.Millisecond); err != nil {
				return errors.Trace(err)
			}
		}
		time.Sleep(time.Until(next))
	}
	return nil
}

// newName returns a UUID version 7 of the present time. uuid.NewV7 would go on
// from the last time of an earlier bubble.
func newName() string {
	id := uuid.New()
	var date [8]byte
	binary.BigEndian.PutUint64(date[:], uint64(time.Now().UnixMilli()))
	copy(id[:6], date[2:])
	id[6] = id[6]&0x0f | 0x70
	return id.String()
}

// decodeList returns the bytes of the instance list and the processor time in
// milliseconds that one decoding takes.
func (w *world) decodeList(ctx context.Context) (bytes, milliseconds float64) {
	list, _ := w.platform.List(ctx)
	data, _ := json.Marshal(list)
	used := processor()
	for range decodeRuns {
		var decoded []lister.Listing
		_ = json.Unmarshal(data, &decoded)
	}
	return float64(len(data)), (processor() - used).Seconds() * 1000 / decodeRuns
}

// processor returns the processor time that the process has used.
func processor() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(fmt.Sprintf("processor time: %v", err))
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heap returns the bytes that are live. Further collections free what pools
// and finalizers still hold after the first.
func heap() float64 {
	var m runtime.MemStats
	for range collections {
		runtime.GC()
	}
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

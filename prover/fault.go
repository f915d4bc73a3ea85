package prover

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/coltsfootlever/coltsfootlever/emulator"
	"github.com/coltsfootlever/coltsfootlever/lister"
)

// platformFault is the name under which the checker knows faults of what is not
// an entry.
const platformFault = "platform"

// do takes a step. What ends it runs in the background.
func (w *World) do(s Step, entries int) {
	w.tally.add("step "+string(s.Kind), 1)
	a, b := s.A%entries, s.B%entries
	switch s.Kind {
	case CrashEntry:
		w.crash(a, s.For, s.B%2 == 0)
	case LoseEntry:
		w.loseEntry(a, s.For)
	case PauseEntry:
		w.pause(a, s.For)
	case StopEntry:
		w.later(0, func() { w.stopEntry(a, s.For) })
	case CutPeers:
		w.cutPeers(a, b, s.For)
	case CutStore:
		w.storeFault(s.For, []int{a}, func(p *emulator.StoreClient, on bool) { p.SetDown(on) })
	case CutList:
		w.cutList(a, s.For)
	case StoreDown:
		w.storeFault(s.For, upTo(entries), func(p *emulator.StoreClient, on bool) { p.SetDown(on) })
	case StoreHung:
		w.storeFault(s.For, upTo(entries), func(p *emulator.StoreClient, on bool) { p.SetHung(on) })
	case StoreSlow:
		w.storeFault(s.For, upTo(entries), func(p *emulator.StoreClient, on bool) { p.SetDelay(slowness(on, s.B)) })
	case LoseWrites:
		port := w.store.ClientFor(entryName(a))
		w.platformFor(s.For, func() { port.LoseNextWriteResponses(1 + s.B%5) }, func() { port.LoseNextWriteResponses(0) })
	case LapseLeases:
		w.disturb()
		w.store.ExpireLeases()
	case LoseMessages:
		w.platformFor(s.For,
			func() { w.net.set(func(n *network) { n.loseRequests = 1 + s.B }) },
			func() { w.net.set(func(n *network) { n.loseRequests = 0 }) })
	case LoseReplies:
		w.platformFor(s.For,
			func() { w.net.set(func(n *network) { n.loseReplies = 1 + s.B }) },
			func() { w.net.set(func(n *network) { n.loseReplies = 0 }) })
	case SlowNetwork:
		w.slowNetwork(s.For, upTo(entries), time.Duration(100+100*s.B)*time.Millisecond)
	default:
		w.doFleet(s)
	}
}

// doFleet takes a step that meets workers, operators or callers.
func (w *World) doFleet(s Step) {
	id := w.workerName(s.A)
	switch s.Kind {
	case CrashWorker:
		w.platformFor(s.For, func() { w.platform.SetPower(false, named(id)) }, func() { w.platform.SetPower(true, named(id)) })
	case PauseWorker:
		w.workerFault(id, s.For, func(f *emulator.WorkerFaults, on bool) { f.Paused = on })
	case SlowWorker:
		w.workerFault(id, s.For, func(f *emulator.WorkerFaults, on bool) { f.ResponseDelay = slowness(on, s.B) })
	case FailWorker:
		w.workerFault(id, s.For, func(f *emulator.WorkerFaults, on bool) { f.FailTasks = on })
	case SpoilAnswers:
		w.spoil(id, s.B, s.For)
	case LeaveWorker:
		w.leave(id, s.For)
	case LoseRack:
		w.losePower(s.For, func(l lister.Listing) bool { return l.Kind == lister.WorkerKind && l.Rack == w.rackOf(s.A) })
	case LoseZone:
		zone := zones[s.A%len(zones)]
		w.losePower(s.For, func(l lister.Listing) bool { return l.Kind == lister.WorkerKind && l.Zone == zone })
	case ListDown:
		w.platformFor(s.For,
			func() { w.platform.InjectFaults(func(f *emulator.PlatformFaults) { f.Down = true }) },
			func() { w.platform.InjectFaults(func(f *emulator.PlatformFaults) { f.Down = false }) })
	case Burst:
		rng := rand.New(rand.NewPCG(uint64(s.A), uint64(s.B)))
		for range 20 + 2*s.B {
			w.call(rng)
		}
	case CancelWave:
		w.cancelWave(s)
	default:
		w.doOperator(s)
	}
}

func upTo(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}

func slowness(on bool, n int) time.Duration {
	if !on {
		return 0
	}
	return time.Duration(50+100*n) * time.Millisecond
}

func named(id string) func(lister.Listing) bool {
	return func(l lister.Listing) bool { return l.ID == id }
}

// later runs fn after d. The run waits for it.
func (w *World) later(d time.Duration, fn func()) {
	w.callers.Go(func() {
		time.Sleep(d)
		fn()
	})
}

func (w *World) disturb() {
	w.audit.Disturbed(time.Now())
}

// impair tells the checker that entries are hindered for a time.
func (w *World) impair(d time.Duration, entries []int, begin, end func()) {
	for _, n := range entries {
		w.audit.Impaired(entryName(n), time.Now())
	}
	begin()
	w.later(d, func() {
		end()
		for _, n := range entries {
			w.audit.Recovered(entryName(n), time.Now())
		}
	})
}

// platformFor is a fault of the platform for a time.
func (w *World) platformFor(d time.Duration, begin, end func()) {
	w.audit.Impaired(platformFault, time.Now())
	begin()
	w.later(d, func() {
		end()
		w.audit.Recovered(platformFault, time.Now())
	})
}

// crash kills an entry and starts a new process of its instance later.
func (w *World) crash(number int, d time.Duration, newAddress bool) {
	n := w.node(number)
	if n == nil {
		return
	}
	w.impair(d, []int{number}, func() {
		w.audit.Crashed(n.Instance, time.Now())
		n.kill()
	}, func() { w.revive(number, newAddress) })
}

func (w *World) revive(number int, newAddress bool) {
	if w.node(number) == nil {
		w.Launch(number, newAddress)
	}
}

// loseEntry kills an entry with its instance, which is replaced later.
func (w *World) loseEntry(number int, d time.Duration) {
	n := w.node(number)
	if n == nil {
		return
	}
	w.crash(number, d+listLag, true)
	w.platform.Remove(n.Instance)
}

func (w *World) pause(number int, d time.Duration) {
	n := w.node(number)
	if n == nil {
		return
	}
	w.impair(d, []int{number}, n.gate.pause, n.gate.resume)
}

func (w *World) cutPeers(a, b int, d time.Duration) {
	if a == b {
		return
	}
	w.impair(d, []int{a, b},
		func() { w.net.cut(entryName(a), entryName(b), true) },
		func() { w.net.cut(entryName(a), entryName(b), false) })
}

func (w *World) cutList(number int, d time.Duration) {
	n := w.node(number)
	if n == nil {
		return
	}
	w.impair(d, []int{number}, func() { n.cutList.Store(true) }, func() { n.cutList.Store(false) })
}

// storeFault sets a fault on the ways of some entries to the store.
func (w *World) storeFault(d time.Duration, entries []int, set func(p *emulator.StoreClient, on bool)) {
	each := func(on bool) {
		for _, n := range entries {
			set(w.store.ClientFor(entryName(n)), on)
		}
	}
	w.impair(d, entries, func() { each(true) }, func() { each(false) })
}

func (w *World) slowNetwork(d time.Duration, entries []int, delay time.Duration) {
	w.impair(d, entries,
		func() { w.net.set(func(n *network) { n.delay = delay }) },
		func() { w.net.set(func(n *network) { n.delay = networkTime }) })
}

func (w *World) workerName(n int) string {
	ids := len(w.workers)
	return workerID(n % ids)
}

func (w *World) rackOf(n int) string {
	return rackID(n % len(w.workers))
}

func (w *World) workerFault(id string, d time.Duration, set func(f *emulator.WorkerFaults, on bool)) {
	worker := w.workers[id]
	w.platformFor(d,
		func() { worker.InjectFaults(func(f *emulator.WorkerFaults) { set(f, true) }) },
		func() { worker.InjectFaults(func(f *emulator.WorkerFaults) { set(f, false) }) })
}

// spoil spoils some of a worker's next answers.
func (w *World) spoil(id string, n int, d time.Duration) {
	faults := []emulator.ResponseFault{emulator.LoseResponse, emulator.TruncateResponse, emulator.SwapResponse}
	w.workerFault(id, d, func(f *emulator.WorkerFaults, on bool) {
		f.NextResponses = nil
		for i := 0; on && i <= n%6; i++ {
			f.NextResponses = append(f.NextResponses, faults[(n+i)%len(faults)])
		}
	})
}

// leave has an instance announce that it leaves, go, and come back.
func (w *World) leave(id string, d time.Duration) {
	w.platformFor(d+rebootTime, func() {
		w.platform.MarkLeaving(id)
		w.later(d, func() { w.platform.SetPower(false, named(id)) })
	}, func() {
		w.platform.Add(w.listing(id))
		w.power(id, true)
	})
}

func (w *World) losePower(d time.Duration, match func(lister.Listing) bool) {
	w.platformFor(d, func() { w.platform.SetPower(false, match) }, func() { w.platform.SetPower(true, match) })
}

// cancelWave hands in many jobs whose callers go away at about the same time.
func (w *World) cancelWave(s Step) {
	rng := rand.New(rand.NewPCG(uint64(s.A), uint64(s.B)))
	for range 10 + 2*s.B {
		j := randomJob(rng)
		own := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
		ctx, stop := context.WithTimeout(context.Background(), s.For/10+time.Duration(rng.IntN(200))*time.Millisecond)
		w.callers.Go(func() {
			defer stop()
			w.handIn(ctx, j, own)
		})
	}
}

package prover

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/coltsfootlever/coltsfootlever/emulator"
	"github.com/coltsfootlever/coltsfootlever/lister"
)

// platformFault is the name passed to the checker in place of an entry for faults
// outside the entries.
const platformFault = "platform"

// runStep starts a step. Its end, such as the repair of a fault, is scheduled in
// the background.
func (w *World) runStep(s Step, entries int) {
	w.events.add("step "+string(s.Kind), 1)
	a, b := s.Target%entries, s.Parameter%entries
	switch s.Kind {
	case CrashEntry:
		w.crashEntry(a, s.Duration, s.Parameter%2 == 0)
	case LoseEntry:
		w.removeEntry(a, s.Duration)
	case PauseEntry:
		w.pauseEntry(a, s.Duration)
	case StopEntry:
		w.runInBackgroundAfter(0, func() { w.stopEntry(a, s.Duration) })
	case CutPeers:
		w.partitionPeers(a, b, s.Duration)
	case CutStore:
		w.injectStoreFault(s.Duration, []int{a}, func(client *emulator.StoreClient, on bool) { client.SetDown(on) })
	case CutList:
		w.makeListUnreachable(a, s.Duration)
	case StoreDown:
		w.injectStoreFault(s.Duration, numbersBelow(entries), func(client *emulator.StoreClient, on bool) { client.SetDown(on) })
	case StoreHung:
		w.injectStoreFault(s.Duration, numbersBelow(entries), func(client *emulator.StoreClient, on bool) { client.SetHung(on) })
	case StoreSlow:
		w.injectStoreFault(s.Duration, numbersBelow(entries), func(client *emulator.StoreClient, on bool) { client.SetDelay(addedDelay(on, s.Parameter)) })
	case LoseWrites:
		client := w.store.ClientFor(entryName(a))
		w.injectPlatformFault(s.Duration, func() { client.LoseNextWriteResponses(1 + s.Parameter%5) }, func() { client.LoseNextWriteResponses(0) })
	case ExpireLeases:
		w.reportTransientFault()
		w.store.ExpireLeases()
	case LoseRequests:
		w.injectPlatformFault(s.Duration,
			func() { w.net.updateFaults(func(n *network) { n.loseRequests = 1 + s.Parameter }) },
			func() { w.net.updateFaults(func(n *network) { n.loseRequests = 0 }) })
	case LoseReplies:
		w.injectPlatformFault(s.Duration,
			func() { w.net.updateFaults(func(n *network) { n.loseReplies = 1 + s.Parameter }) },
			func() { w.net.updateFaults(func(n *network) { n.loseReplies = 0 }) })
	case SlowNetwork:
		w.slowNetwork(s.Duration, numbersBelow(entries), time.Duration(100+100*s.Parameter)*time.Millisecond)
	default:
		w.runFleetStep(s)
	}
}

// runFleetStep starts a step that affects workers, the instance list or callers.
// It passes any other step to runOperatorStep.
func (w *World) runFleetStep(s Step) {
	id := w.workerIDAtIndex(s.Target)
	switch s.Kind {
	case CrashWorker:
		w.injectPlatformFault(s.Duration, func() { w.platform.SetPower(false, listingHasID(id)) }, func() { w.platform.SetPower(true, listingHasID(id)) })
	case PauseWorker:
		w.injectWorkerFault(id, s.Duration, func(f *emulator.WorkerFaults, on bool) { f.Paused = on })
	case SlowWorker:
		w.injectWorkerFault(id, s.Duration, func(f *emulator.WorkerFaults, on bool) { f.ResponseDelay = addedDelay(on, s.Parameter) })
	case FailWorker:
		w.injectWorkerFault(id, s.Duration, func(f *emulator.WorkerFaults, on bool) { f.FailTasks = on })
	case CorruptAnswers:
		w.corruptAnswers(id, s.Parameter, s.Duration)
	case RemoveWorker:
		w.removeWorker(id, s.Duration)
	case LoseRack:
		w.switchOffPower(s.Duration, func(l lister.Listing) bool { return l.Kind == lister.WorkerKind && l.Rack == w.rackIDAtIndex(s.Target) })
	case LoseZone:
		zone := zones[s.Target%len(zones)]
		w.switchOffPower(s.Duration, func(l lister.Listing) bool { return l.Kind == lister.WorkerKind && l.Zone == zone })
	case ListDown:
		w.injectPlatformFault(s.Duration,
			func() { w.platform.InjectFaults(func(f *emulator.PlatformFaults) { f.Down = true }) },
			func() { w.platform.InjectFaults(func(f *emulator.PlatformFaults) { f.Down = false }) })
	case Burst:
		rng := rand.New(rand.NewPCG(uint64(s.Target), uint64(s.Parameter)))
		for range 20 + 2*s.Parameter {
			w.startCaller(rng)
		}
	case CancelRequests:
		w.submitRequestsThatCancel(s)
	default:
		w.runOperatorStep(s)
	}
}

func numbersBelow(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}

// addedDelay returns the delay that a step with parameter n adds to each answer,
// 0 while the fault is off.
func addedDelay(on bool, n int) time.Duration {
	if !on {
		return 0
	}
	return time.Duration(50+100*n) * time.Millisecond
}

// listingHasID returns a function that reports whether a listing has the given
// ID.
func listingHasID(id string) func(lister.Listing) bool {
	return func(l lister.Listing) bool { return l.ID == id }
}

// runInBackgroundAfter runs fn in the background after d. The run of the plan
// waits for it.
func (w *World) runInBackgroundAfter(d time.Duration, fn func()) {
	w.background.Go(func() {
		time.Sleep(d)
		fn()
	})
}

func (w *World) reportTransientFault() {
	w.audit.RecordTransientFault(time.Now())
}

// injectEntryFault calls begin and, after d, end. It reports the time between
// as a fault of the entries to the checker.
func (w *World) injectEntryFault(d time.Duration, entries []int, begin, end func()) {
	for _, n := range entries {
		w.audit.RecordFaultStart(entryName(n), time.Now())
	}
	begin()
	w.runInBackgroundAfter(d, func() {
		end()
		for _, n := range entries {
			w.audit.RecordFaultEnd(entryName(n), time.Now())
		}
	})
}

// injectPlatformFault calls begin and, after d, end. It reports the time
// between as a platform fault to the checker.
func (w *World) injectPlatformFault(d time.Duration, begin, end func()) {
	w.audit.RecordFaultStart(platformFault, time.Now())
	begin()
	w.runInBackgroundAfter(d, func() {
		end()
		w.audit.RecordFaultEnd(platformFault, time.Now())
	})
}

// crashEntry kills an entry process and starts a new one of the same instance
// after d.
func (w *World) crashEntry(number int, d time.Duration, newAddress bool) {
	n := w.runningNode(number)
	if n == nil {
		return
	}
	w.injectEntryFault(d, []int{number}, func() {
		w.audit.RecordEntryCrash(n.Instance, time.Now())
		n.kill()
	}, func() { w.restartEntry(number, newAddress) })
}

// restartEntry starts an entry unless a process of its instance runs already.
func (w *World) restartEntry(number int, newAddress bool) {
	if w.runningNode(number) == nil {
		w.StartEntry(number, newAddress)
	}
}

// removeEntry kills an entry and removes its instance from the instance list. A
// replacement starts after d and the lag of the list.
func (w *World) removeEntry(number int, d time.Duration) {
	n := w.runningNode(number)
	if n == nil {
		return
	}
	w.crashEntry(number, d+listLag, true)
	w.platform.Remove(n.Instance)
}

// pauseEntry blocks the input and output of an entry process for the time d.
func (w *World) pauseEntry(number int, d time.Duration) {
	n := w.runningNode(number)
	if n == nil {
		return
	}
	w.injectEntryFault(d, []int{number}, n.gate.pause, n.gate.resume)
}

// partitionPeers makes two entries unreachable to each other for the time d.
func (w *World) partitionPeers(a, b int, d time.Duration) {
	if a == b {
		return
	}
	w.injectEntryFault(d, []int{a, b},
		func() { w.net.setPartition(entryName(a), entryName(b), true) },
		func() { w.net.setPartition(entryName(a), entryName(b), false) })
}

// makeListUnreachable makes the calls of an entry to the instance list fail for
// the time d.
func (w *World) makeListUnreachable(number int, d time.Duration) {
	n := w.runningNode(number)
	if n == nil {
		return
	}
	w.injectEntryFault(d, []int{number}, func() { n.listUnreachable.Store(true) }, func() { n.listUnreachable.Store(false) })
}

// injectStoreFault sets a fault on the connections of some entries to the store
// for the time d.
func (w *World) injectStoreFault(d time.Duration, entries []int, set func(client *emulator.StoreClient, on bool)) {
	setAll := func(on bool) {
		for _, n := range entries {
			set(w.store.ClientFor(entryName(n)), on)
		}
	}
	w.injectEntryFault(d, entries, func() { setAll(true) }, func() { setAll(false) })
}

// slowNetwork delays the messages between entries for the time d.
func (w *World) slowNetwork(d time.Duration, entries []int, delay time.Duration) {
	w.injectEntryFault(d, entries,
		func() { w.net.updateFaults(func(n *network) { n.delay = delay }) },
		func() { w.net.updateFaults(func(n *network) { n.delay = defaultDelay }) })
}

func (w *World) workerIDAtIndex(n int) string {
	ids := len(w.workers)
	return workerID(n % ids)
}

func (w *World) rackIDAtIndex(n int) string {
	return rackID(n % len(w.workers))
}

// injectWorkerFault sets a fault on a worker for the time d.
func (w *World) injectWorkerFault(id string, d time.Duration, set func(f *emulator.WorkerFaults, on bool)) {
	worker := w.workers[id]
	w.injectPlatformFault(d,
		func() { worker.InjectFaults(func(f *emulator.WorkerFaults) { set(f, true) }) },
		func() { worker.InjectFaults(func(f *emulator.WorkerFaults) { set(f, false) }) })
}

// corruptAnswers makes up to six of a worker's next answers lost, truncated or
// exchanged for the answer to another request.
func (w *World) corruptAnswers(id string, n int, d time.Duration) {
	faults := []emulator.ResponseFault{emulator.LoseResponse, emulator.TruncateResponse, emulator.SwapResponse}
	w.injectWorkerFault(id, d, func(f *emulator.WorkerFaults, on bool) {
		f.NextResponses = nil
		for i := 0; on && i <= n%6; i++ {
			f.NextResponses = append(f.NextResponses, faults[(n+i)%len(faults)])
		}
	})
}

// removeWorker makes an instance announce that it is leaving, lose power after d,
// and return after the reboot time.
func (w *World) removeWorker(id string, d time.Duration) {
	w.injectPlatformFault(d+rebootDuration, func() {
		w.platform.MarkLeaving(id)
		w.runInBackgroundAfter(d, func() { w.platform.SetPower(false, listingHasID(id)) })
	}, func() {
		w.platform.Add(w.listingAfterReboot(id))
		w.handlePowerChange(id, true)
	})
}

// switchOffPower turns off the power of all instances that match for the time d.
func (w *World) switchOffPower(d time.Duration, match func(lister.Listing) bool) {
	w.injectPlatformFault(d, func() { w.platform.SetPower(false, match) }, func() { w.platform.SetPower(true, match) })
}

// submitRequestsThatCancel submits many new jobs whose contexts expire at about
// the same time, so that their callers cancel the requests.
func (w *World) submitRequestsThatCancel(s Step) {
	rng := rand.New(rand.NewPCG(uint64(s.Target), uint64(s.Parameter)))
	for range 10 + 2*s.Parameter {
		j := randomJob(rng)
		callerRNG := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
		ctx, stop := context.WithTimeout(context.Background(), s.Duration/10+time.Duration(rng.IntN(200))*time.Millisecond)
		w.background.Go(func() {
			defer stop()
			w.submitJobWithRetries(ctx, j, callerRNG)
		})
	}
}

package main

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/coltsfootlever/coltsfootlever/modeler"
)

const (
	kindA       = "a"
	kindB       = "b"
	settleTime  = 1500 * time.Millisecond // for placements and ends to be stored
	silenceTime = 3 * time.Second         // the longest silence of the store in the site file is 4.5 s
	restartTime = 150 * time.Millisecond  // of a worker that starts again under its id
	finishDelay = 100 * time.Millisecond  // from its end to that of the subtask before the next one
	recovery    = 20 * time.Second        // longer than recovery_s, 12 s

	crashTime   = 4500 * time.Millisecond // srv_crash of the site file
	crashAfter  = time.Second             // work of the subtask before each crash
	maxCrashes  = 5
	greyTime    = 6500 * time.Millisecond // srv_grey of the site file
	visibleTime = 5 * time.Second         // visible_ms + 2 s
)

var errNoRun = errors.New("a subtask does not start")

// addMachines adds machines of one kind to the pool, four a rack.
func (w *world) addMachines(n int, kind string) error {
	for range n {
		number := len(w.machines)
		if _, err := w.addMachine(fmt.Sprintf("m-%02d", number), mainPool, kind, fmt.Sprintf("r1-%d", number/4)); err != nil {
			return err
		}
	}
	return nil
}

// playForgottenEnd lets a worker start again under its id while the store is silent,
// between two polls.
func playForgottenEnd(ctx context.Context, w *world, trouble bool) (string, error) {
	const warm, open, chain = "00000000000000a%d", "00000000000000b1", "00000000000000c1"
	if err := errors.Join(w.addMachines(8, kindA), w.addMachines(1, kindB)); err != nil {
		return "", err
	}
	if err := w.open(ctx, smallManifest(false)); err != nil {
		return "", err
	}
	b := w.machines[len(w.machines)-1] // the only machine of its kind
	onB := step(1, 1000)
	onB.Label = kindB
	for n := range 4 {
		if err := w.submit(ctx, fmt.Sprintf(warm, n), onB); err != nil {
			return "", err
		}
	}
	if !await(ctx, 10*time.Second, func() bool { _, seen, runs := b.worker.state(); return seen >= 4 && runs == 0 }) {
		return "", errors.New("the first jobs are not done")
	}
	w.setWork(open+".0.0", lastsLong)
	w.setWork(chain+".0.0", lastsLong)
	w.setWork(chain+".0.1", 60*time.Millisecond)
	onA, second := step(1, 1000), step(1, 1000, 0)
	onA.Label, second.Label = kindA, kindB
	if err := errors.Join(w.submit(ctx, open, onB), w.submit(ctx, chain, onA, second)); err != nil {
		return "", err
	}
	if !await(ctx, 10*time.Second, func() bool { return w.workerOf(open+".0.0.0") != nil && w.workerOf(chain+".0.0.0") != nil }) {
		return "", errNoRun
	}
	time.Sleep(settleTime)
	a := w.workerOf(chain + ".0.0.0")
	if trouble {
		w.setSilent(true)
		time.AfterFunc(silenceTime, func() { w.setSilent(false) })
	}
	time.Sleep(200 * time.Millisecond)
	b.worker.finish(open + ".0.0.0")
	finish := func() { a.finish(chain + ".0.0.0") }
	if !trouble {
		finish()
	} else if err := w.restartAfterPoll(ctx, b, finish); err != nil {
		return "", err
	}
	await(ctx, recovery, func() bool {
		return w.startedAgainAfterDone() != "" || w.jobState(ctx, chain) == string(modeler.Completed)
	})
	time.Sleep(settleTime)
	if started, _ := w.runsOf(chain, "done"); started < 2 {
		return "", errNoRun
	}
	return w.startedAgainAfterDone(), nil
}

// restartAfterPoll lets the worker of a machine start again after it has answered two
// more polls, and calls meanwhile. The next poll comes half a second later.
func (w *world) restartAfterPoll(ctx context.Context, m *machine, meanwhile func()) error {
	before, _, _ := m.worker.state()
	if !await(ctx, 5*time.Second, func() bool { holds, _, _ := m.worker.state(); return holds >= before+2 }) {
		return errors.New("the worker is not polled")
	}
	time.AfterFunc(finishDelay, meanwhile)
	return w.restartUnderItsID(m, restartTime)
}

// playGivenUp crashes the workers of a subtask that lasts, one after the other.
func playGivenUp(ctx context.Context, w *world, trouble bool) (string, error) {
	const job, first = "00000000000000d1", "00000000000000d1.0.0.0"
	if err := w.addMachines(9, kindA); err != nil {
		return "", err
	}
	if err := w.open(ctx, smallManifest(false)); err != nil {
		return "", err
	}
	lasting := step(3, 2700)
	lasting.LongRunning, lasting.MaxPerWorker, lasting.MaxAbsent, lasting.Image = true, 1, 1, "sweep"
	w.setWork(job, lastsLong)
	if err := w.submitTo(ctx, openPrefix, job, lasting); err != nil {
		return "", err
	}
	crashes := 0
	for end := time.Now().Add(60 * time.Second); crashes < maxCrashes && time.Now().Before(end); {
		state := w.jobStateAt(ctx, openPrefix, job)
		if state == string(modeler.Failed) {
			break
		}
		if !await(ctx, 15*time.Second, func() bool { return w.workerOf(first) != nil }) {
			break
		}
		time.Sleep(crashAfter)
		if !trouble {
			break
		}
		if v := w.workerOf(first); v != nil {
			w.crash(v.machine, crashTime)
			crashes++
		}
	}
	await(ctx, 5*time.Second, func() bool { return w.jobStateAt(ctx, openPrefix, job) == string(modeler.Failed) })
	time.Sleep(settleTime)
	return w.givenUp(ctx, job, crashes, lasting.MaxAbsent), nil
}

// givenUp tells whether stops have ended more subtasks at work than the step may miss,
// though nobody has cancelled the job: rule AVAIL.
func (w *world) givenUp(ctx context.Context, job string, crashes, mayMiss int) string {
	state := w.jobStateAt(ctx, openPrefix, job)
	started, failed := w.runsOf(job, "failed")
	w.obsMu.Lock()
	defer w.obsMu.Unlock()
	stopped := 0
	for _, s := range w.stops {
		if s.atWork {
			stopped++
		}
	}
	w.rec.note("the job is shown as %q after %d crashes; %d runs have started, %d ended failed, %d were stopped at work", state, crashes, started, failed, stopped)
	if stopped <= mayMiss {
		return ""
	}
	return fmt.Sprintf("stops have ended %d subtasks at work of a step that may miss %d; nobody has cancelled the job, which is shown as %q though %d of its runs ended failed", stopped, mayMiss, state, failed)
}

// playLostInstance adds a machine and requests its upkeep in a wave at once.
func playLostInstance(ctx context.Context, w *world, trouble bool) (string, error) {
	const waves = 4
	if err := w.addMachines(9, kindA); err != nil {
		return "", err
	}
	if err := w.open(ctx, smallManifest(false)); err != nil {
		return "", err
	}
	for n := range int64(waves) {
		time.Sleep(3 * time.Second)
		added := fmt.Sprintf("m-new-%d", n+1)
		if _, err := w.addMachine(added, mainPool, kindA, "r1-9"); err != nil {
			return "", err
		}
		if !trouble {
			time.Sleep(5 * time.Second) // the list of machines is read every two seconds
		}
		if err := w.requestWave(n+1, fmt.Sprintf("m-%02d", n), added); err != nil {
			return "", err
		}
		if !await(ctx, 20*time.Second, func() bool { return w.waveState(ctx, n+1) == "completed" }) {
			return "", fmt.Errorf("wave %d is not said to be completed", n+1)
		}
		if breach := w.upkeepMissing(n + 1); breach != "" {
			return breach, nil
		}
	}
	return "", nil
}

// upkeepMissing returns a machine of a wave that is there and whose upkeep has not begun.
func (w *world) upkeepMissing(wave int64) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.machines {
		if slices.Contains(w.waves[wave], m.Name) && !m.begun[wave] {
			return fmt.Sprintf("status/wave/%d says completed, and the upkeep of %s, which is %s, has not begun", wave, m.Name, m.state)
		}
	}
	return ""
}

// playPending lets one of eleven workers refuse each start while the others are full.
func playPending(ctx context.Context, w *world, trouble bool) (string, error) {
	const machines, jobs, fill = 11, 12, "00000000000000e0"
	if err := w.addMachines(machines, kindA); err != nil {
		return "", err
	}
	if err := w.open(ctx, smallManifest(false)); err != nil {
		return "", err
	}
	w.setWork(fill, lastsLong)
	if err := w.submit(ctx, fill, step(machines-1, 32000)); err != nil {
		return "", err
	}
	if !await(ctx, 10*time.Second, func() bool { started, _ := w.runsOf(fill, "done"); return started == machines-1 }) {
		return "", errNoRun
	}
	time.Sleep(settleTime)
	if trouble {
		for _, m := range w.machines {
			if _, _, runs := m.worker.state(); runs == 0 {
				m.worker.setRefuses(true)
				time.AfterFunc(greyTime, func() { m.worker.setRefuses(false) })
			}
		}
	}
	for n := range jobs {
		if err := w.submit(ctx, fmt.Sprintf("00000000000001%02x", n), step(1, 1000)); err != nil {
			return "", err
		}
	}
	last := time.Now()
	time.Sleep(time.Until(last.Add(visibleTime + 200*time.Millisecond)))
	return w.pendingTooLow(ctx, jobs), nil
}

// pendingTooLow compares the counts that the entries give with the jobs that have
// waited for longer than the rule's bound and of which no subtask has begun.
func (w *world) pendingTooLow(ctx context.Context, jobs int) string {
	for _, e := range w.entries {
		pending, ok := w.pendingAt(ctx, e)
		waiting := 0
		for n := range jobs {
			if started, _ := w.runsOf(fmt.Sprintf("00000000000001%02x", n), ""); started == 0 {
				waiting++
			}
		}
		w.rec.note("%s gives %d pending; %d jobs accepted over %v before have not begun", e.name, pending, waiting, visibleTime)
		if ok && 2*pending < waiting {
			return fmt.Sprintf("%s gives %d as pending, and %d jobs accepted over %v before have not begun", e.name, pending, waiting, visibleTime)
		}
	}
	return ""
}

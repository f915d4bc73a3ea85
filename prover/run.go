package prover

import (
	"math/rand/v2"
	"time"
)

const (
	warmUp   = 20 * time.Second // before the first step
	coolDown = 60 * time.Second // time of load after the last fault has ended
)

// Run runs a plan to its end and returns the world, which holds the broken
// invariants and the event counts. It must be called in a testing/synctest
// bubble.
func Run(p Plan, opts Options) *World {
	w := NewWorld(opts)
	for n := range p.Entries {
		w.StartEntry(n, true)
	}
	time.Sleep(3 * time.Second)
	w.applyRules(0)
	time.Sleep(warmUp)
	stopLoad := make(chan struct{})
	loadEnded := make(chan struct{})
	go func() {
		defer close(loadEnded)
		w.generateLoad(p, stopLoad)
	}()
	faultTimeLeft := time.Duration(0) // until the fault that lasts longest ends
	for _, step := range p.Steps {
		time.Sleep(step.Delay)
		w.runStep(step, p.Entries)
		faultTimeLeft = max(faultTimeLeft-step.Delay, step.Duration)
	}
	time.Sleep(faultTimeLeft + coolDown)
	close(stopLoad)
	<-loadEnded
	w.background.Wait()
	w.submitLastJobsStopAndCheck(p)
	return w
}

// generateLoad starts callers at random intervals until stop is closed.
func (w *World) generateLoad(p Plan, stop <-chan struct{}) {
	rng := rand.New(rand.NewPCG(p.LoadSeed, 1))
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rng.Int64N(int64(2 * p.RequestInterval)))):
			w.startCaller(rng)
		}
	}
}

// submitLastJobsStopAndCheck submits 20 last jobs, makes a planned stop of every entry, ends
// all processes and runs the final checks.
func (w *World) submitLastJobsStopAndCheck(p Plan) {
	time.Sleep(20 * time.Second)
	rng := rand.New(rand.NewPCG(p.LoadSeed, 2))
	for range 20 {
		j := randomJob(rng)
		j.ResubmitAfterSuccess = false
		w.background.Go(func() { w.submitJobWithRetries(w.ctx, j, rand.New(rand.NewPCG(1, 1))) })
	}
	w.background.Wait()
	for n := range p.Entries {
		w.runInBackgroundAfter(time.Duration(n)*time.Second, func() { w.stopEntry(n, 0) })
	}
	w.background.Wait()
	w.Close()
	w.audit.reportStoreChanges()
	w.audit.CheckAllAnswered()
}

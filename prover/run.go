package prover

import (
	"math/rand/v2"
	"time"
)

const (
	warmUp   = 20 * time.Second // before the first step
	coolDown = 60 * time.Second // of load after the last fault has ended
)

// Run runs a plan and returns the world after its end, for its breaches and
// counts. It must be called in a testing/synctest bubble.
func Run(p Plan, opts Options) *World {
	w := NewWorld(opts)
	for n := range p.Entries {
		w.Launch(n, true)
	}
	time.Sleep(3 * time.Second)
	w.apply(0)
	time.Sleep(warmUp)
	load := make(chan struct{})
	loaded := make(chan struct{})
	go func() {
		defer close(loaded)
		w.load(p, load)
	}()
	longest := time.Duration(0)
	for _, step := range p.Steps {
		time.Sleep(step.After)
		w.do(step, p.Entries)
		longest = max(longest-step.After, step.For)
	}
	time.Sleep(longest + coolDown)
	close(load)
	<-loaded
	w.callers.Wait()
	w.finish(p)
	return w
}

// load has callers come until stopped.
func (w *World) load(p Plan, stop <-chan struct{}) {
	rng := rand.New(rand.NewPCG(p.Load, 1))
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rng.Int64N(int64(2 * p.Every)))):
			w.call(rng)
		}
	}
}

// finish sees whether the fleet works again, stops every entry as planned and
// closes the books.
func (w *World) finish(p Plan) {
	time.Sleep(20 * time.Second)
	rng := rand.New(rand.NewPCG(p.Load, 2))
	for range 20 {
		j := randomJob(rng)
		j.Persistent = false
		w.callers.Go(func() { w.handIn(w.under, j, rand.New(rand.NewPCG(1, 1))) })
	}
	w.callers.Wait()
	for n := range p.Entries {
		w.later(time.Duration(n)*time.Second, func() { w.stopEntry(n, 0) })
	}
	w.callers.Wait()
	w.Close()
	w.audit.catchUp()
	w.audit.Finish()
}

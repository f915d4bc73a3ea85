package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/coltsfootlever/coltsfootlever/elector"
	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/platform"
)

const (
	contactTime   = 3 * time.Second // contact_ms
	applyTime     = 2 * time.Second // config_apply_ms
	askInterval   = 250 * time.Millisecond
	askTime       = 5 * time.Second
	parallelCalls = 8
	burstCalls    = 32 // at once to each entry, some seconds before
	clockMargin   = 50 * time.Millisecond
	silentShare   = 1.0 // of the open channels to the store of one machine of three
)

// playOldKey lets the open channels to the store go silent, and takes a key away.
func playOldKey(ctx context.Context, w *world, trouble bool) (string, error) {
	const job = "00000000000000a0"
	if err := w.addMachines(9, kindA); err != nil {
		return "", err
	}
	m := smallManifest(false)
	if err := w.open(ctx, m); err != nil {
		return "", err
	}
	if err := w.submit(ctx, job, step(1, 1000)); err != nil {
		return "", err
	}
	if !await(ctx, 10*time.Second, func() bool { return w.jobState(ctx, job) == string(modeler.Completed) }) {
		return "", errors.New("the job is not completed")
	}
	w.askAtOnce(ctx, job)
	time.Sleep(settleTime)
	m.Version++ // a first change, so that each entry has just asked for the next one
	if err := w.writeManifest(m); err != nil {
		return "", err
	}
	time.Sleep(askInterval / 2)
	silencedAt := time.Now()
	if trouble {
		i := w.follower(ctx)
		silent, open := w.proxies[i].silence(silentShare)
		w.rec.note("%d of %d connections of %s to the store are silent from now on, new ones work", silent, open, w.entries[i].name)
	}
	m.Version, m.Customers[0].Keys = m.Version+3, []string{"key-after-that"}
	if err := w.writeManifest(m); err != nil {
		return "", err
	}
	acked := time.Now()
	inForce := acked.Add(applyTime)
	if inTouch := silencedAt.Add(contactTime); trouble && inTouch.After(inForce) {
		inForce = inTouch
	}
	time.Sleep(time.Until(inForce.Add(clockMargin)))
	accepted := w.useOldKey(ctx, acked)
	for _, id := range accepted {
		await(ctx, 5*time.Second, func() bool { started, _ := w.runsOf(id, ""); return started > 0 })
		if started, _ := w.runsOf(id, ""); started > 0 {
			return fmt.Sprintf("%d jobs handed in with a withdrawn key are accepted, first %s, which has run", len(accepted), id), nil
		}
	}
	return "", nil
}

// follower returns the number of an entry that does not lead: it has fewer calls to the
// store under way.
func (w *world) follower(ctx context.Context) int {
	leader, err := w.store.ClientFor("operator").Get(ctx, elector.Key)
	if err != nil {
		return 0
	}
	name, _, _ := strings.Cut(string(leader.Value), "/")
	return slices.IndexFunc(w.entries, func(e *entry) bool { return e.name != name })
}

// askAtOnce sends several calls at once to each entry, which opens connections to the
// store.
func (w *world) askAtOnce(ctx context.Context, job string) {
	var wg sync.WaitGroup
	for _, e := range w.entries {
		for n := range burstCalls {
			wg.Go(func() { w.call(ctx, e, http.MethodGet, routePrefix, fmt.Sprintf("%s%02x", job[:14], n), nil) })
		}
	}
	wg.Wait()
}

// useOldKey hands jobs in with the key that is no longer in force, several at once at
// each entry. It returns those that were accepted.
func (w *world) useOldKey(ctx context.Context, acked time.Time) []string {
	var mu sync.Mutex
	var accepted []string
	var wg sync.WaitGroup
	for round, end := 0, time.Now().Add(askTime); time.Now().Before(end); round++ {
		for i, e := range w.entries {
			for n := range parallelCalls {
				job := fmt.Sprintf("0000000000%04x%x%x", round, i, n)
				wg.Go(func() {
					sentAt := time.Now()
					if !w.handIn(ctx, e, job) {
						return
					}
					w.rec.note("job %s was sent to %s with the withdrawn key %v after the ack of the manifest without it, and is accepted", job, e.name, sentAt.Sub(acked).Round(time.Millisecond))
					mu.Lock()
					defer mu.Unlock()
					accepted = append(accepted, job)
				})
			}
		}
		time.Sleep(askInterval)
	}
	wg.Wait()
	return accepted
}

// handIn hands a job in once and reports whether it is accepted.
func (w *world) handIn(ctx context.Context, e *entry, job string) bool {
	raw, err := platform.EncodeJob(modeler.Job{Spec: "work of " + job, Steps: []modeler.Step{step(1, 1000)}})
	if err != nil {
		return false
	}
	status, _ := w.call(ctx, e, http.MethodPost, routePrefix, job, raw)
	return status/100 == 2
}

package demonstrator

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/authenticator"
	"github.com/coltsfootlever/coltsfootlever/caller"
	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/distributor"
)

const (
	setupTimeout        = 15 * time.Second // for each step of the setup
	sampleInterval      = 100 * time.Millisecond
	storeOutageDuration = 5 * time.Second
	pollInterval        = 10 * time.Millisecond
)

type (
	// Options configures a demonstration.
	Options struct {
		Duration    time.Duration // how long callers send requests
		Seed        uint64        // seed of the random numbers that determine the requests
		KillEntry   bool          // kill one entry while callers send requests
		StoreOutage bool          // make the key-value service unavailable for storeOutageDuration
		Log         *slog.Logger  // for the log lines of the entries
		Progress    io.Writer     // for a line of text about each step
	}

	// demo is the state of one demonstration.
	demo struct {
		opts     Options
		keys     map[string]string // secret keys by team; the key "extra" is withdrawn during the load
		queues   []queueSpec
		tally    *tally
		platform *emulatedPlatform
		entries  []*entry
		load     *loadGenerator
		result   Result
	}
)

// Run runs a demonstration and returns the measured result.
func Run(ctx context.Context, opts Options) (Result, error) {
	d := &demo{opts: opts, keys: make(map[string]string)}
	defer d.close()
	for _, step := range []struct {
		name string
		do   func(context.Context) error
	}{
		{"start the platform's stand-ins and the entries", d.start},
		{"apply the rules file", d.applyRules},
		{"wait until workers and grants are spread", d.waitUntilReady},
		{"let callers in", d.runLoad},
	} {
		d.printProgress("%s", step.name)
		if err := step.do(ctx); err != nil {
			return Result{}, errors.Annotate(err, step.name)
		}
	}
	return d.result, nil
}

// printProgress writes one line to Options.Progress.
func (d *demo) printProgress(format string, args ...any) {
	_, _ = fmt.Fprintf(d.opts.Progress, format+"\n", args...)
}

// start starts the emulated platform and the entries.
func (d *demo) start(context.Context) error {
	if err := d.generateKeys(); err != nil {
		return errors.Trace(err)
	}
	d.queues = queueSpecs(d.keys)
	slots := make(map[string]int, len(pools))
	for _, p := range pools {
		slots[p.name] = p.workers * slotsPerWorker
	}
	d.tally = newTally(teamSpecs, slots)
	var err error
	if d.platform, err = newEmulatedPlatform(d.tally); err != nil {
		return errors.Trace(err)
	}
	for n := range entryCount {
		e, err := d.platform.startEntry(n, d.opts.Log)
		if err != nil {
			return errors.Annotatef(err, "entry %d", n)
		}
		d.entries = append(d.entries, e)
	}
	return nil
}

// generateKeys generates a secret key for each team, and the key "extra" of
// team leads, which is withdrawn during the load.
func (d *demo) generateKeys() error {
	for _, t := range teamSpecs {
		secret, err := authenticator.NewSecret()
		if err != nil {
			return errors.Trace(err)
		}
		d.keys[t.name] = secret
	}
	secret, err := authenticator.NewSecret()
	d.keys["extra"] = secret
	return errors.Trace(err)
}

// applyRules waits until the first entry knows all entries, then applies the
// rules through it. It tries again while the first entry answers that it is not
// ready.
func (d *demo) applyRules(ctx context.Context) error {
	if err := d.waitUntil(ctx, func() bool { return len(d.entries[0].Members()) == entryCount }); err != nil {
		return errors.Annotate(err, "entries did not register")
	}
	var started time.Time
	var applied distributor.Applied
	var applyErr error
	text := []byte(rulesText(d.keys, d.queues))
	err := d.waitUntil(ctx, func() bool {
		started = time.Now()
		applied, applyErr = d.entries[0].ApplyRules(ctx, 0, text, "demo")
		return applyErr == nil || classifier.As(applyErr).Code != classifier.Unready
	})
	if applyErr != nil {
		return errors.Trace(applyErr)
	}
	if err != nil {
		return errors.Trace(err)
	}
	if len(applied.Missing) > 0 {
		return errors.Errorf("entries %v did not confirm the rules", applied.Missing)
	}
	d.result.ConfigInForce = time.Since(started).Milliseconds()
	return nil
}

// waitUntilReady waits until every worker is owned by an entry and the entries
// together may use as many slots for each team as the team's limit allows.
func (d *demo) waitUntilReady(ctx context.Context) error {
	totalSlots := 0
	for _, p := range pools {
		totalSlots += p.workers * slotsPerWorker
	}
	err := d.waitUntil(ctx, func() bool {
		ownedSlots := 0
		for _, e := range d.entries {
			ownedSlots += e.OwnedSlots()
		}
		return ownedSlots >= totalSlots && d.allSlotsGranted()
	})
	return errors.Annotate(err, "workers or grants were not spread")
}

// allSlotsGranted reports whether the entries together have grants for as many
// slots of each team as its limit allows.
func (d *demo) allSlotsGranted() bool {
	for _, t := range teamSpecs {
		granted := 0
		for _, e := range d.entries {
			granted += e.GrantedSlots(t.name)
		}
		if granted < t.limit {
			return false
		}
	}
	return true
}

// waitUntil calls done every pollInterval until it returns true, and returns an
// error after setupTimeout or when ctx ends.
func (d *demo) waitUntil(ctx context.Context, done func() bool) error {
	ctx, stop := context.WithTimeout(ctx, setupTimeout)
	defer stop()
	for !done() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// runLoad sends the callers' requests, injects the faults that the options ask
// for and collects the result. It stops the entries and the emulated platform
// at the end.
func (d *demo) runLoad(ctx context.Context) error {
	b := &loadBalancer{}
	for _, e := range d.entries {
		b.urls = append(b.urls, e.baseURL)
	}
	transport := &http.Transport{MaxIdleConnsPerHost: 1024}
	defer transport.CloseIdleConnections()
	d.load = &loadGenerator{balancer: b, tally: d.tally, http: &http.Client{Transport: transport}, queues: d.queues}
	ctx, stop := context.WithTimeout(ctx, d.opts.Duration)
	defer stop()
	samplingDone := make(chan struct{})
	go func() {
		defer close(samplingDone)
		d.sampleLoop(ctx)
	}()
	faultsDone := make(chan error, 1)
	go func() { faultsDone <- d.injectFaults(ctx) }()
	d.load.run(ctx, d.opts.Seed)
	<-samplingDone
	if err := <-faultsDone; err != nil {
		return errors.Trace(err)
	}
	d.close()
	d.completeResult()
	return nil
}

// completeResult replaces the result by the counts of the tally, together with
// the values that the demonstration has measured itself.
func (d *demo) completeResult() {
	result := d.tally.result()
	result.Seed = d.opts.Seed
	result.ConfigInForce = d.result.ConfigInForce
	result.KeyWithdrawn = d.result.KeyWithdrawn
	result.EntriesKilled = d.result.EntriesKilled
	result.StoreOutageTime = d.result.StoreOutageTime
	d.result = result
}

// sampleLoop lets the tally take a sample every sampleInterval until ctx ends.
func (d *demo) sampleLoop(ctx context.Context) {
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			d.tally.takeSample()
		}
	}
}

// injectFaults withdraws the key "extra" after about an eighth of the load's
// duration, kills an entry after a quarter and starts a store outage after half
// of it. The last two happen only when the options ask for them.
func (d *demo) injectFaults(ctx context.Context) error {
	quarter := d.opts.Duration / 4
	sleep(ctx, quarter/2)
	if err := d.withdrawKey(ctx); err != nil {
		return errors.Annotate(err, "withdrawing a key")
	}
	sleep(ctx, quarter/2)
	if d.opts.KillEntry {
		d.killEntry()
	}
	sleep(ctx, quarter)
	if d.opts.StoreOutage {
		d.injectStoreOutage(ctx)
	}
	return nil
}

// withdrawKey withdraws the key "extra" and measures how long it takes until
// every entry rejects requests with that key.
func (d *demo) withdrawKey(ctx context.Context) error {
	started := time.Now()
	done := make(chan error, 1)
	go func() {
		_, err := d.entries[0].WithdrawKey(ctx, "demo", "k-extra")
		done <- err
	}()
	for _, e := range d.entries {
		for d.isKeyAccepted(ctx, e) {
			sleep(ctx, pollInterval)
		}
	}
	d.result.KeyWithdrawn = time.Since(started).Milliseconds()
	d.printProgress("key withdrawn after %d ms", d.result.KeyWithdrawn)
	return errors.Trace(<-done)
}

// isKeyAccepted reports whether the entry accepts the key "extra". It submits a
// job with an invalid class, so that no job runs: a valid key is answered with
// BadRequest, and a withdrawn key with another code.
func (d *demo) isKeyAccepted(ctx context.Context, e *entry) bool {
	if ctx.Err() != nil {
		return false
	}
	request := caller.Request{Queue: d.queues[0].name, Key: d.keys["extra"], Idempotent: true, Class: "none"}
	_, err := caller.New(e.baseURL, d.load.http).Submit(ctx, request)
	return classifier.As(err).Code == classifier.BadRequest
}

// killEntry kills the last entry and removes it from the load balancer and the
// instance list, as the platform does with a lost instance.
func (d *demo) killEntry() {
	killed := d.entries[len(d.entries)-1]
	d.load.balancer.remove(killed.baseURL)
	killed.kill()
	d.platform.instances.Remove(killed.instance)
	d.result.EntriesKilled++
	d.printProgress("killed %s", killed.instance)
}

// injectStoreOutage makes the key-value service unavailable for
// storeOutageDuration.
func (d *demo) injectStoreOutage(ctx context.Context) {
	d.platform.store.SetDown(true)
	d.printProgress("key-value service down")
	sleep(ctx, storeOutageDuration)
	d.platform.store.SetDown(false)
	d.result.StoreOutageTime = storeOutageDuration.Milliseconds()
	d.printProgress("key-value service back")
}

// sleep waits for the duration d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// close stops the entries and the emulated platform. It may be called twice.
func (d *demo) close() {
	for _, e := range d.entries {
		e.kill()
	}
	for _, e := range d.entries {
		<-e.done
	}
	d.entries = nil
	if d.platform != nil {
		d.platform.close()
		d.platform = nil
	}
}

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
	readyWait   = 15 * time.Second
	sampleEvery = 100 * time.Millisecond
	outageTime  = 5 * time.Second
	knockEvery  = 10 * time.Millisecond
)

type (
	// Options are the choices of a demonstration.
	Options struct {
		Duration    time.Duration // of the load
		Seed        uint64
		KillEntry   bool // lose an entry in the middle
		StoreOutage bool // lose the key-value service for a while
		Log         *slog.Logger
		Progress    io.Writer
	}

	// demo is one demonstration under way.
	demo struct {
		opts     Options
		keys     map[string]string
		queues   []queueSpec
		tally    *tally
		platform *platform
		entries  []*entry
		load     *load
		result   Result
	}
)

// Run runs a demonstration and returns what it measured.
func Run(ctx context.Context, opts Options) (Result, error) {
	d := &demo{opts: opts, keys: make(map[string]string)}
	defer d.close()
	for _, step := range []struct {
		name string
		do   func(context.Context) error
	}{
		{"start the platform's stand-ins and the entries", d.start},
		{"apply the rules file", d.applyRules},
		{"wait until workers and grants are spread", d.ready},
		{"let callers in", d.drive},
	} {
		d.say("%s", step.name)
		if err := step.do(ctx); err != nil {
			return Result{}, errors.Annotate(err, step.name)
		}
	}
	return d.result, nil
}

func (d *demo) say(format string, args ...any) {
	_, _ = fmt.Fprintf(d.opts.Progress, format+"\n", args...)
}

func (d *demo) start(context.Context) error {
	if err := d.makeKeys(); err != nil {
		return errors.Trace(err)
	}
	d.queues = queueSpecs(d.keys)
	slots := make(map[string]int, len(pools))
	for _, p := range pools {
		slots[p.name] = p.workers * slotsPerWorker
	}
	d.tally = newTally(teamSpecs, slots)
	var err error
	if d.platform, err = newPlatform(d.tally); err != nil {
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

func (d *demo) makeKeys() error {
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

// applyRules applies the rules file through the first entry as soon as all
// entries are registered and it has reached them.
func (d *demo) applyRules(ctx context.Context) error {
	if err := d.until(ctx, func() bool { return len(d.entries[0].Members()) == entryCount }); err != nil {
		return errors.Annotate(err, "entries did not register")
	}
	var started time.Time
	var applied distributor.Applied
	var refused error
	text := []byte(rulesText(d.keys, d.queues))
	err := d.until(ctx, func() bool {
		started = time.Now()
		applied, refused = d.entries[0].ApplyRules(ctx, 0, text, "demo")
		return refused == nil || classifier.As(refused).Code != classifier.Unready
	})
	if refused != nil {
		return errors.Trace(refused)
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

// ready waits until every worker has an owner and every team can start work.
func (d *demo) ready(ctx context.Context) error {
	total := 0
	for _, p := range pools {
		total += p.workers * slotsPerWorker
	}
	err := d.until(ctx, func() bool {
		owned := 0
		for _, e := range d.entries {
			owned += e.OwnedSlots()
		}
		return owned >= total && d.granted()
	})
	return errors.Annotate(err, "workers or grants were not spread")
}

func (d *demo) granted() bool {
	for _, t := range teamSpecs {
		held := 0
		for _, e := range d.entries {
			held += e.GrantedSlots(t.name)
		}
		if held < t.limit {
			return false
		}
	}
	return true
}

func (d *demo) until(ctx context.Context, done func() bool) error {
	ctx, stop := context.WithTimeout(ctx, readyWait)
	defer stop()
	for !done() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(knockEvery):
		}
	}
	return nil
}

// drive runs the load with the faults asked for and counts.
func (d *demo) drive(ctx context.Context) error {
	b := &balancer{}
	for _, e := range d.entries {
		b.entries = append(b.entries, e.base)
	}
	transport := &http.Transport{MaxIdleConnsPerHost: 1024}
	defer transport.CloseIdleConnections()
	d.load = &load{balancer: b, tally: d.tally, http: &http.Client{Transport: transport}, queues: d.queues}
	ctx, stop := context.WithTimeout(ctx, d.opts.Duration)
	defer stop()
	sampled := make(chan struct{})
	go func() {
		defer close(sampled)
		d.sample(ctx)
	}()
	faulted := make(chan error, 1)
	go func() { faulted <- d.faults(ctx) }()
	d.load.run(ctx, d.opts.Seed)
	<-sampled
	if err := <-faulted; err != nil {
		return errors.Trace(err)
	}
	d.close()
	d.finish()
	return nil
}

func (d *demo) finish() {
	measured := d.tally.result()
	measured.Seed = d.opts.Seed
	measured.ConfigInForce = d.result.ConfigInForce
	measured.KeyWithdrawn = d.result.KeyWithdrawn
	measured.EntriesKilled = d.result.EntriesKilled
	measured.StoreOutageTime = d.result.StoreOutageTime
	d.result = measured
}

func (d *demo) sample(ctx context.Context) {
	tick := time.NewTicker(sampleEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			d.tally.sample()
		}
	}
}

// faults withdraws a key, then does to the fleet what the options ask for.
func (d *demo) faults(ctx context.Context) error {
	quarter := d.opts.Duration / 4
	wait(ctx, quarter/2)
	if err := d.withdrawKey(ctx); err != nil {
		return errors.Annotate(err, "withdrawing a key")
	}
	wait(ctx, quarter/2)
	if d.opts.KillEntry {
		d.killEntry()
	}
	wait(ctx, quarter)
	if d.opts.StoreOutage {
		d.outage(ctx)
	}
	return nil
}

// withdrawKey withdraws the extra key and knocks with it until every entry
// refuses it.
func (d *demo) withdrawKey(ctx context.Context) error {
	started := time.Now()
	done := make(chan error, 1)
	go func() {
		_, err := d.entries[0].WithdrawKey(ctx, "demo", "k-extra")
		done <- err
	}()
	for _, e := range d.entries {
		for d.keyWorks(ctx, e) {
			wait(ctx, knockEvery)
		}
	}
	d.result.KeyWithdrawn = time.Since(started).Milliseconds()
	d.say("key withdrawn after %d ms", d.result.KeyWithdrawn)
	return errors.Trace(<-done)
}

// keyWorks asks the entry for a job that does not exist: a key in force gets as
// far as the job's absence.
func (d *demo) keyWorks(ctx context.Context, e *entry) bool {
	if ctx.Err() != nil {
		return false
	}
	request := caller.Request{Queue: d.queues[0].name, Key: d.keys["extra"], Idempotent: true, Class: "none"}
	_, err := caller.New(e.base, d.load.http).Submit(ctx, request)
	return classifier.As(err).Code == classifier.BadRequest
}

func (d *demo) killEntry() {
	victim := d.entries[len(d.entries)-1]
	d.load.balancer.remove(victim.base)
	victim.kill()
	d.platform.instances.Remove(victim.instance)
	d.result.EntriesKilled++
	d.say("killed %s", victim.instance)
}

func (d *demo) outage(ctx context.Context) {
	d.platform.store.SetDown(true)
	d.say("key-value service down")
	wait(ctx, outageTime)
	d.platform.store.SetDown(false)
	d.result.StoreOutageTime = outageTime.Milliseconds()
	d.say("key-value service back")
}

func wait(ctx context.Context, t time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(t):
	}
}

// close stops entries and stand-ins.
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

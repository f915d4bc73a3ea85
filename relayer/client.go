package relayer

import (
	"context"
	"log/slog"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/elector"
	"github.com/coltsfootlever/coltsfootlever/meter"
	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/supervisor"
)

const (
	assignInterval   = 500 * time.Millisecond // between two looks at the relays and workers
	listInterval     = 5 * time.Second        // between two reads of the registrations
	listTimeout      = 500 * time.Millisecond // for a read; a slow store answers in less
	minAvoidance     = 2 * time.Second        // a relay that has failed is not used for this long; doubles with each further failure
	maxAvoidance     = time.Minute            // upper limit of that time
	stableTime       = time.Minute            // after so long in use the next failure counts as the first
	directPause      = 10 * time.Second       // a worker that its relay could not reach is called directly for this long
	maxDirectWorkers = 4096                   // workers remembered for that
)

const errUnused = errors.ConstError("relay has no workers any more")

type (
	// Directory lists the registered workers.
	Directory interface {
		Workers(ctx context.Context) ([]modeler.Worker, error)
	}

	// Throttle measures calls, see throttler.Throttler.
	Throttle interface {
		TimeLimit() time.Duration
		RecordResponse(now time.Time, took time.Duration)
		RecordLate(now time.Time)
	}

	// Client sends the calls of a leader to workers, directly or through relays,
	// for one term. Its methods may be called concurrently.
	Client struct {
		direct     Workers
		token      int64
		throttle   Throttle
		relays     func(ctx context.Context) ([]Registration, error)
		name       string // of this entry node, which is no relay for itself
		dial       Dialer
		now        func() time.Duration
		usesRelays func(workers int, inUse bool) bool
		log        *slog.Logger

		maxListAge time.Duration // see WithMaxListAge; 0 for no limit
		listCounts func() bool
		listAsOf   atomic.Int64 // when the newest list of workers that counts was requested, on the clock of the client

		routes atomic.Pointer[map[string]*path] // by worker ID

		mu            sync.Mutex
		workers       []AssignedWorker         // from the last list
		directWorkers map[string]time.Duration // workers that are called directly until then
		suspects      map[string]*path         // paths by which a worker was not reached; a direct poll shows whether the relay is at fault
		suspectCount  atomic.Int64             // length of suspects

		// The rest belongs to Run.
		registrations map[string]Registration
		nextList      time.Duration
		assignment    map[string]string
		paths         map[string]*path // by the name of the relay
		avoided       map[string]avoidance
		running       sync.WaitGroup
	}

	// avoidance is the time during which a relay that has failed is not used.
	avoidance struct {
		until time.Duration
		pause time.Duration
	}

	// ClientOption configures a Client.
	ClientOption func(*Client)
)

// WithDialer sets how streams to relays are opened.
func WithDialer(dial Dialer) ClientOption {
	return func(c *Client) { c.dial = dial }
}

// WithClock sets the clock that measures the age of stamps. It must keep counting
// while the machine is suspended.
func WithClock(now func() time.Duration) ClientOption {
	return func(c *Client) { c.now = now }
}

// WithUse sets the function that decides from the number of workers whether relays
// are used.
func WithUse(usesRelays func(workers int, inUse bool) bool) ClientOption {
	return func(c *Client) { c.usesRelays = usesRelays }
}

// WithLog sets the logger.
func WithLog(log *slog.Logger) ClientOption {
	return func(c *Client) { c.log = log }
}

// WithMaxListAge sets the maximum age of the list of workers with which a start
// may reach its worker, and a function that reports whether the leader uses the list that it
// has just received. A start that a relay might still send after that age is sent
// directly.
func WithMaxListAge(maxAge time.Duration, counts func() bool) ClientOption {
	return func(c *Client) { c.maxListAge, c.listCounts = maxAge, counts }
}

// NewClient returns the client of the leader with the fencing token. name is the name of its
// entry node. It sends calls through direct, and through the relays that the
// function relays lists once Run has assigned workers to them.
func NewClient(direct Workers, token int64, name string, throttle Throttle, relays func(ctx context.Context) ([]Registration, error), opts ...ClientOption) *Client {
	c := &Client{
		direct: direct, token: token, throttle: throttle, relays: relays, name: name,
		dial: Dial, now: elector.BootClock, usesRelays: UsesRelays, log: slog.New(slog.DiscardHandler),
		directWorkers: make(map[string]time.Duration), suspects: make(map[string]*path),
		assignment: make(map[string]string), paths: make(map[string]*path), avoided: make(map[string]avoidance),
	}
	for _, opt := range opts {
		opt(c)
	}
	c.routes.Store(&map[string]*path{})
	return c
}

// Start implements orchestrator.Workers. A call that could not be given to a relay
// is sent directly, and so is one that must not be sent any more after a time that a
// relay could exceed: the relay doesn't know the deadline of ctx.
func (c *Client) Start(ctx context.Context, w modeler.Worker, o modeler.StartOrder) (int64, error) {
	if p := c.pathTo(w.ID, o.FencingToken); p != nil && c.listIsNew() && hasTimeForRelay(ctx) {
		res, sent, err := c.do(ctx, p, &call{
			kind: callStart, worker: w.ID, address: w.Address, task: o.Task, run: o.Run,
			spec: o.Spec, checkpoint: o.Checkpoint, ticket: o.Ticket, leaseDeadline: o.DeadlineMs,
		})
		if sent {
			return res.clock, err
		}
	}
	meter.CountWorkerCall(meter.DirectPath)
	return c.direct.Start(ctx, w, o)
}

// Stop implements orchestrator.Workers.
func (c *Client) Stop(ctx context.Context, w modeler.Worker, task modeler.TaskID, run int, token int64) error {
	if p := c.pathTo(w.ID, token); p != nil {
		_, sent, err := c.do(ctx, p, &call{kind: callStop, worker: w.ID, address: w.Address, task: task, run: run})
		if sent {
			return err
		}
	}
	meter.CountWorkerCall(meter.DirectPath)
	return c.direct.Stop(ctx, w, task, run, token)
}

// SetPace implements orchestrator.Workers.
func (c *Client) SetPace(ctx context.Context, w modeler.Worker, task modeler.TaskID, run, percent int, token int64) error {
	if p := c.pathTo(w.ID, token); p != nil {
		_, sent, err := c.do(ctx, p, &call{kind: callPace, worker: w.ID, address: w.Address, task: task, run: run, percent: percent})
		if sent {
			return err
		}
	}
	meter.CountWorkerCall(meter.DirectPath)
	return c.direct.SetPace(ctx, w, task, run, percent, token)
}

// RenewAndPoll implements orchestrator.Workers. A poll whose relay fails is
// repeated directly, so that a lost relay doesn't make its workers look
// unresponsive. The repetition neither extends leases nor acknowledges ended runs,
// as after any failed poll: the worker may have restarted since.
func (c *Client) RenewAndPoll(ctx context.Context, w modeler.Worker, leaseDeadline, token, acknowledgedEnd int64, maxWait time.Duration) (modeler.Report, error) {
	if p := c.pathTo(w.ID, token); p != nil {
		res, sent, err := c.do(ctx, p, &call{
			kind: callPoll, worker: w.ID, address: w.Address, leaseDeadline: leaseDeadline, acknowledged: acknowledgedEnd, process: w.StartTimeMs, wait: maxWait,
		})
		switch {
		case !sent:
		case errors.Is(err, errStreamLost), errors.Is(err, errTimedOut), errors.Is(err, ErrNotSent):
			leaseDeadline, acknowledgedEnd, maxWait = 0, 0, 0
		default:
			return res.report, err
		}
	}
	meter.CountWorkerCall(meter.DirectPath)
	report, err := c.direct.RenewAndPoll(ctx, w, leaseDeadline, token, acknowledgedEnd, maxWait)
	if c.suspectCount.Load() > 0 {
		c.checkSuspect(w.ID, err == nil)
	}
	return report, err
}

// checkSuspect counts a worker against its relay if it was reached directly and not by
// the relay.
func (c *Client) checkSuspect(worker string, reached bool) {
	c.mu.Lock()
	p := c.suspects[worker]
	delete(c.suspects, worker)
	c.suspectCount.Store(int64(len(c.suspects)))
	c.mu.Unlock()
	if p != nil && reached {
		p.penalize()
	}
}

// pathTo returns the path to a worker, or nil if it is called directly.
func (c *Client) pathTo(worker string, token int64) *path {
	p := (*c.routes.Load())[worker]
	if p == nil || token != c.token || !p.usable.Load() {
		return nil
	}
	return p
}

// hasTimeForRelay reports whether a relay that delays a call as long as it may still
// sends it before the deadline of ctx.
func hasTimeForRelay(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return !ok || time.Until(deadline) > maxCallAge
}

// listIsNew reports whether the list of workers is new enough for a start that a
// relay delays as long as it may.
func (c *Client) listIsNew() bool {
	return c.maxListAge == 0 || c.now()+maxCallAge-time.Duration(c.listAsOf.Load()) < c.maxListAge
}

// do sends a call through a relay and records how long it took.
func (c *Client) do(ctx context.Context, p *path, l *call) (result, bool, error) {
	l.limit = c.throttle.TimeLimit()
	sentAt := time.Now()
	res, sent, err := p.do(ctx, l)
	if !sent {
		return res, false, err
	}
	meter.CountWorkerCall(meter.RelayPath)
	now := time.Now()
	switch took := now.Sub(sentAt) - l.wait; {
	case err == nil:
		if took > 0 { // otherwise it isn't known how long the worker let the call wait
			c.throttle.RecordResponse(now, took)
		}
	case errors.Is(err, ErrNoResult), errors.Is(err, ErrNotConnected): // the worker or the relay may be at fault
		if took >= l.limit {
			c.throttle.RecordLate(now)
		}
		c.callDirectly(l.worker, p)
	case errors.Is(err, errTimedOut):
		c.callDirectly(l.worker, nil) // its outcome is resolved on another way
	case errors.Is(err, ErrNotSent):
		c.callDirectly(l.worker, nil) // otherwise a relay that sends no polls would let the leases of the worker expire
		p.penalize()
	}
	return res, true, err
}

// callDirectly makes the client call a worker directly for some time, because the
// fault may lie with its relay. suspect is the path by which it was not reached, or
// nil.
func (c *Client) callDirectly(worker string, suspect *path) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.directWorkers) < maxDirectWorkers {
		c.directWorkers[worker] = c.now() + directPause
	}
	if suspect != nil && len(c.suspects) < maxDirectWorkers {
		c.suspects[worker] = suspect
		c.suspectCount.Store(int64(len(c.suspects)))
	}
	routes := *c.routes.Load()
	if routes[worker] == nil {
		return
	}
	routes = maps.Clone(routes)
	delete(routes, worker)
	c.routes.Store(&routes)
	meter.CountRelayFailover("worker", 1)
}

// Directory returns a directory that also tells the client which workers there
// are.
func (c *Client) Directory(d Directory) Directory {
	return observedDirectory{d, c}
}

type observedDirectory struct {
	Directory
	client *Client
}

// Workers implements Directory.
func (d observedDirectory) Workers(ctx context.Context) ([]modeler.Worker, error) {
	asOf := d.client.now()
	workers, err := d.Directory.Workers(ctx)
	if err == nil {
		d.client.SetWorkers(workers)
		if d.client.listCounts == nil || d.client.listCounts() {
			d.client.listAsOf.Store(int64(asOf))
		}
	}
	return workers, err
}

// SetWorkers sets the workers to which relays are assigned.
func (c *Client) SetWorkers(workers []modeler.Worker) {
	assigned := make([]AssignedWorker, len(workers))
	for i := range workers {
		assigned[i] = AssignedWorker{ID: workers[i].ID, Zone: workers[i].Zone}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.workers = assigned
}

// Run assigns workers to relays until ctx ends. It then closes all streams.
func (c *Client) Run(ctx context.Context) {
	defer func() {
		c.routes.Store(&map[string]*path{})
		meter.SetRelaysInUse(0)
		c.running.Wait()
	}()
	for {
		c.update(ctx)
		if supervisor.Pause(ctx, assignInterval) != nil {
			return
		}
	}
}

// update assigns the workers to the relays that are available now.
func (c *Client) update(ctx context.Context) {
	c.mu.Lock()
	workers := c.workers
	c.mu.Unlock()
	now := c.now()
	if !c.usesRelays(len(workers), len(c.paths) > 0) {
		workers = nil
	} else {
		c.readRegistrations(ctx, now)
	}
	c.removeFailedPaths(now)
	var relays []Relay
	for name, r := range c.registrations {
		if name != c.name && now >= c.avoided[name].until {
			relays = append(relays, r.relay())
		}
	}
	if len(workers) == 0 && len(c.paths) == 0 {
		return
	}
	c.assignment = Assign(c.assignment, workers, relays)
	c.openPaths(ctx)
	c.publishRoutes(now)
}

// readRegistrations reads the registered relays at intervals. If the store does
// not answer, those known stay.
func (c *Client) readRegistrations(ctx context.Context, now time.Duration) {
	if now < c.nextList {
		return
	}
	c.nextList = now + listInterval
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, err := c.relays(ctx)
	if err != nil {
		c.log.Warn("relays cannot be listed, those known are used", "error", err)
		return
	}
	c.registrations = make(map[string]Registration, len(list))
	for _, r := range list {
		c.registrations[r.Name] = r
	}
}

// removeFailedPaths removes the paths that take no calls any more. Their relays
// are avoided for some time, unless they only had no workers left.
func (c *Client) removeFailedPaths(now time.Duration) {
	for name, p := range c.paths {
		reason := p.retirement()
		if changed := c.registrations[name] != p.relay; reason == nil && changed {
			reason = errUnused
			p.retire(reason)
		}
		if reason == nil {
			continue
		}
		delete(c.paths, name)
		if errors.Is(reason, errUnused) {
			continue
		}
		a := c.avoided[name]
		a.pause = min(max(2*a.pause, minAvoidance), maxAvoidance)
		if now-p.since > stableTime {
			a.pause = minAvoidance
		}
		a.until = now + a.pause
		c.avoided[name] = a
		workers := int(p.workers.Load())
		meter.CountRelayFailover(failoverReason(reason), workers)
		c.log.Warn("relay failed, its workers are called directly", "relay", name, "workers", workers, "reason", reason, "pause", a.pause.String())
	}
}

// failoverReason returns the metric label for the reason of a failover.
func failoverReason(reason error) string {
	switch {
	case errors.Is(reason, errTooSlow):
		return "slow"
	case errors.Is(reason, errLeaving):
		return "leaving"
	}
	return "lost"
}

// openPaths opens a path to each relay that has workers and retires the others.
func (c *Client) openPaths(ctx context.Context) {
	counts := make(map[string]int64)
	for name := range maps.Values(c.assignment) {
		counts[name]++
	}
	for name, p := range c.paths {
		p.workers.Store(counts[name])
		if counts[name] == 0 {
			p.retire(errUnused)
			delete(c.paths, name)
			c.log.Info("relay is no longer used", "relay", name)
		}
	}
	for name, n := range counts {
		if c.paths[name] != nil {
			continue
		}
		p := newPath(c.registrations[name], c.now)
		p.workers.Store(n)
		c.paths[name] = p
		c.log.Info("workers assigned to a relay", "relay", name, "zone", p.relay.Zone, "workers", n)
		c.runPath(ctx, p)
	}
}

// runPath runs a path until ctx ends, or until its open calls are done after it
// takes no more.
func (c *Client) runPath(ctx context.Context, p *path) {
	ctx, p.cancel = context.WithCancelCause(ctx)
	c.running.Go(func() {
		defer p.cancel(nil)
		err := p.run(ctx, c.dial, c.token)
		c.log.Info("stream to a relay ended", "relay", p.relay.Name, "cause", err)
	})
	c.running.Go(func() {
		for p.retirement() == nil {
			if supervisor.Pause(ctx, assignInterval) != nil {
				return
			}
		}
		deadline := c.now() + retireTime
		for c.now() < deadline && p.openCallCount() > 0 && supervisor.Pause(ctx, sweepInterval) == nil {
			continue
		}
		p.cancel(p.retirement())
	})
}

// publishRoutes makes calls use the paths.
func (c *Client) publishRoutes(now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.directWorkers, func(_ string, until time.Duration) bool { return now >= until })
	routes := make(map[string]*path, len(c.assignment))
	for worker, name := range c.assignment {
		if _, ok := c.directWorkers[worker]; !ok {
			routes[worker] = c.paths[name]
		}
	}
	c.routes.Store(&routes)
	inUse := 0
	for _, p := range c.paths {
		if p.usable.Load() {
			inUse++
		}
	}
	meter.SetRelaysInUse(inUse)
}

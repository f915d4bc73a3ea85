package relayer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/requester"
)

const (
	resultMargin   = 200 * time.Millisecond // beyond the time that a relay gives the worker; with the shortest time limit of a call longer than maxCallAge, so that a start that has timed out is no longer sent
	sweepInterval  = 50 * time.Millisecond  // between two checks for calls that have timed out
	maxFrameGap    = 3 * time.Second        // without a frame from a relay, which sends one a second at least
	retireTime     = 3 * time.Second        // for open calls of a relay that is no longer used
	latePenalty    = 10                     // of a time-out, a call that was not sent, or a worker that only the relay can't reach; each result takes off one, so a tenth of the calls may time out
	maxLatePenalty = 50                     // a relay with more is too slow
	stampDrift     = 50                     // the relay's clock advances by at least 1 - 1/50 of this one, as workers' clocks do
)

const (
	errStreamLost = errors.ConstError("stream to the relay lost")
	errTimedOut   = errors.ConstError("relay did not report a result in time")
	errTooSlow    = errors.ConstError("too many calls timed out or did not reach their worker")
	errSilent     = errors.ConstError("nothing received from the relay for too long")
	errLeaving    = errors.ConstError("relay is leaving")
)

type (
	// path is the leader's stream to one relay.
	path struct {
		relay Registration
		now   func() time.Duration
		out   *outbox

		usable  atomic.Bool // takes new calls
		workers atomic.Int64
		since   time.Duration // when the relay was chosen
		cancel  context.CancelCauseFunc

		mu      sync.Mutex
		calls   map[uint64]*openCall // nil after the stream has ended
		free    []*openCall          // for reuse
		lastID  uint64
		stamp   time.Duration // newest clock of the relay
		stampAt time.Duration // when it arrived, on the clock of the leader
		penalty int
		reason  error // why the path takes no new calls
	}

	// openCall is a call without a result. Whoever removes it from the path's map
	// sets the result.
	openCall struct {
		done     chan struct{}
		deadline time.Duration
		result   result
		err      error
	}
)

// newPath returns a path that is not connected.
func newPath(relay Registration, now func() time.Duration) *path {
	return &path{
		relay: relay, now: now, since: now(), calls: make(map[uint64]*openCall),
		out: newOutbox(func(buf []byte) []byte { return buf }),
	}
}

// run connects to the relay and serves the path until the stream or ctx ends. All
// open calls then have an unknown outcome.
func (p *path) run(ctx context.Context, dial Dialer, token int64) error {
	defer p.failOpenCalls()
	connecting := time.AfterFunc(connectTimeout, func() { p.cancel(errSilent) })
	defer connecting.Stop()
	stream, err := dial(ctx, p.relay.Address)
	if err != nil {
		return err
	}
	if err := stream.Send(appendHello(nil, token)); err != nil {
		return errors.Annotate(err, "opening the stream")
	}
	var lastFrame atomic.Int64
	go func() {
		for {
			data, err := stream.Receive()
			if err == nil {
				lastFrame.Store(int64(p.now()))
				err = p.handleFrame(data)
				connecting.Stop()
			}
			if err != nil {
				p.cancel(errors.Annotate(errStreamLost, err.Error()))
				return
			}
		}
	}()
	go func() {
		if err := p.out.run(ctx, stream.Send); ctx.Err() == nil {
			p.cancel(errors.Annotate(errStreamLost, err.Error()))
		}
	}()
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-ticker.C:
		}
		now := p.now()
		p.failLateCalls(now)
		if last := lastFrame.Load(); last > 0 && now-time.Duration(last) > maxFrameGap {
			return errSilent
		}
	}
}

// handleFrame takes in a frame from the relay.
func (p *path) handleFrame(data string) error {
	r := &reader{rest: data}
	stamp, leaving := r.header()
	if r.err != nil {
		return r.err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.calls == nil {
		return errStreamLost
	}
	if stamp >= p.stamp {
		p.stamp, p.stampAt = stamp, p.now()
	}
	for r.rest != "" {
		res := r.result()
		if r.err != nil {
			return r.err
		}
		p.penalty = max(0, p.penalty-1)
		if c := p.calls[res.id]; c != nil {
			delete(p.calls, res.id)
			c.result = res
			c.done <- struct{}{}
		}
	}
	switch {
	case leaving:
		p.retireLocked(errLeaving)
	case p.reason == nil:
		p.usable.Store(true)
	}
	return nil
}

// retire makes the path take no new calls.
func (p *path) retire(reason error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retireLocked(reason)
}

func (p *path) retireLocked(reason error) {
	if p.reason == nil {
		p.reason = reason
	}
	p.usable.Store(false)
}

// retirement returns why the path takes no new calls, or nil.
func (p *path) retirement() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reason
}

// failOpenCalls ends all open calls when the stream has ended.
func (p *path) failOpenCalls() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retireLocked(errStreamLost)
	for _, c := range p.calls {
		c.err = errStreamLost
		c.done <- struct{}{}
	}
	p.calls = nil
}

// failLateCalls ends the calls that have timed out, and stops using a relay that
// is too slow.
func (p *path) failLateCalls(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, c := range p.calls {
		if now < c.deadline {
			continue
		}
		delete(p.calls, id)
		c.err = errTimedOut
		c.done <- struct{}{}
		p.penalty += latePenalty
	}
	if p.penalty > maxLatePenalty {
		p.retireLocked(errTooSlow)
	}
}

// penalize counts a call that the relay did not send, or a worker that it could not
// reach though others can.
func (p *path) penalize() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.penalty += latePenalty // failLateCalls acts on it
}

// openCallCount returns the number of calls without a result.
func (p *path) openCallCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.calls)
}

// do sends a call and waits for its result. If it returns false, the call has not
// been sent and must take another way. The stamp of the call is a time that the
// relay's clock had certainly reached when do was called: its newest stamp, advanced
// by the time that has passed since on this machine, less the possible drift.
func (p *path) do(ctx context.Context, c *call) (res result, sent bool, err error) {
	p.mu.Lock()
	if p.calls == nil || !p.usable.Load() {
		p.mu.Unlock()
		return result{}, false, nil
	}
	oc := p.newOpenCall()
	now := p.now()
	elapsed := now - p.stampAt
	c.stamp = p.stamp + elapsed - elapsed/stampDrift
	p.lastID++
	c.id = p.lastID
	oc.deadline = now + c.wait + c.limit + resultMargin
	p.calls[c.id] = oc
	p.mu.Unlock()
	if !p.out.add(func(buf []byte) []byte { return appendCall(buf, c) }) {
		if p.withdraw(c.id, oc) {
			return result{}, false, nil
		}
	}
	select {
	case <-oc.done:
	case <-ctx.Done():
		if p.withdraw(c.id, oc) {
			return result{}, true, &requester.Error{MaybeSent: true, Err: ctx.Err()}
		}
		<-oc.done
	}
	res, err = oc.result, oc.err
	p.mu.Lock()
	p.release(oc)
	p.mu.Unlock()
	if err != nil {
		return result{}, true, &requester.Error{MaybeSent: true, Err: err}
	}
	return res, true, res.failure()
}

// withdraw gives up the result of a call. It returns false if the call has one
// already.
func (p *path) withdraw(id uint64, oc *openCall) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.calls[id] != oc {
		return false
	}
	delete(p.calls, id)
	p.release(oc)
	return true
}

// newOpenCall returns an open call. The caller holds the mutex.
func (p *path) newOpenCall() *openCall {
	last := len(p.free) - 1
	if last < 0 {
		return &openCall{done: make(chan struct{}, 1)}
	}
	oc := p.free[last]
	p.free = p.free[:last]
	return oc
}

// release keeps an open call that has been removed for reuse. The caller holds the
// mutex.
func (p *path) release(oc *openCall) {
	oc.result, oc.err = result{}, nil
	if len(p.free) < maxCallsInFlight {
		p.free = append(p.free, oc)
	}
}

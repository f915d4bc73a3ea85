package inquirer

import (
	"time"
)

// Results of a call.
const (
	Answered   Result = iota // the service has decided, or rejected the call itself
	Refused                  // the service has refused the call at once, or can't be reached
	Unanswered               // there was no response within the call's time limit
)

const (
	maxQueueTime = 100 * time.Millisecond // of a call behind others; bridges the round trip to a service that would else be idle
	maxCalls     = 8                      // under way, whatever they cost

	baseTimeLimit = time.Second     // added to twice the time that the service should take, for the network
	maxTimeLimit  = 4 * time.Second // a new connection is tried after this time at the latest
	minRetryPause = 300 * time.Millisecond
	maxRetryPause = 2400 * time.Millisecond // minRetryPause doubled three times
	maxDoublings  = 3                       // of the time limit and the pause

	slowdownWeight = 0.25 // of a call in the smoothed slowdown
	maxSlowdown    = 100.0
)

type (
	// Result tells how a call ended.
	Result int

	// Inquirer decides when calls to a service may be sent. It doesn't send them. Its
	// methods must not be called concurrently.
	Inquirer struct {
		calls       int
		queued      time.Duration // service time of the calls under way, by what the service states
		slowdown    float64       // how many times as long the service takes, at least 1
		failures    int           // calls since the last answer that got none
		pausedUntil time.Time

		maxQueueTime time.Duration
	}

	// Call is a call under way.
	Call struct {
		TimeLimit time.Duration // without a response after this time the call should be given up

		began         time.Time
		service, wait time.Duration // stated service time of the call, and of those before it
	}

	// Option configures an Inquirer.
	Option func(*Inquirer)
)

// WithMaxQueueTime sets how long a call may wait at the service behind the others that
// are under way. The default is 100 ms.
func WithMaxQueueTime(d time.Duration) Option {
	return func(i *Inquirer) { i.maxQueueTime = d }
}

// New returns an Inquirer that knows of no call.
func New(opts ...Option) *Inquirer {
	i := &Inquirer{slowdown: 1, maxQueueTime: maxQueueTime}
	for _, opt := range opts {
		opt(i)
	}
	return i
}

// Begin reports whether a call may be sent at now that should take the service as long
// as service. If so, the call counts as under way until End.
func (i *Inquirer) Begin(now time.Time, service time.Duration) (Call, bool) {
	if now.Before(i.pausedUntil) || !i.hasRoom(service) {
		return Call{}, false
	}
	expected := i.expected(i.queued + service)
	c := Call{
		TimeLimit: min((2*expected+baseTimeLimit)<<min(i.failures, maxDoublings), max(maxTimeLimit, 2*expected)),
		began:     now, service: service, wait: i.queued,
	}
	i.calls++
	i.queued += service
	return c, true
}

// IsReady reports whether Begin would allow a call that takes no time.
func (i *Inquirer) IsReady(now time.Time) bool {
	return !now.Before(i.pausedUntil) && i.hasRoom(0)
}

// hasRoom reports whether a call doesn't wait too long behind those under way. As long
// as the service answers nothing, a single call tries it.
func (i *Inquirer) hasRoom(service time.Duration) bool {
	if i.calls == 0 {
		return true
	}
	return i.failures == 0 && i.calls < maxCalls && i.expected(i.queued+service) <= i.maxQueueTime
}

// expected returns how long the service probably takes for calls that should take it as
// long as stated.
func (i *Inquirer) expected(stated time.Duration) time.Duration {
	return time.Duration(i.slowdown * float64(stated))
}

// End records the end of a call. After a failure the next call waits, the longer the
// more calls have failed in a row.
func (i *Inquirer) End(now time.Time, c Call, r Result) {
	i.calls--
	i.queued -= c.service
	if r != Answered {
		i.pausedUntil = now.Add(min(minRetryPause<<min(i.failures, maxDoublings), maxRetryPause))
		i.failures++
		return
	}
	i.failures, i.pausedUntil = 0, time.Time{}
	if stated := c.wait + c.service; stated > 0 {
		measured := min(max(1, float64(now.Sub(c.began))/float64(stated)), maxSlowdown)
		i.slowdown += slowdownWeight * (measured - i.slowdown)
	}
}

// Age returns how long ago the call began.
func (c *Call) Age(now time.Time) time.Duration {
	return now.Sub(c.began)
}

// Slowdown returns how many times as long as it states the service takes, at least 1.
func (i *Inquirer) Slowdown() float64 {
	return i.slowdown
}

// RetryAt returns the time before which no call is sent, because the last ones have
// failed. It is zero if the last call was answered.
func (i *Inquirer) RetryAt() time.Time {
	return i.pausedUntil
}

package postponer

import "time"

// The limits are made for callers that are refused during an outage of some
// seconds and give up after a few retries.
const (
	minDelay        = time.Second     // the shortest delay that the Retry-After header can express
	maxDelay        = 4 * time.Second // with a longer delay callers would still wait after the end of most store outages
	delayPerSilence = 0.75            // share of the silence; four retries then outlast an outage of five seconds
)

// RetryDelay returns how long a refused caller should wait before it retries, in
// whole seconds. silence is the time for which the service that the caller needs
// has not answered. jitter, from 0 to 1, spreads the retries of callers that
// were refused together.
//
// The length of an outage is not known in advance. A delay that grows with the
// outage lets a caller with few attempts outlast it, and makes the caller wait
// at most this delay longer than the outage.
func RetryDelay(silence time.Duration, jitter float64) time.Duration {
	delay := min(max(time.Duration(delayPerSilence*float64(silence)), minDelay), maxDelay)
	return (delay + time.Duration(jitter*float64(time.Second))).Truncate(time.Second)
}

// OverloadDelay returns how long a caller should wait before it repeats a call that
// was refused because new jobs wait too long, in whole seconds. wait is how long they
// wait, and jitter, from 0 to 1, spreads the retries.
//
// After half of the wait much of the backlog is done. Since all that time counts
// for the caller, the delay stays short.
func OverloadDelay(wait time.Duration, jitter float64) time.Duration {
	delay := min(max(wait/2, minDelay), maxDelay)
	return (delay + time.Duration(jitter*float64(time.Second))).Truncate(time.Second)
}

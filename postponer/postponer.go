package postponer

import "time"

// The load that the figures answer: callers that repeat a call a few times and
// then give up, all refused within an outage of some seconds.
const (
	minDelay        = time.Second     // the shortest that the header can name
	maxDelay        = 4 * time.Second // a longer one would idle callers after most outages of a store
	delayPerSilence = 0.75            // of the silence; four repetitions then outlast five seconds
)

// RetryDelay is how long a caller that was refused should wait, in whole seconds,
// when the service that it needs has been silent for a time. part, from 0 to 1,
// is the caller's place among those that were refused together, so that they do
// not come back together.
//
// Nothing tells how long an outage lasts. A pause that grows with it lets a
// caller with few attempts outlast it, and costs at most its length more.
func RetryDelay(silence time.Duration, jitter float64) time.Duration {
	delay := min(max(time.Duration(delayPerSilence*float64(silence)), minDelay), maxDelay)
	return (delay + time.Duration(jitter*float64(time.Second))).Truncate(time.Second)
}

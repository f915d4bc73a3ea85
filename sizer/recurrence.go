package sizer

import (
	"math"
	"slices"
	"time"
)

const (
	surgeFactor      = 2.0             // a surge begins when the rate exceeds the mean by this factor, and ends when it is below the mean
	minBuckets       = 10              // before which the mean is too uncertain to tell a surge
	minSurges        = 3               // surges that must have been seen, so that two intervals between them can be compared
	maxSurges        = 8               // surges that are remembered
	maxIntervalError = 0.25            // standard deviation of the intervals relative to their mean, above which they are not taken as regular
	minOnsetError    = time.Second     // the beginning of a surge is only known to a bucket
	historyLength    = 3 * time.Minute // of the mean rate; older work counts less and less
	maxProfile       = 120             // seconds of a surge that are remembered
)

// Recurrence learns when the surges of a pool's demand recur and how they proceed, so
// that instances can be moved before a surge begins. The zero value knows nothing.
//
// A surge is expected after the mean interval between the earlier ones, if they have come
// at regular intervals. A forecast is one standard deviation below the mean of
// earlier surges, since instances for a surge that doesn't come are idle. After a
// surge that didn't come nothing is expected until the next one has come.
type Recurrence struct {
	began   time.Time // beginning of the bucket that is being filled
	current float64   // work in that bucket
	mean    float64   // cores
	buckets float64   // weight of the mean
	surging bool
	surges  []surge
}

// surge is a period of high demand of a pool.
type surge struct {
	onset   time.Time
	profile []float64 // cores in each bucket since the onset
}

// Record adds work that has arrived, in core-seconds.
func (r *Recurrence) Record(at time.Time, work float64) {
	r.advance(at)
	r.current += work
}

// advance closes the buckets that have ended by now.
func (r *Recurrence) advance(now time.Time) {
	if r.began.IsZero() {
		r.began = now
	}
	if now.Sub(r.began) > historyLength { // nothing has arrived for so long that the intervals mean nothing
		*r = Recurrence{began: now}
	}
	for now.Sub(r.began) >= Window {
		r.closeBucket()
	}
}

// closeBucket adds the current bucket to the mean and to the surges.
func (r *Recurrence) closeBucket() {
	rate := r.current / Window.Seconds()
	switch {
	case !r.surging && r.buckets >= minBuckets && rate > surgeFactor*r.mean:
		r.surging = true
		r.surges = append(r.surges, surge{onset: r.began})
		if len(r.surges) > maxSurges {
			r.surges = slices.Delete(r.surges, 0, 1)
		}
	case r.surging && rate < r.mean:
		r.surging = false
	}
	if s := r.lastSurge(); r.surging && len(s.profile) < maxProfile {
		s.profile = append(s.profile, rate)
	}
	r.buckets = min(r.buckets+1, historyLength.Seconds()/Window.Seconds())
	r.mean += (rate - r.mean) / r.buckets
	r.began, r.current = r.began.Add(Window), 0
}

func (r *Recurrence) lastSurge() *surge {
	if len(r.surges) == 0 {
		return &surge{}
	}
	return &r.surges[len(r.surges)-1]
}

// interval returns the mean interval between the onsets of surges and its error. It
// reports false if the surges are too few or not regular.
func (r *Recurrence) interval() (mean, deviation time.Duration, ok bool) {
	if len(r.surges) < minSurges {
		return 0, 0, false
	}
	var intervals []float64
	for i := range len(r.surges) - 1 {
		intervals = append(intervals, r.surges[i+1].onset.Sub(r.surges[i].onset).Seconds())
	}
	m, d := meanAndDeviation(intervals)
	if d > maxIntervalError*m {
		return 0, 0, false
	}
	return seconds(m), max(seconds(d), minOnsetError), true
}

// Expected returns the rate of work that is expected at a time between now and now
// plus the horizon, in cores, or 0 if no surge is expected or one has begun, because
// its own growth then tells more.
func (r *Recurrence) Expected(now time.Time, horizon time.Duration) float64 {
	r.advance(now)
	mean, deviation, ok := r.interval()
	if r.surging || !ok {
		return 0
	}
	onset := r.lastSurge().onset.Add(mean)
	if now.After(onset.Add(2 * deviation)) {
		return 0 // it didn't come
	}
	until := now.Add(horizon).Sub(onset.Add(-deviation))
	if until <= 0 {
		return 0
	}
	return r.profileUntil(until)
}

// profileUntil returns the largest rate that earlier surges had reached by the given
// time after their onset, less one standard deviation.
func (r *Recurrence) profileUntil(since time.Duration) float64 {
	last := int(since / Window)
	expected := 0.0
	for bucket := range last + 1 {
		var rates []float64
		for _, s := range r.surges {
			if bucket < len(s.profile) {
				rates = append(rates, s.profile[bucket])
			}
		}
		if len(rates) < minSurges {
			break
		}
		m, d := meanAndDeviation(rates)
		expected = max(expected, m-d)
	}
	return expected
}

// meanAndDeviation returns the mean and the standard deviation of a sample.
func meanAndDeviation(sample []float64) (mean, deviation float64) {
	for _, v := range sample {
		mean += v / float64(len(sample))
	}
	for _, v := range sample {
		deviation += (v - mean) * (v - mean)
	}
	return mean, math.Sqrt(deviation / float64(max(1, len(sample)-1)))
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

package sizer

import (
	"math"
	"time"
)

// Window is the time over which arriving work is averaged. In shorter windows
// single jobs would dominate the average.
const Window = time.Second

// noiseFactor is the number of standard deviations by which the arriving work
// has to grow to count as a rise.
const noiseFactor = 0.75

// Arrival is the work of a job that arrived for a pool.
type Arrival struct {
	At   time.Time
	Work float64 // core-seconds
}

// ArrivalRate returns the work that arrived per second in the last window, in cores.
func ArrivalRate(arrivals []Arrival, now time.Time) float64 {
	sum, _ := sumBetween(arrivals, now.Add(-Window), now)
	return sum / Window.Seconds()
}

// ForecastRate returns the work per second that is expected to arrive once the
// horizon has passed, in cores. It is needed because the demand of a queue can
// multiply within seconds, while an instance takes as long to change its pool.
//
// It extrapolates the growth from the previous window to the last one, as far
// as the growth exceeds the random variation of that many jobs of such sizes. A
// decrease is not extrapolated, since the pool would have to get the instances
// back that it gave away.
func ForecastRate(arrivals []Arrival, now time.Time, horizon time.Duration) float64 {
	lastSum, lastSquares := sumBetween(arrivals, now.Add(-Window), now)
	previousSum, previousSquares := sumBetween(arrivals, now.Add(-2*Window), now.Add(-Window))
	rise := lastSum - previousSum - noiseFactor*math.Sqrt(lastSquares+previousSquares)
	leadTime := horizon + Window/2 // the mean of the last window is its value at the middle of the window
	return (lastSum + max(0, rise)*leadTime.Seconds()/Window.Seconds()) / Window.Seconds()
}

// RecentArrivals returns the arrivals that are recent enough for a forecast.
func RecentArrivals(arrivals []Arrival, now time.Time) []Arrival {
	n := 0
	for n < len(arrivals) && now.Sub(arrivals[n].At) > 2*Window {
		n++
	}
	return arrivals[n:]
}

// sumBetween returns the sum of the work that arrived after one time and up to
// another, and the sum of its squares, from which the random variation of the
// first sum is estimated.
func sumBetween(arrivals []Arrival, after, upTo time.Time) (sum, squares float64) {
	for _, a := range arrivals {
		if a.At.After(after) && !a.At.After(upTo) {
			sum += a.Work
			squares += a.Work * a.Work
		}
	}
	return sum, squares
}

package sizer

import (
	"math"
	"time"
)

// Window is the time over which arriving work is averaged. Shorter windows
// follow single jobs.
const Window = time.Second

// noiseFactor is the part of a standard deviation that a change has to exceed to
// count as a rise.
const noiseFactor = 0.75

// Arrival is work that has come for a pool.
type Arrival struct {
	At   time.Time
	Work float64 // core-seconds
}

// ArrivalRate is the work that arrived a second over the last window, in cores.
func ArrivalRate(arrivals []Arrival, now time.Time) float64 {
	sum, _ := sumBetween(arrivals, now.Add(-Window), now)
	return sum / Window.Seconds()
}

// ForecastRate is the work that is expected to arrive a second after the horizon, in
// cores. The load that it answers is a queue whose demand multiplies within
// seconds, while an instance takes as long to change its pool.
//
// It extends the change from the window before to the last one, as far as the
// change is more than the spread of that many jobs of such sizes. A fall is not
// extended, since instances that are sent away have to come back.
func ForecastRate(arrivals []Arrival, now time.Time, horizon time.Duration) float64 {
	lastSum, lastSquares := sumBetween(arrivals, now.Add(-Window), now)
	previousSum, previousSquares := sumBetween(arrivals, now.Add(-2*Window), now.Add(-Window))
	rise := lastSum - previousSum - noiseFactor*math.Sqrt(lastSquares+previousSquares)
	leadTime := horizon + Window/2 // the last window's mean is as old as its middle
	return (lastSum + max(0, rise)*leadTime.Seconds()/Window.Seconds()) / Window.Seconds()
}

// RecentArrivals drops arrivals that no forecast looks at any more.
func RecentArrivals(arrivals []Arrival, now time.Time) []Arrival {
	n := 0
	for n < len(arrivals) && now.Sub(arrivals[n].At) > 2*Window {
		n++
	}
	return arrivals[n:]
}

// sumBetween sums up the work that arrived after one time and up to another, and
// its squares, which tell how far the sum may be off by chance.
func sumBetween(arrivals []Arrival, after, upTo time.Time) (sum, squares float64) {
	for _, a := range arrivals {
		if a.At.After(after) && !a.At.After(upTo) {
			sum += a.Work
			squares += a.Work * a.Work
		}
	}
	return sum, squares
}

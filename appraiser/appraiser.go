package appraiser

import (
	"math"
	"slices"
	"time"
)

const (
	remembered     = 20               // runs; each further one replaces a part of the earlier ones
	halfLife       = 20 * time.Second // of what is known of a worker that ends no runs, so that it is tried again
	priorDeviation = 0.5              // of the logarithm of actual to estimated durations
	priorWeight    = 4                // number of runs that outweigh it
	deviations     = 2                // standard errors by which a worker must be slower than others
	minSlowdown    = 1.25             // less makes no difference to placement
	minRuns        = 3                // fewer show nothing
)

// Speed is what the runs on a worker tell about its speed. The zero value knows none.
type Speed struct {
	runs, sum, squares float64 // of the logarithm of actual to estimated durations
	at                 time.Time
}

// Record records a run that has ended on the worker. The estimate errors of the tasks of
// one step are related, so that only one of them should be recorded.
func (s *Speed) Record(actual, estimate time.Duration, now time.Time) {
	if actual <= 0 || estimate <= 0 {
		return
	}
	s.forget(now)
	if s.runs >= remembered {
		s.scale(1 - 1.0/remembered)
	}
	x := math.Log(float64(actual) / float64(estimate))
	s.runs, s.sum, s.squares = s.runs+1, s.sum+x, s.squares+x*x
}

// forget reduces the weight of the runs by the time that has passed.
func (s *Speed) forget(now time.Time) {
	if !s.at.IsZero() && now.After(s.at) {
		s.scale(math.Exp2(-now.Sub(s.at).Seconds() / halfLife.Seconds()))
	}
	s.at = now
}

func (s *Speed) scale(factor float64) {
	s.runs, s.sum, s.squares = s.runs*factor, s.sum*factor, s.squares*factor
}

// Slowdowns returns how many times as long tasks certainly take on each worker as on the
// median worker. It is 1 for a worker that is not slower, or not known to be.
func Slowdowns(workers []*Speed, now time.Time) []float64 {
	slowdowns := make([]float64, len(workers))
	var means []float64
	for _, s := range workers {
		s.forget(now)
		if s.runs >= minRuns {
			means = append(means, s.sum/s.runs)
		}
	}
	slices.Sort(means)
	for i, s := range workers {
		slowdowns[i] = 1
		if s.runs < minRuns {
			continue
		}
		mean := s.sum / s.runs
		variance := (priorWeight*priorDeviation*priorDeviation + max(0, s.squares-s.runs*mean*mean)) / (priorWeight + s.runs)
		if certain := math.Exp(mean - means[len(means)/2] - deviations*math.Sqrt(variance/s.runs)); certain >= minSlowdown {
			slowdowns[i] = certain
		}
	}
	return slowdowns
}

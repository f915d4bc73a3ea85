package pacer

import "time"

const (
	fullPace    = 100                    // percent
	upStep      = 10                     // percent; speed comes back slowly, because harm shows only after half a second
	highPart    = 0.85                   // part of a target above which the pace goes down, before the target is passed
	lowPart     = 0.6                    // part of a target below which the pace may go up
	settleTime  = 700 * time.Millisecond // the platform's figures are those of the last half second
	minTailTime = 1                      // ms; a figure of zero says that none is known yet
)

type (
	// Serving is a task that serves users of its own.
	Serving struct {
		Tail   time.Duration // tail of its response times of late, 0 when not known
		Target time.Duration
	}

	// Worker is what is known of the tasks on a worker.
	Worker struct {
		Serving []Serving
		Pace    int           // percent, of the tasks that fill
		Since   time.Duration // since the pace was changed
	}
)

// Next returns the pace that the filling tasks of a worker should have. It
// halves the pace when a serving task comes near its target, quarters it when
// the target is passed, and gives it back in steps when all are well below
// theirs.
func Next(w Worker) int {
	if w.Since < settleTime {
		return w.Pace
	}
	over, high, low := false, false, true
	for _, s := range w.Serving {
		if s.Target <= 0 || s.Tail.Milliseconds() < minTailTime {
			continue
		}
		part := float64(s.Tail) / float64(s.Target)
		over = over || part > 1
		high = high || part > highPart
		low = low && part < lowPart
	}
	switch {
	case high && w.Pace <= upStep:
		return 0
	case over:
		return w.Pace / 4
	case high:
		return w.Pace / 2
	case low:
		return min(fullPace, w.Pace+upStep)
	}
	return w.Pace
}

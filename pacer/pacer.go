package pacer

import "time"

const (
	maxPacePercent  = 100                    // percent
	paceStepPercent = 10                     // percent; speed comes back slowly, because harm shows only after half a second
	highTargetShare = 0.85                   // part of a target above which the pace goes down, before the target is passed
	lowTargetShare  = 0.6                    // part of a target below which the pace may go up
	settleTime      = 700 * time.Millisecond // the platform's figures are those of the last half second
	minTailMs       = 1                      // ms; a figure of zero says that none is known yet
)

type (
	// LatencyTask is a task that serves users of its own.
	LatencyTask struct {
		TailLatency   time.Duration // tail of its response times of late, 0 when not known
		TargetLatency time.Duration
	}

	// Worker is what is known of the tasks on a worker.
	Worker struct {
		LatencyTasks    []LatencyTask
		PacePercent     int           // percent, of the tasks that fill
		SinceLastChange time.Duration // since the pace was changed
	}
)

// NextPace returns the pace that the filling tasks of a worker should have. It
// halves the pace when a serving task comes near its target, quarters it when
// the target is passed, and gives it back in steps when all are well below
// theirs.
func NextPace(w Worker) int {
	if w.SinceLastChange < settleTime {
		return w.PacePercent
	}
	over, high, low := false, false, true
	for _, s := range w.LatencyTasks {
		if s.TargetLatency <= 0 || s.TailLatency.Milliseconds() < minTailMs {
			continue
		}
		share := float64(s.TailLatency) / float64(s.TargetLatency)
		over = over || share > 1
		high = high || share > highTargetShare
		low = low && share < lowTargetShare
	}
	switch {
	case high && w.PacePercent <= paceStepPercent:
		return 0
	case over:
		return w.PacePercent / 4
	case high:
		return w.PacePercent / 2
	case low:
		return min(maxPacePercent, w.PacePercent+paceStepPercent)
	}
	return w.PacePercent
}

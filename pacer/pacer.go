package pacer

import "time"

const (
	maxPacePercent  = 100
	paceStepPercent = 10                     // the pace rises in small steps, since their effect on latency shows only after half a second
	highTargetShare = 0.85                   // share of a latency target above which the pace is halved, before the target is exceeded
	lowTargetShare  = 0.6                    // share of the latency targets below which all tasks must be for the pace to rise
	settleTime      = 700 * time.Millisecond // minimum time between changes, since the platform reports the latency of the last half second
	minTailMs       = 1                      // a reported latency of zero means that none is known yet
)

type (
	// LatencyTask is a task that serves users within a latency target.
	LatencyTask struct {
		TailLatency   time.Duration // tail of its recent response times; 0 if unknown
		TargetLatency time.Duration
	}

	// Worker is the state of the tasks on a worker that the pace depends on.
	Worker struct {
		LatencyTasks    []LatencyTask
		PacePercent     int           // current pace of the tasks that run on unused CPU time
		SinceLastChange time.Duration // time since the last change of the pace
	}
)

// NextPace returns the pace in percent that the tasks on unused CPU time should
// have. It halves the pace when a task with a latency target comes near its
// target, quarters it when the target is exceeded, and raises it in steps when
// all such tasks are well below their targets.
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

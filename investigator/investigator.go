package investigator

import "time"

const (
	// MaxScore is the score at which a task is given up. Each crash scores 1, or 2 if
	// nothing else can have caused it, so a task can crash at most five workers. It
	// usually crashes three: one beside others, and two on its own.
	MaxScore = 5

	// MinCrashes is the number of workers that have certainly crashed under a task that
	// is given up, unless MaxScore workers may have.
	MinCrashes = 2

	// minSoleSuspect is the number of crashes that nothing else can have caused, of a
	// task that is given up before MaxScore workers may have crashed under it.
	minSoleSuspect = 2

	// IsolationScore is the score from which a task is started only where nothing
	// else can be the cause if that worker crashes.
	IsolationScore = 2

	// minClearance is how long a run must work for its start not to be the cause of a
	// later crash. Tasks that crash their workers usually do so at once.
	minClearance = 500 * time.Millisecond

	// maxProbation limits the probation of tasks that had worked long before the crash.
	maxProbation = 5 * time.Second

	// MaxLateCrashes is the number of crashes after equal work at which a long-running
	// task is given up. Failures of machines hardly ever come after equal work.
	MaxLateCrashes = 4

	// MaxLateWork limits the work before such a crash. Longer work between crashes may be
	// equal because something else happens at regular times.
	MaxLateWork = 30 * time.Second

	// lateIsolation is the number of such crashes from which a task is isolated. The tasks
	// that were started with the one at fault have the same count until then.
	lateIsolation = 2

	lateWorkTolerance    = 0.1         // difference of equal work, as a part of it; polls tell it to half a second
	minLateWorkTolerance = time.Second // smallest such difference
)

type (
	// Suspicion is what the crashes of its workers tell about a task.
	Suspicion struct {
		Crashes     int           // workers that have crashed while they ran the task
		Unconfirmed int           // workers that have crashed and had not answered the start of the task
		SoleSuspect int           // crashes of them that no other task can have caused
		LateCrashes int           // crashes of workers on which the long-running task had worked for LateWork, in a row
		LateWork    time.Duration // work of the task before the last late crash
		Unknown     int           // further crashes that may have been due to the task and are not known to be
		Probation   time.Duration // how long the next run must work to be cleared; 0 for a task that isn't on probation
	}

	// Run is a run of a task on a worker.
	Run struct {
		Suspicion
		StartUnconfirmed bool          // the worker has not answered the start, and may not have run the task
		WorkUnknown      bool          // it may have worked too long for the crash to count
		Listed           time.Duration // how long the run had worked when its worker last listed it
		Worked           time.Duration // how long it can have worked at most
	}
)

// Score measures the suspicion. Unknown crashes don't add to it, so that they isolate
// no task.
func (s Suspicion) Score() int {
	return s.Crashes + s.Unconfirmed + s.SoleSuspect
}

// IsOnProbation reports whether the next run must be kept apart from those of other
// tasks on probation.
func (s Suspicion) IsOnProbation() bool {
	return s.Probation > 0
}

// NeedsIsolation reports whether the task may start only on a worker on which all
// runs are cleared, and nothing may start beside it before its own run is cleared.
func (s Suspicion) NeedsIsolation() bool {
	return s.Score() >= IsolationScore || s.LateCrashes >= lateIsolation
}

// AfterLateCrash returns what is known about a long-running task after a worker has
// crashed on which it had worked for longer than crashes at the start take.
func (s Suspicion) AfterLateCrash(work time.Duration) Suspicion {
	if !s.isLateWork(work) {
		s.LateCrashes = 0
	}
	s.LateCrashes++
	s.LateWork = work
	s.Probation = 0
	if s.NeedsIsolation() {
		s.Probation = work + lateTolerance(work)
	}
	return s
}

// AfterLongWork returns what is known about a long-running task that has worked for
// longer than crashes at the start take. Late crashes are forgotten once it has
// worked longer than before them.
func (s Suspicion) AfterLongWork(work time.Duration) Suspicion {
	if s.LateCrashes == 0 || work > s.LateWork+lateTolerance(s.LateWork) {
		return Suspicion{}
	}
	return Suspicion{LateCrashes: s.LateCrashes, LateWork: s.LateWork, Probation: s.Probation}
}

// isLateWork reports whether the work equals that before the last late crash.
func (s Suspicion) isLateWork(work time.Duration) bool {
	return s.LateCrashes > 0 && (work-s.LateWork).Abs() <= lateTolerance(s.LateWork)
}

// lateTolerance returns by how much equal work may differ.
func lateTolerance(work time.Duration) time.Duration {
	return max(minLateWorkTolerance, time.Duration(lateWorkTolerance*float64(work)))
}

// IsConclusive reports whether the task must not be started again.
func (s Suspicion) IsConclusive() bool {
	return s.Score() >= MaxScore && s.Crashes >= MinCrashes && s.SoleSuspect >= minSoleSuspect || s.Crashes+s.Unconfirmed+s.Unknown >= MaxScore || s.LateCrashes >= MaxLateCrashes
}

// Clearance returns how long a run must work to be cleared.
func (s Suspicion) Clearance() time.Duration {
	return max(minClearance, s.Probation)
}

// IsCleared reports whether the run has worked for so long that a crash of its
// worker is probably not due to it.
func (r Run) IsCleared() bool {
	return r.Listed >= r.Clearance()
}

// AssessCrash returns, for each run on a worker that has crashed, what is then known
// about its task. Among the runs that are not cleared, the one with the highest score
// is the sole suspect if there is no other with that score, and its start was confirmed.
//
// If other workers have crashed at the same time, the reason is probably one that
// they share, such as a rack's power, and there is no sole suspect. This does not
// apply to a run in isolation: two tasks that crash their workers may be started at
// the same time each time.
func AssessCrash(runs []Run, othersCrashed bool) []Suspicion {
	sole := findSoleSuspect(runs)
	if othersCrashed && sole >= 0 && !runs[sole].NeedsIsolation() {
		sole = -1
	}
	after := make([]Suspicion, len(runs))
	for i, r := range runs {
		s := r.Suspicion
		if r.WorkUnknown {
			s.Unknown++
			after[i] = s
			continue
		}
		s.Probation = 0
		if r.StartUnconfirmed {
			s.Unconfirmed++
		} else {
			s.Crashes++
		}
		if i == sole {
			s.SoleSuspect++
		}
		if !r.IsCleared() || s.NeedsIsolation() {
			s.Probation = max(r.Probation, min(max(minClearance, r.Worked), maxProbation))
		}
		after[i] = s
	}
	return after
}

// findSoleSuspect returns the index of the sole suspect, or -1 if there is none.
func findSoleSuspect(runs []Run) int {
	sole, highest := -1, -1
	for i, r := range runs {
		switch score := r.Score(); {
		case r.IsCleared() || r.WorkUnknown || score < highest:
		case score == highest:
			sole = -1
		default:
			sole, highest = i, score
		}
	}
	if sole >= 0 && runs[sole].StartUnconfirmed {
		return -1
	}
	return sole
}

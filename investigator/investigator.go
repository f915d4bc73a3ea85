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
)

type (
	// Suspicion is what the crashes of its workers tell about a task.
	Suspicion struct {
		Crashes     int           // workers that have crashed while they ran the task
		Unconfirmed int           // workers that have crashed and had not answered the start of the task
		SoleSuspect int           // crashes of them that no other task can have caused
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
	return s.Score() >= IsolationScore
}

// IsConclusive reports whether the task must not be started again.
func (s Suspicion) IsConclusive() bool {
	return s.Score() >= MaxScore && s.Crashes >= MinCrashes && s.SoleSuspect >= minSoleSuspect || s.Crashes+s.Unconfirmed+s.Unknown >= MaxScore
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

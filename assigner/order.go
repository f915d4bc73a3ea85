package assigner

import (
	"cmp"
	"time"
)

// Claim is a job's claim to come next.
type Claim struct {
	Priority  int           // of the queue, 0 first
	Lasting   bool          // runs until it is cancelled
	Deadline  time.Duration // end of its objective, from now; negative when it is over
	Remaining time.Duration // least time that it still needs
	Accepted  time.Time
	ID        string
}

// IsLost says whether a job can no longer reach its objective.
func (c *Claim) IsLost() bool {
	return !c.Lasting && c.Remaining > c.Deadline
}

// Compare orders claims. Within a priority lasting jobs come first, since each
// second without them is lost; then the jobs that can still reach their
// objective, the earliest deadline first; then the others by age.
func Compare(a, b *Claim) int {
	return cmp.Or(
		cmp.Compare(a.Priority, b.Priority),
		-compareBool(a.Lasting, b.Lasting),
		compareBool(a.IsLost(), b.IsLost()),
		cmp.Compare(a.order(), b.order()),
		a.Accepted.Compare(b.Accepted),
		cmp.Compare(a.ID, b.ID),
	)
}

func (c *Claim) order() time.Duration {
	if c.IsLost() {
		return 0
	}
	return c.Deadline
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

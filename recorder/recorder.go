package recorder

import (
	"context"
	"time"

	"github.com/google/uuid"
)

// Recorder records the decisions of one entry. All of them go into the journal
// that the entry keeps in memory. Those on other subjects than jobs, which are
// few, also go into the ring in the key-value service, which all entries share.
type Recorder struct {
	self    string
	journal *Journal
	ring    *Ring
}

// New returns a recorder for the member with the ID self.
func New(self string, journal *Journal, ring *Ring) *Recorder {
	return &Recorder{self: self, journal: journal, ring: ring}
}

// Record records a decision. It never blocks. It sets the time, the entry and
// the ID if they are empty.
func (r *Recorder) Record(d Decision) {
	if d.Time.IsZero() {
		d.Time = time.Now()
	}
	if d.Entry == "" {
		d.Entry = r.self
	}
	if d.ID == "" {
		d.ID = uuid.Must(uuid.NewV7()).String() // version 7 sorts in the order of recording
	}
	r.journal.Record(d)
	if d.Kind != Job {
		r.ring.Enqueue(d)
	}
}

// Run writes decisions to the shared ring until ctx ends. It returns the error
// of ctx.
func (r *Recorder) Run(ctx context.Context) error {
	return r.ring.Run(ctx)
}

// LocalDecisions returns the decisions on a subject in this entry's own journal, oldest
// first.
func (r *Recorder) LocalDecisions(kind Kind, subject string) []Decision {
	return r.journal.Decisions(kind, subject)
}

// Decisions returns the decisions on a subject in this entry's journal and in the
// shared ring, oldest first. If the ring can't be read, it returns those of the
// journal and the error.
func (r *Recorder) Decisions(ctx context.Context, kind Kind, subject string) ([]Decision, error) {
	local := r.LocalDecisions(kind, subject)
	if kind == Job {
		return local, nil
	}
	shared, err := r.ring.Decisions(ctx, kind, subject)
	return Merge(local, shared), err
}

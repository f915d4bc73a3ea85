package recorder

import (
	"context"
	"time"

	"github.com/google/uuid"
)

// Recorder records the decisions of one entry: all in its own journal, and
// those on the fleet, which are few, also in the ring that all entries share.
type Recorder struct {
	self    string
	journal *Journal
	ring    *Ring
}

// New returns the recorder of the member self.
func New(self string, journal *Journal, ring *Ring) *Recorder {
	return &Recorder{self: self, journal: journal, ring: ring}
}

// Record records a decision. It never blocks. It fills in the time, the entry
// and the identity when they are absent.
func (r *Recorder) Record(d Decision) {
	if d.Time.IsZero() {
		d.Time = time.Now()
	}
	if d.Entry == "" {
		d.Entry = r.self
	}
	if d.ID == "" {
		d.ID = uuid.Must(uuid.NewV7()).String() // in the order of recording
	}
	r.journal.Record(d)
	if d.Kind != Job {
		r.ring.Put(d)
	}
}

// Run writes to the shared ring until ctx ends, and returns the error of ctx.
func (r *Recorder) Run(ctx context.Context) error {
	return r.ring.Run(ctx)
}

// Local returns what this entry alone remembers on a subject, oldest first.
func (r *Recorder) Local(kind Kind, subject string) []Decision {
	return r.journal.Explain(kind, subject)
}

// Explain returns the decisions on a subject that this entry remembers or the
// ring holds, oldest first. When the ring cannot be read it returns its own
// decisions and the error.
func (r *Recorder) Explain(ctx context.Context, kind Kind, subject string) ([]Decision, error) {
	local := r.Local(kind, subject)
	if kind == Job {
		return local, nil
	}
	shared, err := r.ring.Explain(ctx, kind, subject)
	return Merge(local, shared), err
}

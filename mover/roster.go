package mover

import (
	"context"
	"sync"
	"time"

	"github.com/coltsfootlever/coltsfootlever/lister"
)

// forgetSightings is how long a sighting is kept after the last one.
const lastSeenRetention = 24 * time.Hour

type (
	// Platform is the platform's instance list and its power over instances.
	Platform interface {
		List(ctx context.Context) ([]lister.Listing, error)
		Reboot(ctx context.Context, id string) error
	}

	// Roster remembers the platform's list of workers as last read.
	Roster struct {
		mu        sync.Mutex
		listed    map[string]lister.Listing
		lastSeen  map[string]time.Time
		firstRead time.Time
		updated   time.Time
	}
)

// NewRoster returns an empty roster.
func NewRoster() *Roster {
	return &Roster{listed: map[string]lister.Listing{}, lastSeen: map[string]time.Time{}}
}

// Put takes a list that was asked for at time now. A list without a single
// worker is taken for a fault of the list when workers were known, and is
// ignored; Put then returns false.
func (r *Roster) Replace(list []lister.Listing, now time.Time) bool {
	listed := map[string]lister.Listing{}
	for _, l := range list {
		if l.Kind == lister.WorkerKind {
			listed[l.ID] = l
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(listed) == 0 && len(r.listed) > 0 {
		return false
	}
	if r.firstRead.IsZero() {
		r.firstRead = now
	}
	r.listed, r.updated = listed, now
	for id := range listed {
		r.lastSeen[id] = now
	}
	for id, at := range r.lastSeen {
		if now.Sub(at) > lastSeenRetention {
			delete(r.lastSeen, id)
		}
	}
	return true
}

// Find returns the line of an instance.
func (r *Roster) Find(id string) (lister.Listing, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l, ok := r.listed[id]
	return l, ok
}

// All returns the lines of all workers, in no order.
func (r *Roster) All() []lister.Listing {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]lister.Listing, 0, len(r.listed))
	for _, l := range r.listed {
		list = append(list, l)
	}
	return list
}

// Updated returns when the list was last read; zero for never.
func (r *Roster) Updated() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.updated
}

// MissingFor returns for how long the list has been read without the
// instance; 0 when it is listed.
func (r *Roster) MissingFor(id string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.listed[id]; ok || r.firstRead.IsZero() {
		return 0
	}
	last := r.firstRead
	if at, ok := r.lastSeen[id]; ok {
		last = at
	}
	return r.updated.Sub(last)
}

// live reports whether the instance is listed and not leaving.
func (r *Roster) isListedLive(id string) bool {
	l, ok := r.Find(id)
	return ok && l.State == lister.Live
}

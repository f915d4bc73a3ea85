package mover

import (
	"context"
	"sync"
	"time"

	"github.com/coltsfootlever/coltsfootlever/lister"
)

// lastSeenRetention is how long the time at which an instance was last listed is
// kept.
const lastSeenRetention = 24 * time.Hour

type (
	// Platform is the client of the cloud platform that lists and reboots
	// instances.
	Platform interface {
		List(ctx context.Context) ([]lister.Listing, error)
		Reboot(ctx context.Context, id string) error
	}

	// Roster holds the workers of the platform's instance list as last read, and
	// when each instance was last listed.
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

// Replace replaces the list with one that was requested at time now. When
// workers were listed before, a list without any worker is considered a fault of
// the platform: Replace ignores it and returns false.
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

// Find returns the list entry of a worker.
func (r *Roster) Find(id string) (lister.Listing, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l, ok := r.listed[id]
	return l, ok
}

// All returns the list entries of all workers in random order.
func (r *Roster) All() []lister.Listing {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]lister.Listing, 0, len(r.listed))
	for _, l := range r.listed {
		list = append(list, l)
	}
	return list
}

// Updated returns when the list was last read, or the zero time before the first
// read.
func (r *Roster) Updated() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.updated
}

// MissingFor returns for how long the instance has been missing from the list:
// the time between the last list that had it, or the first list read, and the
// latest list. It returns 0 when the instance is listed.
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

// isListedLive reports whether the instance is listed as live, that is, not as
// leaving.
func (r *Roster) isListedLive(id string) bool {
	l, ok := r.Find(id)
	return ok && l.State == lister.Live
}

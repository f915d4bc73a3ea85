package keeper

import (
	"context"
	"log/slog"
	"time"

	"github.com/juju/errors"
)

// defaultWatchLife bounds one watch, so that a connection that died without
// notice is replaced.
const defaultWatchLife = 30 * time.Second

type (
	// Watcher is the part of the key-value service that a Follower needs.
	Watcher interface {
		List(ctx context.Context, prefix string) ([]Record, int64, error)
		Watch(ctx context.Context, prefix string, after int64, fn func(Event)) error
	}

	// Follower keeps a copy of all records below a prefix up to date: it lists
	// them once and then watches for changes. It resumes a broken watch where
	// it ended and lists again only when the service no longer has the events
	// in between.
	Follower struct {
		store   Watcher
		prefix  string
		life    time.Duration
		onReset func([]Record)
		onEvent func(Event)
		log     *slog.Logger
	}

	// FollowerOption changes a Follower.
	FollowerOption func(*Follower)
)

// OnReset sets the function called with all records after each listing.
func OnReset(fn func([]Record)) FollowerOption {
	return func(f *Follower) { f.onReset = fn }
}

// OnEvent sets the function called with each change after a listing, in the
// order of revisions.
func OnEvent(fn func(Event)) FollowerOption {
	return func(f *Follower) { f.onEvent = fn }
}

// WithMaxWatchTime sets the time after which a watch is opened anew.
func WithMaxWatchTime(d time.Duration) FollowerOption {
	return func(f *Follower) { f.life = d }
}

// WithFollowerLog sets the logger for failed lists and watches.
func WithFollowerLog(log *slog.Logger) FollowerOption {
	return func(f *Follower) { f.log = log }
}

// NewFollower returns a Follower of the records below prefix. Both callbacks
// run in the goroutine of Run.
func NewFollower(store Watcher, prefix string, opts ...FollowerOption) *Follower {
	f := &Follower{
		store:   store,
		prefix:  prefix,
		life:    defaultWatchLife,
		onReset: func([]Record) {},
		onEvent: func(Event) {},
		log:     slog.New(slog.DiscardHandler),
	}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Run follows the prefix until ctx ends and returns the error of ctx. Failed
// calls are repeated after a jittered delay of at most 2 s.
func (f *Follower) Run(ctx context.Context) error {
	revision, listed, failures := int64(0), false, 0
	for ctx.Err() == nil {
		var err error
		began, before := time.Now(), revision
		if listed {
			revision, err = f.watch(ctx, revision)
			listed = !errors.Is(err, ErrCompacted)
		} else {
			revision, err = f.list(ctx)
			listed = err == nil
		}
		answered := err == nil || errors.Is(err, ErrCompacted) || revision != before
		if answered || time.Since(began) > maxRetryDelay {
			failures = 0
		}
		if err == nil || ctx.Err() != nil {
			continue
		}
		failures++
		f.log.Warn("following records", "prefix", f.prefix, "failures", failures, "err", err)
		if pause(ctx, backoff(failures, minRetryDelay, maxRetryDelay)) != nil {
			break
		}
	}
	return ctx.Err()
}

func (f *Follower) list(ctx context.Context) (int64, error) {
	records, revision, err := f.store.List(ctx, f.prefix)
	if err != nil {
		return 0, errors.Trace(err)
	}
	f.onReset(records)
	return revision, nil
}

// watch delivers events after a revision and returns the last revision seen.
// Several events can have the same revision.
func (f *Follower) watch(ctx context.Context, after int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, f.life)
	defer cancel()
	revision := after
	err := f.store.Watch(ctx, f.prefix, after, func(e Event) {
		if e.Revision > after {
			revision = e.Revision
			f.onEvent(e)
		}
	})
	if ctx.Err() != nil {
		return revision, nil
	}
	return revision, errors.Trace(err)
}

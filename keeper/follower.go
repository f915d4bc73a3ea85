package keeper

import (
	"context"
	"log/slog"
	"time"

	"github.com/juju/errors"
)

// defaultMaxWatchTime limits the time of a watch, so that a connection that has
// failed without an error is replaced.
const defaultMaxWatchTime = 30 * time.Second

type (
	// Watcher is the part of the key-value service that a Follower needs.
	Watcher interface {
		List(ctx context.Context, prefix string) ([]Record, int64, error)
		Watch(ctx context.Context, prefix string, after int64, fn func(Event)) error
	}

	// Follower reports all records whose keys start with a prefix and then
	// their changes: it lists the records once and watches for changes. When a
	// watch ends, it opens the next one at the last revision seen, and lists
	// again only if the service no longer has the events since then.
	Follower struct {
		store        Watcher
		prefix       string
		maxWatchTime time.Duration
		maxPause     time.Duration // see WithMaxRetryDelay
		onReset      func([]Record)
		onEvent      func(Event)
		log          *slog.Logger
	}

	// FollowerOption configures a Follower.
	FollowerOption func(*Follower)
)

// OnReset sets the function that is called with all records after each list.
// They replace what was reported before.
func OnReset(fn func([]Record)) FollowerOption {
	return func(f *Follower) { f.onReset = fn }
}

// OnEvent sets the function that is called for each change after a list, in the
// order of revisions.
func OnEvent(fn func(Event)) FollowerOption {
	return func(f *Follower) { f.onEvent = fn }
}

// WithMaxWatchTime sets the time after which a watch is replaced by a new one.
func WithMaxWatchTime(d time.Duration) FollowerOption {
	return func(f *Follower) { f.maxWatchTime = d }
}

// WithMaxRetryDelay sets the longest delay after a failed call, for records that must
// be known again soon after an outage.
func WithMaxRetryDelay(d time.Duration) FollowerOption {
	return func(f *Follower) { f.maxPause = d }
}

// WithFollowerLog sets the logger for failed lists and watches.
func WithFollowerLog(log *slog.Logger) FollowerOption {
	return func(f *Follower) { f.log = log }
}

// NewFollower returns a Follower of the records whose keys start with prefix. The
// functions set by OnReset and OnEvent run in the goroutine of Run.
func NewFollower(store Watcher, prefix string, opts ...FollowerOption) *Follower {
	f := &Follower{
		store:        store,
		prefix:       prefix,
		maxWatchTime: defaultMaxWatchTime,
		maxPause:     maxRetryDelay,
		onReset:      func([]Record) {},
		onEvent:      func(Event) {},
		log:          slog.New(slog.DiscardHandler),
	}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Run follows the records until ctx ends and returns the error of ctx. It retries
// failed calls after a random delay of at most 2 s or that of WithMaxRetryDelay, which grows with each failure.
func (f *Follower) Run(ctx context.Context) error {
	revision, listed, failures := int64(0), false, 0
	for ctx.Err() == nil {
		var err error
		start, previousRevision := time.Now(), revision
		if listed {
			revision, err = f.watch(ctx, revision)
			listed = !errors.Is(err, ErrCompacted)
		} else {
			revision, err = f.list(ctx)
			listed = err == nil
		}
		answered := err == nil || errors.Is(err, ErrCompacted) || revision != previousRevision
		if answered || time.Since(start) > maxRetryDelay {
			failures = 0
		}
		if err == nil || ctx.Err() != nil {
			continue
		}
		failures++
		f.log.Warn("records not listed or watched, another attempt follows", "prefix", f.prefix, "failures", failures, "err", err)
		if pause(ctx, backoff(failures, minRetryDelay, f.maxPause)) != nil {
			break
		}
	}
	return ctx.Err()
}

// list reports all records to onReset and returns the revision of the service
// when it read them.
func (f *Follower) list(ctx context.Context) (int64, error) {
	records, revision, err := f.store.List(ctx, f.prefix)
	if err != nil {
		return 0, errors.Trace(err)
	}
	f.onReset(records)
	return revision, nil
}

// watch reports events after a revision to onEvent and returns the last revision
// seen. Several events can have the same revision, so each is compared with the
// revision at which the watch started.
func (f *Follower) watch(ctx context.Context, after int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, f.maxWatchTime)
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

package launcher

import (
	"context"
	"strconv"
	"time"

	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/platform"
)

const (
	entryPrefix    = "entries/"             // followed by an entry's name; the record is its processor share
	weakEntryDelay = 300 * time.Millisecond // of an entry without any processor; a fifth of the time that a lost leader costs
	standingTime   = 200 * time.Millisecond // for the question; without an answer the entry does not wait
)

// standing returns the delay with which this entry becomes a candidate: none for
// one with the largest processor share, since leading takes most of it.
func (l *Launcher) standing(s *platform.Settings, store *platform.Store) func(ctx context.Context) time.Duration {
	announced := false
	return func(ctx context.Context) time.Duration {
		ctx, cancel := context.WithTimeout(ctx, standingTime)
		defer cancel()
		if !announced {
			announced = l.announce(ctx, s, store)
		}
		records, _, err := store.List(ctx, entryPrefix)
		if err != nil {
			l.log.Warn("entries not listed", "error", err)
			return 0
		}
		return delayOf(s.ProcessorShare, records)
	}
}

// announce records the entry's processor share.
func (l *Launcher) announce(ctx context.Context, s *platform.Settings, store *platform.Store) bool {
	_, _, err := store.Commit(ctx, keeper.Txn{Put: []keeper.Put{{
		Key: entryPrefix + s.Instance, Value: []byte(strconv.FormatFloat(s.ProcessorShare, 'g', -1, 64)),
	}}})
	if err != nil {
		l.log.Warn("entry not announced", "error", err)
	}
	return err == nil
}

// delayOf compares a share with those of all entries. A record that cannot be
// read counts as none.
func delayOf(share float64, records []keeper.Record) time.Duration {
	largest := share
	for _, r := range records {
		if v, err := strconv.ParseFloat(string(r.Value), 64); err == nil {
			largest = max(largest, v)
		}
	}
	if largest <= 0 {
		return 0
	}
	return time.Duration((1 - share/largest) * float64(weakEntryDelay))
}

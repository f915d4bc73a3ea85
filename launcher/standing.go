package launcher

import (
	"context"
	"log/slog"
	"strconv"
	"time"

	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/platform"
)

const (
	entryPrefix       = "entries/"             // followed by the instance of an entry node; the record holds its processor share
	maxCandidateDelay = 300 * time.Millisecond // delay at a processor share of 0; a fifth of the time that the loss of a leader costs
	minChallengeRatio = 1.5                    // an entry node challenges a leader if its processor share is larger by this factor
	delayTimeout      = 200 * time.Millisecond // time-out for the calls to the store; a slow store takes this long to answer
)

// delayCalculator computes how long this entry node waits before it runs for
// leadership, from its processor share and those of the other entry nodes.
type delayCalculator struct {
	processorShare float64 // of this entry node
	store          shareStore
	log            *slog.Logger

	instance    string
	shareStored bool          // the store has the processor share of this entry node
	lastDelay   time.Duration // from the last list that could be read
}

// shareStore is the part of the key-value store client that a delayCalculator
// needs.
type shareStore interface {
	List(ctx context.Context, prefix string) ([]keeper.Record, int64, error)
	Commit(ctx context.Context, txn keeper.Txn) (int64, []keeper.Record, error)
}

// newDelayCalculator returns the delayCalculator of an entry node. Its delay is
// the longest one until it has read the shares of the other entry nodes.
func newDelayCalculator(s *platform.Settings, store shareStore, log *slog.Logger) *delayCalculator {
	return &delayCalculator{processorShare: s.ProcessorShare, store: store, log: log, instance: s.Instance, lastDelay: maxCandidateDelay}
}

// candidateDelay returns how long this entry node waits before it runs for
// leadership. It is 0 with the largest processor share of all entry nodes,
// because leading takes most of a processor share. If the store does not
// answer in time, the last delay stays; otherwise the slowest entry
// nodes would run first whenever the store is slow.
func (c *delayCalculator) candidateDelay(ctx context.Context) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, delayTimeout)
	defer cancel()
	if !c.shareStored {
		c.shareStored = c.storeProcessorShare(ctx)
	}
	records, _, err := c.store.List(ctx, entryPrefix)
	if err != nil {
		c.log.Warn("entry nodes cannot be listed, the last delay before running for leadership is used", "error", err, "delay", c.lastDelay.String())
		return c.lastDelay
	}
	c.lastDelay = delayForShare(c.processorShare, records)
	return c.lastDelay
}

// isBetter reports whether this entry node has so much more processor time than the
// leader that a hand-over pays off. It hasn't if the share of the leader is unknown.
func (c *delayCalculator) isBetter(ctx context.Context, leader string) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, delayTimeout)
	defer cancel()
	records, _, err := c.store.List(ctx, entryPrefix)
	if err != nil {
		return false, err
	}
	for _, r := range records {
		if r.Key != entryPrefix+leader {
			continue
		}
		share, err := strconv.ParseFloat(string(r.Value), 64)
		return err == nil && c.processorShare >= minChallengeRatio*share, nil // an unreadable share is unknown
	}
	return false, nil
}

// storeProcessorShare writes the processor share of this entry node to the
// store and reports whether that succeeded.
func (c *delayCalculator) storeProcessorShare(ctx context.Context) bool {
	_, _, err := c.store.Commit(ctx, keeper.Txn{Put: []keeper.Put{{
		Key: entryPrefix + c.instance, Value: []byte(strconv.FormatFloat(c.processorShare, 'g', -1, 64)),
	}}})
	if err != nil {
		c.log.Warn("processor share cannot be stored under entries/, another attempt follows at the next election", "error", err)
	}
	return err == nil
}

// delayForShare returns the delay of an entry node with the given processor
// share: 0 if no record holds a larger share, and in proportion to the
// difference otherwise. It ignores a record that cannot be parsed.
func delayForShare(share float64, records []keeper.Record) time.Duration {
	largest := share
	for _, r := range records {
		if v, err := strconv.ParseFloat(string(r.Value), 64); err == nil {
			largest = max(largest, v)
		}
	}
	if largest <= 0 {
		return 0
	}
	return time.Duration((1 - share/largest) * float64(maxCandidateDelay))
}

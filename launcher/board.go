package launcher

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/meter"
	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/orchestrator"
	"github.com/coltsfootlever/coltsfootlever/platform"
)

const (
	maxLoadAge    = 3 * time.Second        // above the leader's interval and a change of leader
	awayAfter     = 400 * time.Millisecond // without an answer of the store although it was asked
	probeInterval = 300 * time.Millisecond // while the store is away
	readyWithin   = 3 * time.Second        // the store has to have answered within the platform's contact time
)

type (
	// board is what an entry knows of the fleet, whether it leads or not.
	board struct {
		log      *slog.Logger
		manifest atomic.Pointer[modeler.Manifest]
		waves    atomic.Pointer[[]modeler.Wave]
		load     atomic.Pointer[load]
		store    health
	}

	load struct {
		orchestrator.Load
		at time.Time
	}

	// health tells from all calls to the store whether it answers.
	health struct {
		next     http.RoundTripper
		answered atomic.Int64 // time of the last answer, Unix ns
		failures atomic.Int64 // calls in a row without one
	}
)

// RoundTrip implements http.RoundTripper.
func (h *health) RoundTrip(r *http.Request) (*http.Response, error) {
	res, err := h.next.RoundTrip(r)
	if err != nil || res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusTooManyRequests {
		h.failures.Add(1)
		return res, err
	}
	h.failures.Store(0)
	h.answered.Store(time.Now().UnixNano())
	return res, nil
}

func (h *health) silence() time.Duration {
	return time.Since(time.Unix(0, h.answered.Load()))
}

// Manifest returns the newest manifest, nil before the first.
func (b *board) Manifest() *modeler.Manifest {
	return b.manifest.Load()
}

// Pending implements acceptor.FleetState.
func (b *board) Pending(queue string) (int, bool) {
	l := b.load.Load()
	if l == nil || time.Since(l.at) > maxLoadAge {
		return 0, false
	}
	return l.Pending[queue], true
}

// StoreIsUnreachable implements acceptor.FleetState.
func (b *board) StoreIsUnreachable() bool {
	return b.store.failures.Load() > 0 && b.store.silence() > awayAfter
}

// SinceStoreAnswer implements acceptor.FleetState.
func (b *board) SinceStoreAnswer() time.Duration {
	return b.store.silence()
}

// isReady says whether the entry can serve callers.
func (b *board) isReady() bool {
	return b.Manifest() != nil && b.store.silence() < readyWithin
}

// followOperator keeps the manifest up to date until ctx ends.
func (b *board) followOperator(store *platform.Store) func(ctx context.Context) error {
	return keeper.NewFollower(store, platform.OperatorPrefix,
		keeper.OnReset(func(records []keeper.Record) {
			for _, r := range records {
				b.takeOperator(r)
			}
		}),
		keeper.OnEvent(func(ev keeper.Event) {
			if !ev.Deleted {
				b.takeOperator(ev.Record)
			}
		}),
		keeper.WithFollowerLog(b.log)).Run
}

func (b *board) takeOperator(r keeper.Record) {
	switch {
	case r.Key == platform.ManifestKey:
		m, err := platform.ParseManifest(r.Value)
		if err != nil {
			b.log.Error("manifest not read, the last one stays in force", "revision", r.Revision, "error", err)
			return
		}
		if old := b.Manifest(); old != nil && old.Version >= m.Version {
			return
		}
		b.manifest.Store(m)
		meter.Manifest(m.Version)
		b.log.Info("manifest in force", "version", m.Version, "revision", r.Revision, "queues", len(m.Queues), "customers", len(m.Customers))
	case platform.IsWaveKey(r.Key):
		v, err := platform.ParseWave(r)
		if err != nil {
			b.log.Error("wave not read", "revision", r.Revision, "error", err)
			return
		}
		b.addWave(v)
	}
}

// addWave notes a wave, in place of what was known of the same number.
func (b *board) addWave(v modeler.Wave) {
	var waves []modeler.Wave
	for _, known := range b.Waves() {
		if known.Number != v.Number {
			waves = append(waves, known)
		}
	}
	waves = append(waves, v)
	b.waves.Store(&waves)
}

// Waves returns the waves that the operator asks for.
func (b *board) Waves() []modeler.Wave {
	if waves := b.waves.Load(); waves != nil {
		return *waves
	}
	return nil
}

// followLoad keeps the published load up to date until ctx ends.
func (b *board) followLoad(store *platform.Store) func(ctx context.Context) error {
	take := func(r keeper.Record) {
		var l orchestrator.Load
		if err := json.Unmarshal(r.Value, &l); err != nil {
			b.log.Error("load not read", "revision", r.Revision, "error", err)
			return
		}
		b.load.Store(&load{l, time.Now()})
	}
	return keeper.NewFollower(store, orchestrator.LoadKey,
		keeper.OnReset(func(records []keeper.Record) {
			for _, r := range records {
				take(r)
			}
		}),
		keeper.OnEvent(func(ev keeper.Event) {
			if !ev.Deleted {
				take(ev.Record)
			}
		}),
		keeper.WithFollowerLog(b.log)).Run
}

// probe asks the store while it is away, so that its return is noticed.
func (b *board) probe(store *platform.Store) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		t := time.NewTicker(probeInterval)
		defer t.Stop()
		away := false
		for {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-t.C:
			}
			if now := b.StoreIsUnreachable(); now != away {
				away = now
				b.log.Warn("key-value service", "away", away, "silence", b.store.silence().Round(time.Millisecond).String())
			}
			if !away {
				continue
			}
			probeCtx, cancel := context.WithTimeout(ctx, probeInterval)
			_, _ = store.Get(probeCtx, orchestrator.LoadKey) // health sees the outcome
			cancel()
		}
	}
}

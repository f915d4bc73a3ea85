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
	maxLoadAge       = 3 * time.Second        // longer than the interval at which the leader publishes the load plus the time of a change of leader
	unreachableAfter = 400 * time.Millisecond // time without a successful call, while calls fail
	probeInterval    = 300 * time.Millisecond // interval and time-out of probes while the store is unreachable
	neverAnswered    = 24 * time.Hour         // stands for the time since the last answer if there has been none
	maxReadySilence  = 3 * time.Second        // the platform's contact time; the store must have answered within it
)

// processStart is the origin of times on the monotonic clock, which does not jump.
var processStart = time.Now()

type (
	// fleetState holds the manifest, the requested maintenance waves, the published
	// load and the reachability of the key-value store, as this entry node has
	// received them. Every entry node keeps it, the leader and the others.
	fleetState struct {
		log      *slog.Logger
		manifest atomic.Pointer[modeler.Manifest]
		waves    atomic.Pointer[[]modeler.Wave]
		load     atomic.Pointer[receivedLoad]
		store    storeHealth
	}

	// receivedLoad is a published load with the local time of its arrival.
	receivedLoad struct {
		orchestrator.Load
		receivedAt time.Time
	}

	// storeHealth is the HTTP transport of all calls to the key-value store. It
	// records whether the store answers them.
	storeHealth struct {
		transport    http.RoundTripper
		lastAnswer   atomic.Int64 // time of the last answer, in ns since processStart
		failedInARow atomic.Int64 // calls without an answer since then
	}
)

// RoundTrip implements http.RoundTripper.
func (h *storeHealth) RoundTrip(r *http.Request) (*http.Response, error) {
	res, err := h.transport.RoundTrip(r)
	if err != nil || res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusTooManyRequests {
		h.failedInARow.Add(1)
		return res, err
	}
	h.failedInARow.Store(0)
	h.lastAnswer.Store(int64(time.Since(processStart)))
	return res, nil
}

func (h *storeHealth) sinceLastAnswer() time.Duration {
	last := h.lastAnswer.Load()
	if last == 0 {
		return neverAnswered
	}
	return time.Since(processStart) - time.Duration(last)
}

// Manifest returns the newest manifest, or nil if none has been received.
func (s *fleetState) Manifest() *modeler.Manifest {
	return s.manifest.Load()
}

// Pending returns the number of jobs of a queue that have not started. It
// reports false if the last published load is older than maxLoadAge.
func (s *fleetState) Pending(queue string) (int, bool) {
	l := s.load.Load()
	if l == nil || time.Since(l.receivedAt) > maxLoadAge {
		return 0, false
	}
	return l.Pending[queue], true
}

// Limitation returns whether only a share of the customer's new jobs in a queue may
// be accepted. It reports false if all may, or if the last published load is older
// than maxLoadAge.
func (s *fleetState) Limitation(queue, customer string) (orchestrator.Limitation, bool) {
	l := s.load.Load()
	if l == nil || time.Since(l.receivedAt) > maxLoadAge {
		return orchestrator.Limitation{}, false
	}
	limitation, ok := l.Limited[queue][customer]
	limitation.Age = time.Since(l.receivedAt)
	return limitation, ok
}

// StoreIsUnreachable reports whether calls to the key-value store have
// failed for longer than unreachableAfter.
func (s *fleetState) StoreIsUnreachable() bool {
	return s.store.failedInARow.Load() > 0 && s.store.sinceLastAnswer() > unreachableAfter
}

// SinceStoreAnswer returns the time since the last answer of the key-value store. If
// no call has failed yet, a process that has just started says nothing of an outage.
func (s *fleetState) SinceStoreAnswer() time.Duration {
	if s.store.lastAnswer.Load() == 0 && s.store.failedInARow.Load() == 0 {
		return time.Since(processStart)
	}
	return s.store.sinceLastAnswer()
}

// isReady reports whether the entry node can serve callers.
func (s *fleetState) isReady() bool {
	return s.Manifest() != nil && s.store.sinceLastAnswer() < maxReadySilence
}

// followOperatorRecords returns a service that keeps the manifest and the
// requested maintenance waves up to date.
func (s *fleetState) followOperatorRecords(store *platform.Store) func(ctx context.Context) error {
	return keeper.NewFollower(store, platform.OperatorPrefix,
		keeper.OnReset(func(records []keeper.Record) {
			for _, r := range records {
				s.applyOperatorRecord(r)
			}
		}),
		keeper.OnEvent(func(ev keeper.Event) {
			if !ev.Deleted {
				s.applyOperatorRecord(ev.Record)
			}
		}),
		keeper.WithFollowerLog(s.log)).Run
}

// applyOperatorRecord stores the manifest or the maintenance wave that a record
// contains. It ignores a manifest that is not newer than the stored one.
func (s *fleetState) applyOperatorRecord(r keeper.Record) {
	switch {
	case r.Key == platform.ManifestKey:
		m, err := platform.ParseManifest(r.Value)
		if err != nil {
			s.log.Error("manifest cannot be parsed, the last one stays in force", "revision", r.Revision, "error", err)
			return
		}
		if old := s.Manifest(); old != nil && old.Version >= m.Version {
			return
		}
		s.manifest.Store(m)
		meter.SetManifestVersion(m.Version)
		s.log.Info("manifest in force", "version", m.Version, "revision", r.Revision, "queues", len(m.Queues), "customers", len(m.Customers))
	case platform.IsWaveKey(r.Key):
		wave, err := platform.ParseWave(r)
		if err != nil {
			s.log.Error("record of a maintenance wave cannot be parsed and is ignored", "revision", r.Revision, "error", err)
			return
		}
		s.setWave(wave)
	}
}

// setWave stores a maintenance wave and replaces an earlier one with the same
// number.
func (s *fleetState) setWave(wave modeler.Wave) {
	var waves []modeler.Wave
	for _, known := range s.Waves() {
		if known.Number != wave.Number {
			waves = append(waves, known)
		}
	}
	waves = append(waves, wave)
	s.waves.Store(&waves)
}

// Waves returns the maintenance waves that the operator has requested.
func (s *fleetState) Waves() []modeler.Wave {
	if waves := s.waves.Load(); waves != nil {
		return *waves
	}
	return nil
}

// watchPublishedLoad returns a service that keeps the load that the leader
// publishes up to date.
func (s *fleetState) watchPublishedLoad(store *platform.Store) func(ctx context.Context) error {
	applyRecord := func(r keeper.Record) {
		var l orchestrator.Load
		if err := json.Unmarshal(r.Value, &l); err != nil {
			s.log.Error("published load cannot be parsed, the last one is used until it is too old", "revision", r.Revision, "error", err)
			return
		}
		s.load.Store(&receivedLoad{l, time.Now()})
	}
	return keeper.NewFollower(store, orchestrator.LoadKey,
		keeper.OnReset(func(records []keeper.Record) {
			for _, r := range records {
				applyRecord(r)
			}
		}),
		keeper.OnEvent(func(ev keeper.Event) {
			if !ev.Deleted {
				applyRecord(ev.Record)
			}
		}),
		keeper.WithFollowerLog(s.log)).Run
}

// probeStore returns a service that calls the key-value store at intervals while
// it is unreachable, so that the entry node notices when it answers again.
func (s *fleetState) probeStore(store *platform.Store) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		ticker := time.NewTicker(probeInterval)
		defer ticker.Stop()
		unreachable := false
		for {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-ticker.C:
			}
			if now := s.StoreIsUnreachable(); now != unreachable {
				unreachable = now
				s.log.Warn("key-value service became unreachable or answers again", "away", unreachable, "silence", s.store.sinceLastAnswer().Round(time.Millisecond).String())
			}
			if !unreachable {
				continue
			}
			probeCtx, cancel := context.WithTimeout(ctx, probeInterval)
			_, _ = store.Get(probeCtx, orchestrator.LoadKey) // the result is not needed: storeHealth, the HTTP transport under the store client, records whether the service answered
			cancel()
		}
	}
}

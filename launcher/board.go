package launcher

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coltsfootlever/coltsfootlever/evacuator"
	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/meter"
	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/orchestrator"
	"github.com/coltsfootlever/coltsfootlever/platform"
)

const (
	acceptShare      = 32                     // one in this many of the free bytes of the leader may be accepted for a customer until the next published load; entry nodes accept at once
	maxLoadAge       = 3 * time.Second        // longer than the interval at which the leader publishes the load plus the time of a change of leader
	unreachableAfter = 400 * time.Millisecond // time without a successful call, while calls fail or have no answer; a slow store answers within 200 ms
	probeInterval    = 300 * time.Millisecond // interval and time-out of probes while the store is unreachable
	neverAnswered    = 24 * time.Hour         // stands for the time since the last answer if there has been none
	maxReadySilence  = 3 * time.Second        // the platform's contact time; the store must have answered within it

	watchesPerEvacuationTime    = 10                     // calls of the watch of the operator's records within platform.Bounds.EvacuationTime, so that a lost one doesn't stop starts
	maxOperatorRecordRetryDelay = 300 * time.Millisecond // no task starts while the operator's records are out of date
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
		accepted acceptedBytes
		store    storeHealth

		evacuationTime time.Duration // see platform.Bounds; 0 if zones can't be evacuated
		now            func() time.Duration
		evacuations    atomic.Pointer[knownEvacuations] // nil before the operator's records have been read
	}

	// acceptedBytes is the memory that the jobs accepted since a published load take up in
	// the leader, by customer.
	acceptedBytes struct {
		mu         sync.Mutex
		since      *receivedLoad
		byCustomer map[string]int64
	}

	// knownEvacuations are the evacuated zones and those restored lately, with the time
	// at which they were last known to be current.
	knownEvacuations struct {
		zones []modeler.Evacuation
		asOf  time.Duration
	}

	// operatorStore is the client of the key-value store for following the operator's
	// records. It remembers when the last list was requested.
	operatorStore struct {
		*platform.Store
		now             func() time.Duration
		listRequestedAt time.Duration
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
		unansweredAt atomic.Int64 // when the first call after the last answer was sent, in ns since processStart; 0 if there has been none
	}
)

// RoundTrip implements http.RoundTripper.
func (h *storeHealth) RoundTrip(r *http.Request) (*http.Response, error) {
	if !platform.IsWatch(r) {
		h.unansweredAt.CompareAndSwap(0, int64(time.Since(processStart)))
	}
	res, err := h.transport.RoundTrip(r)
	if err != nil || res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusTooManyRequests {
		h.failedInARow.Add(1)
		return res, err
	}
	h.failedInARow.Store(0)
	h.unansweredAt.Store(0)
	h.lastAnswer.Store(int64(time.Since(processStart)))
	return res, nil
}

// isSilent reports whether a call has had no answer for longer than unreachableAfter,
// nor any call since.
func (h *storeHealth) isSilent() bool {
	at := h.unansweredAt.Load()
	return at != 0 && time.Since(processStart)-time.Duration(at) > unreachableAfter
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

// ReserveMemory counts a new job of a customer. It returns false if the jobs of the
// customer that this entry node has accepted since the last published load take up their
// share of the leader's free memory. Without a load that is recent, it returns true.
func (s *fleetState) ReserveMemory(customer string, bytes int64) bool {
	l := s.load.Load()
	if l == nil || l.FreeBytes == 0 || time.Since(l.receivedAt) > maxLoadAge {
		return true
	}
	a := &s.accepted
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.since != l {
		a.since, a.byCustomer = l, make(map[string]int64)
	}
	if a.byCustomer[customer] >= l.FreeBytes/acceptShare {
		return false
	}
	a.byCustomer[customer] += bytes
	return true
}

// EvacuatedZones returns the evacuated zones if all zones of the fleet are evacuated, so
// that nothing can start, and nil otherwise. The last published load tells whether there
// are others; an older one than maxLoadAge is ignored, and so is one with a zone that
// has been restored since.
func (s *fleetState) EvacuatedZones() []string {
	l := s.load.Load()
	if l == nil || time.Since(l.receivedAt) > maxLoadAge {
		return nil
	}
	known, _ := s.Evacuations()
	for _, zone := range l.EvacuatedZones {
		if !(evacuator.Zones{Evacuations: known}).IsEvacuated(zone) {
			return nil
		}
	}
	return l.EvacuatedZones
}

// StoreIsUnreachable reports whether calls to the key-value store have
// failed or had no answer for longer than unreachableAfter. A silent store is noticed
// before the first call has run into its time limit: the outcome of a write that was
// sent to it stays unknown, whereas a call that is refused has certainly not run.
func (s *fleetState) StoreIsUnreachable() bool {
	return s.store.isSilent() || s.store.failedInARow.Load() > 0 && s.store.sinceLastAnswer() > unreachableAfter
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

// List implements keeper.Watcher.
func (s *operatorStore) List(ctx context.Context, prefix string) ([]keeper.Record, int64, error) {
	s.listRequestedAt = s.now()
	return s.Store.List(ctx, prefix)
}

// followOperatorRecords returns a service that keeps the manifest, the requested
// maintenance waves and the evacuations up to date.
func (s *fleetState) followOperatorRecords(store *platform.Store) func(ctx context.Context) error {
	opts := []keeper.FollowerOption{keeper.WithFollowerLog(s.log)}
	if s.evacuationTime > 0 {
		store = store.WithOptions(platform.WithWatchWait(s.evacuationTime/watchesPerEvacuationTime), platform.WithWatchConfirmation(s.confirmEvacuations))
		opts = append(opts, keeper.WithMaxRetryDelay(maxOperatorRecordRetryDelay))
	}
	client := &operatorStore{Store: store, now: s.now}
	return keeper.NewFollower(client, platform.OperatorPrefix, append(opts,
		keeper.OnReset(func(records []keeper.Record) {
			for _, r := range records {
				s.applyOperatorRecord(r)
			}
			s.replaceEvacuations(records, client.listRequestedAt)
		}),
		keeper.OnEvent(func(ev keeper.Event) {
			switch {
			case !ev.Deleted:
				s.applyOperatorRecord(ev.Record)
			case platform.IsEvacuationKey(ev.Key):
				s.removeEvacuation(ev.Record)
			}
		}))...).Run
}

// applyOperatorRecord stores the manifest, the maintenance wave or the evacuation that
// a record contains. It ignores a manifest that is not newer than the stored one.
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
	case platform.IsEvacuationKey(r.Key):
		s.addEvacuation(r)
	}
}

// Evacuations returns the evacuated zones and those restored lately, and when they
// were last known to be current, on the boot-time clock. That time is negative before
// the operator's records have been read.
func (s *fleetState) Evacuations() (zones []modeler.Evacuation, asOf time.Duration) {
	if known := s.evacuations.Load(); known != nil {
		return known.zones, known.asOf
	}
	return nil, -1
}

// operatorRecordAge returns how long ago the operator's records were known to be
// current. Before they have been read this is the time since the machine booted.
func (s *fleetState) operatorRecordAge() time.Duration {
	_, asOf := s.Evacuations()
	return s.now() - max(0, asOf)
}

// setEvacuations stores the evacuations. Only the service that follows the operator's
// records calls it.
func (s *fleetState) setEvacuations(zones []modeler.Evacuation, asOf time.Duration) {
	s.evacuations.Store(&knownEvacuations{zones, asOf})
	meter.SetEvacuatedZones(len(evacuator.Zones{Evacuations: zones}.Evacuated()))
}

// confirmEvacuations is called before each call of the watch, and the function that it
// returns when the response has been applied: what is known was current when the call
// was sent.
func (s *fleetState) confirmEvacuations() func() {
	sentAt := s.now()
	return func() {
		if known := s.evacuations.Load(); known != nil {
			s.evacuations.Store(&knownEvacuations{known.zones, sentAt})
		}
	}
}

// replaceEvacuations replaces the evacuations by those in a list of all operator's
// records that was requested at requestedAt.
func (s *fleetState) replaceEvacuations(records []keeper.Record, requestedAt time.Duration) {
	var listed []modeler.Evacuation
	for _, r := range records {
		if !platform.IsEvacuationKey(r.Key) {
			continue
		}
		if e, err := platform.ParseEvacuation(r); err == nil { // addEvacuation has logged an error
			listed = append(listed, e)
		}
	}
	known, asOf := s.Evacuations()
	zones := evacuator.Replace(known, listed, asOf, s.now())
	for _, zone := range (evacuator.Zones{Evacuations: known}).Evacuated() {
		if !(evacuator.Zones{Evacuations: zones}).IsEvacuated(zone) {
			s.log.Info("zone restored: its evacuation is no longer listed", "zone", zone)
		}
	}
	s.setEvacuations(zones, requestedAt)
}

// addEvacuation adds the evacuation that a record requests. It leaves the age of what
// is known as it is.
func (s *fleetState) addEvacuation(r keeper.Record) {
	e, err := platform.ParseEvacuation(r)
	if err != nil {
		s.log.Error("record of an evacuation cannot be parsed and is ignored", "key", r.Key, "revision", r.Revision, "error", err)
		return
	}
	known, asOf := s.Evacuations()
	if !(evacuator.Zones{Evacuations: known}).IsEvacuated(e.Zone) {
		s.log.Info("evacuation of a zone requested by the operator", "zone", e.Zone, "revision", r.Revision)
	}
	s.setEvacuations(evacuator.Add(known, e, asOf, s.now()), asOf)
}

// removeEvacuation removes the evacuation whose record has been deleted.
func (s *fleetState) removeEvacuation(r keeper.Record) {
	e, err := platform.ParseEvacuation(r)
	if err != nil {
		return // it was never added
	}
	known, asOf := s.Evacuations()
	s.log.Info("zone restored by the operator", "zone", e.Zone, "revision", r.Revision)
	s.setEvacuations(evacuator.Remove(known, e.Zone, s.now()), asOf)
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

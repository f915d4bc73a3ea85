package server

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/coltsfootlever/coltsfootlever/admitter"
	"github.com/coltsfootlever/coltsfootlever/meter"
	"github.com/coltsfootlever/coltsfootlever/placer"
)

// entryMetrics are the metrics of an entry.
type entryMetrics struct {
	set              *metrics.Set
	brokenInvariants *metrics.Counter // number of broken invariants
}

func newEntryMetrics() *entryMetrics {
	set := metrics.NewSet()
	return &entryMetrics{set: set, brokenInvariants: set.NewCounter(`coltsfootlever_invariants_broken_total`)}
}

// recordTaskStart records how long a task has waited for its first start.
func (m *entryMetrics) recordTaskStart(o placer.StartObservation) {
	name := fmt.Sprintf(`coltsfootlever_start_wait_seconds{queue=%q,class=%q}`, o.Queue, o.Class)
	m.set.GetOrCreateHistogram(name).Update(o.Waited.Seconds())
}

// withheldStarts returns the counter of starts withheld in a zone.
func (m *entryMetrics) withheldStarts(zone string) *metrics.Counter {
	return m.set.GetOrCreateCounter(withheldStartsName(zone))
}

// recordRequestEnd counts the end of a request and records how long it took.
func (m *entryMetrics) recordRequestEnd(e admitter.RequestEnd) {
	code := "ok"
	verdict := "ran"
	if e.Err != nil {
		code = string(e.Err.Code)
		verdict = e.Err.Verdict.String()
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`coltsfootlever_requests_total{queue=%q,code=%q,verdict=%q}`, e.Queue, code, verdict)).Inc()
	if e.Class == "" {
		return
	}
	name := fmt.Sprintf(`coltsfootlever_request_seconds{queue=%q,class=%q}`, e.Queue, e.Class)
	m.set.GetOrCreateHistogram(name).Update(e.Took.Seconds())
}

// addGauge adds a metric whose value read returns each time the metrics are
// written.
func (m *entryMetrics) addGauge(name string, read func() float64) {
	m.set.GetOrCreateGauge(name, read)
}

// WriteMetrics writes the entry's metrics in the Prometheus text format,
// followed by those of its listeners and of the process.
func (e *Entry) WriteMetrics(w io.Writer) {
	e.metrics.set.WritePrometheus(w)
	meter.Write(w)
	metrics.WriteProcessMetrics(w)
}

// addServiceGauges adds metrics with the state of the entry's services.
func (e *Entry) addServiceGauges() {
	started := time.Now()
	e.metrics.addGauge(`coltsfootlever_up_seconds`, func() float64 { return time.Since(started).Seconds() })
	e.metrics.addGauge(`coltsfootlever_rules_number`, func() float64 { return float64(e.rules.RulesNumber()) })
	e.metrics.addGauge(`coltsfootlever_view_number`, func() float64 { return float64(e.members.View().Number) })
	e.metrics.addGauge(`coltsfootlever_fresh`, func() float64 { return boolToFloat(e.freshness.check() == nil) })
	e.metrics.addGauge(`coltsfootlever_coordinator`, func() float64 { return boolToFloat(e.coordinatorRole.Held()) })
	e.metrics.addGauge(`coltsfootlever_waiting_tasks`, func() float64 { return float64(e.waiting.Len()) })
	e.addEvacuationMetrics()
	e.metrics.addGauge(`coltsfootlever_ring_full_total{ring="placer"}`, func() float64 { return float64(e.placer.EventRingFullCount()) })
}

func boolToFloat(on bool) float64 {
	if on {
		return 1
	}
	return 0
}

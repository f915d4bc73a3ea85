package meter

import (
	"github.com/VictoriaMetrics/metrics"
)

// Paths of calls to workers.
const (
	DirectPath CallPath = "direct"
	RelayPath  CallPath = "relay"
)

// CallPath is the way that a call to a worker takes, as shown in the label "path".
type CallPath string

var (
	workerCallsByPath = map[CallPath]*metrics.Counter{
		DirectPath: metrics.GetOrCreateCounter(`coltsfootlever_worker_calls_total{path="direct"}`),
		RelayPath:  metrics.GetOrCreateCounter(`coltsfootlever_worker_calls_total{path="relay"}`),
	}
	relayBatches  = metrics.GetOrCreateCounter(`coltsfootlever_relay_batches_total`)
	relayMessages = metrics.GetOrCreateCounter(`coltsfootlever_relay_messages_total`)
)

// CountWorkerCall counts a call of the leader to a worker by its path.
func CountWorkerCall(path CallPath) {
	workerCallsByPath[path].Inc()
}

// RecordRelayBatch counts a batch between the leader and a relay, and its calls or
// results.
func RecordRelayBatch(messages int) {
	relayBatches.Inc()
	relayMessages.Add(messages)
}

// SetRelaysInUse sets the number of relays that have workers and are connected.
func SetRelaysInUse(n int) {
	setGauge(`coltsfootlever_relays_in_use`, float64(n))
}

// CountRelayFailover counts workers that the leader has taken over from a relay, by
// the reason.
func CountRelayFailover(reason string, workers int) {
	metrics.GetOrCreateCounter(`coltsfootlever_relay_failovers_total{reason="` + reason + `"}`).Add(workers)
}

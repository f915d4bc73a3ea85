package meter

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Path is where the metrics are served.
const Path = "/metrics"

// buckets of all durations, in seconds: from an answer in memory to the longest
// time that a caller waits.
var buckets = []float64{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5}

// The outcomes of calls to the store and to workers.
const (
	OK          Outcome = "ok"
	Conflict    Outcome = "conflict"
	Unavailable Outcome = "unavailable" // certainly not done
	Unknown     Outcome = "unknown"     // may have been done, then or later
	Refused     Outcome = "refused"
)

// Outcome is how a call ended.
type Outcome string

// Call counts a caller's call.
func Call(method string, status int, took time.Duration) {
	count(`coltsfootlever_calls_total{method=%q,status=%q}`, method, strconv.Itoa(status))
	observe(`coltsfootlever_call_seconds{method=%q}`, took, method)
}

// Refusal counts a call that was refused, by reason.
func Refusal(reason string) {
	count(`coltsfootlever_refusals_total{reason=%q}`, reason)
}

// Accepted counts a job that was stored.
func Accepted(queue string) {
	count(`coltsfootlever_jobs_accepted_total{queue=%q}`, queue)
}

// Ended counts a job that has ended.
func Ended(queue, outcome string, took time.Duration) {
	count(`coltsfootlever_jobs_ended_total{queue=%q,outcome=%q}`, queue, outcome)
	observe(`coltsfootlever_job_seconds{queue=%q}`, took, queue)
}

// Start counts an order to run a task.
func Start(o Outcome, took time.Duration) {
	count(`coltsfootlever_starts_total{outcome=%q}`, string(o))
	observe(`coltsfootlever_start_seconds`, took)
}

// RunEnded counts the end of a run, by its kind.
func RunEnded(how string) {
	count(`coltsfootlever_runs_ended_total{how=%q}`, how)
}

// Look counts a look at a worker.
func Look(o Outcome, took time.Duration) {
	count(`coltsfootlever_looks_total{outcome=%q}`, string(o))
	observe(`coltsfootlever_look_seconds`, took)
}

// Commit counts a transaction of the leader.
func Commit(o Outcome, took time.Duration) {
	count(`coltsfootlever_commits_total{outcome=%q}`, string(o))
	observe(`coltsfootlever_commit_seconds`, took)
}

// Waiting sets the number of jobs of a queue of which no task has started.
func Waiting(queue string, n int) {
	gauge(fmt.Sprintf(`coltsfootlever_jobs_waiting{queue=%q}`, queue), float64(n))
}

// Leading sets the fencing token of the entry's term, 0 while another leads.
func Leading(token int64) {
	gauge(`coltsfootlever_leader_token`, float64(token))
}

// Manifest sets the version of the manifest in force.
func Manifest(version int64) {
	gauge(`coltsfootlever_manifest_version`, float64(version))
}

// DroppedLines reads the number of log lines that were dropped from fn.
func DroppedLines(fn func() uint64) {
	metrics.GetOrCreateGauge(`coltsfootlever_log_lines_dropped`, func() float64 { return float64(fn()) })
}

// Write writes all metrics.
func Write(w io.Writer) {
	metrics.WritePrometheus(w, false)
}

// Handler serves the metrics.
func Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { Write(w) })
}

func count(format string, labels ...any) {
	metrics.GetOrCreateCounter(fmt.Sprintf(format, labels...)).Inc()
}

func observe(format string, took time.Duration, labels ...any) {
	metrics.GetOrCreatePrometheusHistogramExt(fmt.Sprintf(format, labels...), buckets).Update(took.Seconds())
}

func gauge(name string, value float64) {
	metrics.GetOrCreateGauge(name, nil).Set(value)
}

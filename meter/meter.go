package meter

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Path is the URL path of the metrics.
const Path = "/metrics"

const otherMethod = "other" // label of the methods that callers have no use for

// bucketSeconds are the upper bounds of the buckets of all duration histograms, in
// seconds. They range from a call answered from memory to the longest time that a
// caller waits.
var bucketSeconds = []float64{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5}

// Outcomes of calls to the key-value store and to workers.
const (
	OK          Outcome = "ok"
	Conflict    Outcome = "conflict"
	Unavailable Outcome = "unavailable" // the call had no effect
	Unknown     Outcome = "unknown"     // the call may have had an effect, or may still have one
	Refused     Outcome = "refused"
	Rejected    Outcome = "rejected" // invalid, the same call will be rejected again
)

// Outcome is the result of a call to the key-value store or to a worker, as shown
// in the label "outcome".
type Outcome string

// RecordCall counts a caller's HTTP request by method and status code, and records
// its duration. Methods that callers have no use for are counted together.
func RecordCall(method string, status int, took time.Duration) {
	switch method {
	case http.MethodGet, http.MethodPost, http.MethodDelete:
	default:
		method = otherMethod // clients choose the text
	}
	incrementCounter(`coltsfootlever_calls_total{method=%q,status=%q}`, method, strconv.Itoa(status))
	recordDuration(`coltsfootlever_call_seconds{method=%q}`, took, method)
}

// CountRefusal counts a refused call by the reason of the refusal.
func CountRefusal(reason string) {
	incrementCounter(`coltsfootlever_refusals_total{reason=%q}`, reason)
}

// CountAcceptedJob counts a job that was accepted and stored.
func CountAcceptedJob(queue string) {
	incrementCounter(`coltsfootlever_jobs_accepted_total{queue=%q}`, queue)
}

// RecordEndedJob counts a job that has ended, by outcome, and records the time from
// its acceptance until its outcome was stored.
func RecordEndedJob(queue, outcome string, took time.Duration) {
	incrementCounter(`coltsfootlever_jobs_ended_total{queue=%q,outcome=%q}`, queue, outcome)
	recordDuration(`coltsfootlever_job_seconds{queue=%q}`, took, queue)
}

// RecordTaskStart counts a start request for a task sent to a worker, by outcome,
// and records the time from the request to its result.
func RecordTaskStart(o Outcome, took time.Duration) {
	incrementCounter(`coltsfootlever_starts_total{outcome=%q}`, string(o))
	recordDuration(`coltsfootlever_start_seconds`, took)
}

// CountEndedRun counts the end of a run of a task by the kind of end, such as
// "done" or "failed".
func CountEndedRun(endKind string) {
	incrementCounter(`coltsfootlever_runs_ended_total{how=%q}`, endKind)
}

// CountLostRun counts a run that ended together with its worker, by the reason for
// which it is known to have ended.
func CountLostRun(reason string) {
	incrementCounter(`coltsfootlever_runs_lost_total{reason=%q}`, reason)
}

// CountWorkerCrash counts a worker that crashed while it ran tasks.
func CountWorkerCrash() {
	incrementCounter(`coltsfootlever_worker_crashes_total`)
}

// CountTaskGivenUp counts a task that is given up because its workers crashed.
func CountTaskGivenUp() {
	incrementCounter(`coltsfootlever_tasks_given_up_total`)
}

// Outcomes of waits for a preferred location.
const (
	WaitBegun   LocationWait = "begun"
	WaitPaid    LocationWait = "paid"     // the task started there
	WaitGivenUp LocationWait = "given-up" // it started elsewhere
)

// LocationWait tells what happened to a wait of a task for its preferred location.
type LocationWait string

// CountLocationWait counts the beginning or the end of a wait of a task for its
// preferred location.
func CountLocationWait(w LocationWait) {
	incrementCounter(`coltsfootlever_location_waits_total{result=%q}`, string(w))
}

// RecordWorkerPoll counts a request for the status of a worker, by outcome, and
// records its duration.
func RecordWorkerPoll(o Outcome, took time.Duration) {
	incrementCounter(`coltsfootlever_looks_total{outcome=%q}`, string(o))
	recordDuration(`coltsfootlever_look_seconds`, took)
}

// RecordAdviceCall counts a call to the advice service, by outcome, and records its
// duration.
func RecordAdviceCall(o Outcome, took time.Duration) {
	incrementCounter(`coltsfootlever_advice_calls_total{outcome=%q}`, string(o))
	recordDuration(`coltsfootlever_advice_call_seconds`, took)
}

// RecordCommit counts a key-value store transaction of the leader, by outcome, and
// records its duration.
func RecordCommit(o Outcome, took time.Duration) {
	incrementCounter(`coltsfootlever_commits_total{outcome=%q}`, string(o))
	recordDuration(`coltsfootlever_commit_seconds`, took)
}

// SetWaitingJobs sets the number of jobs in a queue that have no started task.
func SetWaitingJobs(queue string, n int) {
	setGauge(fmt.Sprintf(`coltsfootlever_jobs_waiting{queue=%q}`, queue), float64(n))
}

// SetSurgeExpected sets whether a pool prepares for a recurring surge of its demand.
func SetSurgeExpected(pool string, expected bool) {
	value := 0.0
	if expected {
		value = 1
	}
	setGauge(fmt.Sprintf(`coltsfootlever_surge_expected{pool=%q}`, pool), value)
}

// SetSlowWorkers sets the number of workers that are slower than others of their pool.
func SetSlowWorkers(n int) {
	setGauge(`coltsfootlever_slow_workers`, float64(n))
}

// SetLeaderToken sets the fencing token of this entry's term as leader. It is 0
// while this entry is not the leader.
func SetLeaderToken(token int64) {
	setGauge(`coltsfootlever_leader_token`, float64(token))
}

// SetManifestVersion sets the version of the manifest in force.
func SetManifestVersion(version int64) {
	setGauge(`coltsfootlever_manifest_version`, float64(version))
}

// SetEvacuatedZones sets the number of evacuated zones that this entry knows of.
func SetEvacuatedZones(n int) {
	setGauge(`coltsfootlever_evacuated_zones`, float64(n))
}

// CountWithheldStart counts a start of a task that was withdrawn or held back because
// of the evacuation of a zone. zone is that of the worker.
func CountWithheldStart(zone string) {
	incrementCounter(`coltsfootlever_starts_withheld_total{zone=%q}`, zone)
}

// ExportOperatorRecordAge adds a metric for the time since the operator's records were
// last known to be current, in seconds, which is read from fn each time the metrics
// are written.
func ExportOperatorRecordAge(fn func() time.Duration) {
	metrics.GetOrCreateGauge(`coltsfootlever_operator_records_age_seconds`, func() float64 { return fn().Seconds() })
}

// CountBrokenOffBody counts a request body whose reading was broken off.
func CountBrokenOffBody(reason string) {
	incrementCounter(`coltsfootlever_bodies_broken_off_total{reason=%q}`, reason)
}

// CountRequestWithoutRoom counts a request that was refused because bodies take up the
// memory that is kept for them.
func CountRequestWithoutRoom() {
	incrementCounter(`coltsfootlever_requests_without_room_total`)
}

// CountClosedConnection counts a connection that a listener closed, by the reason.
func CountClosedConnection(listener, reason string) {
	incrementCounter(`coltsfootlever_connections_closed_total{listener=%q,reason=%q}`, listener, reason)
}

// ExportOpenConnections adds a metric for the number of open connections of a listener,
// whose value is read from fn each time the metrics are written.
func ExportOpenConnections(listener string, fn func() int) {
	metrics.GetOrCreateGauge(fmt.Sprintf(`coltsfootlever_connections{listener=%q}`, listener), func() float64 { return float64(fn()) })
}

// ExportBodyBytes adds a metric for the bytes that are held for request bodies, whose
// value is read from fn each time the metrics are written.
func ExportBodyBytes(fn func() int64) {
	metrics.GetOrCreateGauge(`coltsfootlever_body_bytes`, func() float64 { return float64(fn()) })
}

// ExportDroppedLines adds a metric for the number of dropped log lines, whose value
// is read from fn each time the metrics are written.
func ExportDroppedLines(fn func() uint64) {
	metrics.GetOrCreateGauge(`coltsfootlever_log_lines_dropped`, func() float64 { return float64(fn()) })
}

// Write writes all metrics in the Prometheus text format.
func Write(w io.Writer) {
	metrics.WritePrometheus(w, false)
}

// Handler returns an HTTP handler that serves the metrics.
func Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { Write(w) })
}

func incrementCounter(format string, labels ...any) {
	metrics.GetOrCreateCounter(fmt.Sprintf(format, labels...)).Inc()
}

func recordDuration(format string, took time.Duration, labels ...any) {
	metrics.GetOrCreatePrometheusHistogramExt(fmt.Sprintf(format, labels...), bucketSeconds).Update(took.Seconds())
}

func setGauge(name string, value float64) {
	metrics.GetOrCreateGauge(name, nil).Set(value)
}

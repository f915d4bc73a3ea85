// Package meter holds the metrics of an entry process, such as the counts and
// durations of calls, jobs and transactions, and serves them in the Prometheus
// text format.
package meter

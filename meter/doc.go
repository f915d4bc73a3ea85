// Package meter counts what an entry does and how long it takes, in the
// Prometheus text format.
package meter

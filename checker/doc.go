// Package checker checks the invariants of the system against the events that
// workers, the key-value service, the instance list and callers observed. It
// only keeps state and compares: it makes no call, reads no clock and starts no
// goroutine, so tests, the demo and long randomised runs can all use it.
package checker

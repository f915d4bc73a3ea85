// Package orchestrator leads the fleet for one term: it reads the jobs from the
// key-value service, starts their tasks on workers, notes their ends and ends
// what is cancelled. All decisions are taken in one goroutine; calls to
// workers and to the service run beside it and report back through a ring.
package orchestrator

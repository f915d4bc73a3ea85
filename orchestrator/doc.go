// Package orchestrator contains the engine with which the leader runs the fleet
// during one term. It reads the jobs from the key-value store, starts their
// tasks on workers, records how the runs end and stops cancelled jobs. It also
// moves instances between pools and has them maintained. An event loop in a
// single goroutine makes all decisions; calls to workers and to the store run
// in background goroutines, which pass their results to the event loop through
// a bounded queue.
package orchestrator

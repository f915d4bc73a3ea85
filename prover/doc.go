// Package prover runs several entries with their production code, in virtual
// time and against emulated platform services with injected faults, while a
// checker verifies the invariants. It is meant for tests in a testing/synctest
// bubble.
package prover

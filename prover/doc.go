// Package prover runs several entries as shipped, in virtual time, over
// stand-ins that show the platform's faults, and has a checker watch what must
// always hold. It is meant for tests in a testing/synctest bubble.
package prover

// Package granter splits each team's upper limit into grants. The grants of a
// team are one ledger record, changed only by compare-and-swap, and their sum
// never exceeds the limit. An entry starts a task only against a grant it
// holds.
package granter

// Package refuser decides which callers' new jobs an overloaded pool can't serve
// in time, so that they are refused at once. Its functions depend on their
// arguments only.
package refuser

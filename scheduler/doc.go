// Package scheduler decides, within one entry (a server process of
// coltsfootlever), which waiting request starts next and on which worker. It
// only computes: callers pass in the state and carry out the decisions. Apart
// from reading the clock, it does no input or output.
package scheduler

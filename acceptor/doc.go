// Package acceptor answers callers who hand in jobs of steps, ask for their
// state and cancel them. A job is accepted once it is stored; the leader finds
// it there.
package acceptor

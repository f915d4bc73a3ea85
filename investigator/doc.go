// Package investigator decides which tasks are to blame for crashes of workers. Its
// functions depend on their arguments only.
//
// The load it answers: a few tasks crash each worker that starts them, and each
// crash ends a dozen tasks that are not to blame. A count of crashes would give all of
// these up, because tasks that are lost together are placed together again.
package investigator

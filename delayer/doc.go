// Package delayer decides whether a task waits for a worker near its data although
// others have room: delay scheduling (Zaharia et al., EuroSys 2010), with a wait that
// follows from what occupies the location. Its functions depend on their arguments
// only.
package delayer

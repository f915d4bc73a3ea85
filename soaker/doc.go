// Package soaker runs the real program as several processes on this machine
// against an emulated platform, injects faults into the processes, their
// connections and the platform, and checks the guarantees given to callers and
// customers by what callers and workers observe.
package soaker

// Package emulator holds small in-process stand-ins for the platform: the
// key-value service, the workers and the instance list, each with the faults
// that the real ones show. Every stand-in has the methods of the client that
// speaks to the real service, and an HTTP handler of the published interface.
package emulator

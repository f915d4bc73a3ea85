// Package connector is an HTTP/1.1 transport for many short calls to many hosts.
// A call is written and its response is read in the goroutine of the caller, so
// that a connection needs no goroutines of its own.
package connector

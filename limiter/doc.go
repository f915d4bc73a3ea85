// Package limiter keeps what clients can make a process hold within bounds: the
// bytes of request bodies (Budget) and the time that a body may take.
package limiter

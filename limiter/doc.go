// Package limiter keeps what clients can make a process hold within bounds: the
// bytes of request bodies (Budget), the open connections (Listener), and the time
// that a header, a body, an answer or an idle connection may take.
package limiter

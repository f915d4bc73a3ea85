// Package checker checks what must always hold, from what workers, the
// key-value service, the instance list and callers saw. It keeps books and does
// nothing else: it makes no call, reads no clock and starts no goroutine, so it
// runs beside tests, the demo and long randomised runs alike.
package checker

// Package excluder keeps the record of the availability zones that operators
// have evacuated. No entry starts work on an instance of such a zone. The record
// is changed only by compare-and-swap. Each entry reads it every second, from its
// peers while the key-value service does not answer, and starts nothing while it
// cannot tell whether it has the latest one.
package excluder

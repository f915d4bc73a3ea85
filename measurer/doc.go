// Package measurer runs whole entries over stand-ins at several sizes of the
// fleet and measures what control costs each entry: messages, bytes, calls of
// the key-value service, processor time and memory. It fits slopes to the
// results. Runs belong into a testing/synctest bubble.
package measurer

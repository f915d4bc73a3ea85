// Package keeper keeps the system's lasting records in the platform's
// key-value service. It holds the record types, the client for the service's
// published HTTP interface and Update, the compare-and-swap loop that survives
// answers lost after a write.
package keeper

// Package keeper stores the system's persistent records in the platform's
// key-value service, which has the interface of etcd. It contains the record
// types, a client for the JSON gateway of the service, a follower that keeps a
// copy of records up to date, a lock based on a lease, and Update, a
// compare-and-swap loop that finds out whether a write took effect when the
// answer to it was lost.
package keeper

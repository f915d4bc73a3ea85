// Package elector elects one entry node at a time as the leader of the fleet.
// The leader holds a record in the key-value store under a lease; the revision
// at which the record was created is the fencing token of the leader's term.
package elector

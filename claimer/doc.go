// Package claimer makes sure that a non-idempotent request runs at most once.
// The caller gives such a request a name, which acts as an idempotency key, and
// an entry must claim the name for its task before the task may start. A claim
// is granted to one task at most.
//
// Every name has a home, which is the active member of the membership view that
// rendezvous hashing selects for it. The home keeps the names that it has granted
// in memory. When a new view gives names another home, the old home hands them
// over to the new one. When a task has ended, the claimant settles its claim: it
// tells the home whether the task has run.
//
// The verdict not-run from this package means that the task of the present
// request has not started. It says nothing about earlier requests with the same
// name; their own answers tell whether they ran.
package claimer

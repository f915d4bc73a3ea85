// Package claimer makes sure that a non-idempotent request runs at most once.
// The caller gives such a request an idempotency key, which this package calls the
// name of the request. An entry must claim the name for its task before the task
// may start. A claim is granted to one task at most.
//
// The home of a name is the member that records the use of this idempotency key:
// the active member of the membership view that rendezvous hashing selects. It
// keeps the names that it has granted in memory. When a new view gives names another home, the old home hands them
// over to the new one. When a task has ended, the claimant settles its claim: it
// tells the home whether the task has run.
//
// The verdict not-run from this package means that the task of the present
// request has not started. It says nothing about earlier requests with the same
// name; their own answers tell whether they ran.
package claimer

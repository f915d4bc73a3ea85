// Package claimer grants each name of a non-idempotent request to one task at
// most. Every name has a home among the active members of a membership view,
// found by rendezvous hashing. The home keeps the names that it granted in
// memory and hands them over when a change of view moves them.
//
// A verdict of not-run from this package is about the request at hand: its
// task has not been started. Whether an earlier request under the same name
// ran is told by that request's own answer.
package claimer

// Package mover manages the instances of the fleet. It keeps one record for
// each instance in the key-value store, assigns each instance to an owning
// member, and carries out drains, reboots, moves between pools, lending of
// spare instances and maintenance roll-outs.
package mover

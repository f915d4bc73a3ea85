// Package mover keeps one record for each instance of the fleet and takes
// instances through drains, reboots, moves between pools and changes of owner.
package mover

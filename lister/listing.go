// Package lister reads the platform's lagging list of live and leaving
// instances and asks the platform to reboot one.
package lister

// Kinds and states of listed instances.
const (
	WorkerKind Kind  = "worker"
	EntryKind  Kind  = "entry"
	Live       State = "live"
	Leaving    State = "leaving"
)

type (
	// Listing is one line of the platform's instance list. An instance that
	// has failed or is gone is not listed.
	Listing struct {
		ID      string `json:"id"`
		Kind    Kind   `json:"kind"`
		Address string `json:"address"` // IP number and port
		Zone    string `json:"zone"`
		Rack    string `json:"rack"`
		Slots   int    `json:"slots"`
		Pool    string `json:"pool"` // pool in which the platform first placed the instance
		State   State  `json:"state"`
		Boots   int    `json:"boots"` // reboots completed
	}

	// Kind is the kind of an instance.
	Kind string

	// State is the state of an instance in the list.
	State string
)

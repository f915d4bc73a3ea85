// Package lister reads the platform's list of live and leaving instances, which
// may be out of date, and asks the platform to reboot an instance.
package lister

// Kinds and states of the instances in the list.
const (
	WorkerKind Kind  = "worker"
	EntryKind  Kind  = "entry"
	Live       State = "live"
	Leaving    State = "leaving"
)

type (
	// Listing is one element of the platform's instance list. Instances that have
	// failed or have been removed are not in the list.
	Listing struct {
		ID      string `json:"id"`
		Kind    Kind   `json:"kind"`
		Address string `json:"address"` // IP address and port
		Zone    string `json:"zone"`
		Rack    string `json:"rack"`
		Slots   int    `json:"slots"`
		Pool    string `json:"pool"` // the pool to which the platform first assigned the instance
		State   State  `json:"state"`
		Boots   int    `json:"boots"` // number of completed reboots
	}

	// Kind says whether an instance is a worker or an entry, a server of the
	// cluster.
	Kind string

	// State is the state of an instance in the list.
	State string
)

package lister

import "github.com/juju/errors"

// Errors of the platform's instance list.
const (
	// ErrUnavailable reports that the platform was not reached or refused.
	// Nothing was done.
	ErrUnavailable = errors.ConstError("instance list unavailable")
	// ErrUnknown reports that the answer to a reboot was lost. The reboot may
	// take place.
	ErrUnknown = errors.ConstError("outcome of the reboot unknown")
	// ErrNotFound reports that the platform has no such instance.
	ErrNotFound = errors.ConstError("no such instance")
)

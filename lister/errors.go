package lister

import "github.com/juju/errors"

// Errors of calls to the platform's instance list.
const (
	// ErrUnavailable reports that the platform could not be reached, refused the
	// call, or returned an unreadable list. No reboot was started.
	ErrUnavailable = errors.ConstError("instance list unavailable")
	// ErrUnknown reports that the response to a reboot request was lost. The
	// instance may be rebooted.
	ErrUnknown = errors.ConstError("outcome of the reboot unknown")
	// ErrNotFound reports that the platform has no instance with this ID.
	ErrNotFound = errors.ConstError("no such instance")
)

package modeler

import "github.com/juju/errors"

// Refusals of workers and of the platform. The order has not been carried out
// and never will be.
const (
	// ErrFenced reports that a higher fencing token has been seen.
	ErrFenced = errors.ConstError("a higher fencing token has been used")
	// ErrOldRun reports that the worker has seen the run, or a later one, end.
	ErrOldRun = errors.ConstError("the run is not higher than one that ended there")
	// ErrLate reports that the lease of the order was over when it arrived.
	ErrLate = errors.ConstError("the lease was over on arrival")
	// ErrNoRoom reports that the worker's capacity does not hold the task.
	ErrNoRoom = errors.ConstError("no room on the worker")
	// ErrNoTicket reports that the worker wants another ticket.
	ErrNoTicket = errors.ConstError("the ticket does not hold on the worker")
	// ErrOtherLife reports that another worker answers at the address.
	ErrOtherLife = errors.ConstError("another worker answers at the address")
	// ErrUnhealthy reports that the worker takes nothing on for now.
	ErrUnhealthy = errors.ConstError("the worker takes nothing on")
	// ErrBusy reports that the instance is not up, or about to leave.
	ErrBusy = errors.ConstError("the instance is busy")
	// ErrNotInWave reports that the instance does not belong to the wave.
	ErrNotInWave = errors.ConstError("the instance is not of the wave")
	// ErrThrottled reports that the platform takes no more such calls for now.
	ErrThrottled = errors.ConstError("too many calls to the platform")
	// ErrRejected reports an order that the other side cannot read or follow.
	ErrRejected = errors.ConstError("order rejected")
)

package modeler

import "github.com/juju/errors"

// Errors with which workers and the platform refuse an order. A refused order
// has not been carried out and never will be.
const (
	// ErrFenced reports that the receiver has already seen a higher fencing
	// token.
	ErrFenced = errors.ConstError("a higher fencing token has been used")
	// ErrStaleRun reports that the run, or a later run of the same task, has
	// already ended on the worker.
	ErrStaleRun = errors.ConstError("this run or a later run of the task has already ended on the worker")
	// ErrLeaseExpired reports that the lease in the order had expired when the
	// order arrived.
	ErrLeaseExpired = errors.ConstError("the lease had expired on arrival of the order")
	// ErrInsufficientCapacity reports that the worker has too little free
	// capacity for the task.
	ErrInsufficientCapacity = errors.ConstError("no room on the worker: its free capacity is too small for the task")
	// ErrInvalidTicket reports that the worker does not accept the placement
	// ticket in the order.
	ErrInvalidTicket = errors.ConstError("the worker does not accept the placement ticket")
	// ErrOtherWorker reports that a different worker now answers at the address.
	ErrOtherWorker = errors.ConstError("a different worker answers at the address")
	// ErrUnhealthy reports that the worker is unhealthy and accepts no tasks
	// for now.
	ErrUnhealthy = errors.ConstError("the worker is unhealthy and takes on no tasks")
	// ErrInstanceBusy reports that the instance is not up, or that it is about
	// to be moved or maintained.
	ErrInstanceBusy = errors.ConstError("the instance is busy: it is not up or is about to leave service")
	// ErrNotInWave reports that the instance does not belong to the maintenance
	// wave.
	ErrNotInWave = errors.ConstError("the instance does not belong to the maintenance wave")
	// ErrThrottled reports that the platform rejects further calls of this kind
	// for now.
	ErrThrottled = errors.ConstError("too many calls to the platform")
	// ErrRejected reports that the receiver cannot parse or carry out the order.
	ErrRejected = errors.ConstError("order rejected")
)

package limiter

import (
	"math"
	"net"
	"syscall"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

const (
	reservedDescriptors = 200 // for files
	connMemoryShare     = 8   // connections may take the machine's memory divided by this
)

// Sockets returns how many sockets a process may have open at once: its descriptors less
// those that are reserved for files. If descriptors is 0, the limit of the process applies.
func Sockets(descriptors int64) int {
	if descriptors <= 0 {
		var limit unix.Rlimit
		if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
			limit.Cur = 1024 // the usual limit
		}
		descriptors = int64(min(limit.Cur, math.MaxInt32))
	}
	return int(max(descriptors-reservedDescriptors, descriptors/2))
}

// ConnMemory returns the memory for connections in bytes on a machine with the given
// memory in MB. If that is 0, 512 MB are assumed.
func ConnMemory(memoryMB int64) int64 {
	if memoryMB <= 0 {
		memoryMB = defaultMemory
	}
	return memoryMB << 20 / connMemoryShare
}

// setBuffers sets the buffers of the connections that l will accept.
func setBuffers(l net.Listener, n int) error {
	socket, ok := l.(syscall.Conn)
	if !ok {
		return errors.NotSupportedf("buffers of a %T", l)
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return errors.Trace(err)
	}
	controlErr := raw.Control(func(fd uintptr) {
		if err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, n); err == nil {
			err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, n)
		}
	})
	if controlErr != nil {
		return errors.Trace(controlErr)
	}
	return errors.Trace(err)
}

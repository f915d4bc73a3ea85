// Package crowder starts the real program as a process against an emulated platform,
// connects a crowd of clients that misbehave, and measures the memory and the open file
// descriptors of the process and whether it answers an ordinary caller.
package crowder

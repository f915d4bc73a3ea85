// Package emulator emulates the services of the platform in process for tests and
// demonstrations: the key-value service, the workers and the service that lists
// instances. Each emulator can inject the faults that the real service shows. It
// has the methods of the client of the real service, and an HTTP handler that
// serves the published interface.
package emulator

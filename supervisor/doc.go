// Package supervisor starts and stops the services of an entry process. It lets
// them find each other by name and provides bounded queues for the messages
// between them.
package supervisor

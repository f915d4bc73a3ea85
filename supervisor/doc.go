// Package supervisor is the micro-kernel of the entry daemon: it starts and
// stops services, lets them find each other by name and gives them bounded
// rings to talk through.
package supervisor

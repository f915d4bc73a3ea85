// Package launcher builds an entry node from its settings file and runs it. An
// entry node is one process of the manager on the customer's platform: it serves
// callers, and one of the entry nodes also leads the fleet.
package launcher

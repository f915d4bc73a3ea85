// Package launcher assembles an entry that runs on the users' platform and runs
// it from its settings file.
package launcher

// Package acceptor is the HTTP interface through which callers submit jobs that
// consist of steps, query their state and cancel them. A job is accepted once
// it is stored in the key-value service, where the leader reads it.
package acceptor

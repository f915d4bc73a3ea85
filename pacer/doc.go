// Package pacer decides how much to slow down the tasks that run on unused CPU
// time, so that tasks with a latency target on the same worker meet their
// targets. Its functions depend on their arguments only.
package pacer

// Package timekeeper tells the time of day without the jumps of the machine's
// clock.
package timekeeper

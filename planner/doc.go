// Package planner decides which instances to drain next in a roll-out and when
// a spare pool lends instances to other pools. It neither reads the clock nor
// has side effects: callers pass in the state and the time.
package planner

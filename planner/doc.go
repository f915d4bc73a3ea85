// Package planner decides which instances to take out of service next in a
// roll-out and when the spare pool lends instances. It is pure: state and time
// go in, decisions come out.
package planner

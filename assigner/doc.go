// Package assigner decides which waiting task comes next and which worker gets
// it. Its functions are pure: what they know is in their arguments.
package assigner

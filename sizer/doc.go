// Package sizer decides how many instances each pool should have and which
// instances to move between pools. Its functions depend on their arguments
// only.
package sizer

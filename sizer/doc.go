// Package sizer decides how many instances each pool should have and which
// pools give instances to which others. Its functions are pure.
package sizer

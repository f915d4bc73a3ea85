// Package maintainer decides which instances of a wave are prepared for their
// maintenance next. Its functions are pure.
package maintainer

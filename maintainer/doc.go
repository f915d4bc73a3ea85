// Package maintainer chooses the instances of a maintenance wave whose
// maintenance starts next. A wave is a set of instances that must all be
// maintained before a deadline. The functions of this package have no side
// effects.
package maintainer

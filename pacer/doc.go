// Package pacer slows down tasks that use what others leave, as far as the
// tasks beside them need it. Its functions are pure.
package pacer

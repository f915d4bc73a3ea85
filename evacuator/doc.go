// Package evacuator decides which workers may be used while availability zones are
// evacuated, and at what rate a restored zone returns to use. Its functions depend on
// their arguments only.
package evacuator

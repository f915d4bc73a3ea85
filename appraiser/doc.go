// Package appraiser measures how fast workers run tasks. Its functions depend on their
// arguments only.
//
// The load it answers: a fifth of the workers of a pool are several times slower than
// the others, whatever their registration says.
package appraiser

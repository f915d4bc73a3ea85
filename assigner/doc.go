// Package assigner decides which waiting job starts next and which worker runs
// its tasks. Its functions depend on their arguments only.
package assigner

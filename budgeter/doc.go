// Package budgeter bounds how many instances of a pool, zone or rack are out
// of service at once. All absences are one record, changed only by
// compare-and-swap, so that writers that race or were paused cannot overdraw a
// budget.
package budgeter

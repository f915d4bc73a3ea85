// Package budgeter limits how many instances of a pool, zone or rack are out of
// service at once. A budget is such a limit; an absence is an instance that is
// out of service. All absences are in one record of the key-value store, which
// is changed only by compare-and-swap. Thus writers that race, or that were
// paused between reading and writing, cannot exceed a budget.
package budgeter

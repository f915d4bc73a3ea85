// Package reporter reports how well the queues meet their service level
// objectives and how close the slots that each team runs are to its fair share.
// A Meter in each entry counts answers; the counts of all entries are merged
// into one report.
package reporter

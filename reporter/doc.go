// Package reporter reports how well the objectives of the queues are met and
// how near each team comes to its share. Meters count in each entry; their
// counts are merged into one report.
package reporter

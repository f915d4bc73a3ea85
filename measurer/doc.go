// Package measurer measures how the cost of running an entry grows with the size
// of the fleet. It runs complete entries over an emulated platform at several
// fleet sizes and measures for each entry the messages to other entries, the
// bytes sent and received, the calls of the key-value service, the CPU time and
// the memory. It then computes by linear regression how much each value grows for
// each further entry, worker, pool or team. Runs must be made inside a
// testing/synctest bubble, so that time in the entries is simulated.
package measurer

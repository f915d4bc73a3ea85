// Package throttler adapts a process's calls to how long they take. The time
// limit of a call follows the measured response times, as TCP's retransmission
// timeout does (RFC 6298), and the number of calls in flight rises slowly and
// falls fast, as TCP's congestion window does (RFC 5681). A process with little
// processor time or bandwidth so makes fewer calls instead of giving up most of
// them.
package throttler

// Package scheduler decides inside one entry which waiting request starts next
// and on which worker. It is pure: state and time go in, decisions come out.
package scheduler

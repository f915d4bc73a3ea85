// Package elector lets one entry at a time lead the fleet. Leadership is a
// record of the key-value service under a lease; the revision at which it was
// taken is the fencing token of the term.
package elector

// Package inquirer paces the calls to a service that handles the calls of a client
// one at a time. No more calls are under way than the service can answer before they
// time out, since a service goes on with calls that were given up, and a client
// that gives up and repeats calls which wait there keeps it busy for nobody.
package inquirer

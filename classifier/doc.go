// Package classifier classifies failures by whether the failed request may have
// run. Every failure carries this Verdict across process boundaries: in Go errors,
// in the gRPC messages between entries (the servers of the cluster) and in the
// HTTP responses to callers. Code that retries or forwards a request decides by
// the verdict, never by the text of an error.
package classifier

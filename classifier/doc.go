// Package classifier classifies failures by whether the request behind them
// may have run. A Verdict crosses every boundary of the system: Go errors, the
// gRPC messages between entries and the HTTP answers to callers. Retries and
// forwards ask the verdict, never the text of an error.
package classifier

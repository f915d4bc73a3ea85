// Package logger writes log lines without blocking the code that logs. Lines wait
// in a bounded buffer until they are written; lines that do not fit into the
// buffer are dropped and counted.
package logger

// Package logger writes log lines without ever delaying those who log: lines
// wait in a bounded buffer, and what finds it full is dropped and counted.
package logger

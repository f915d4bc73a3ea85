// Package relayer lets other entry nodes carry the leader's calls to workers.
// Client implements orchestrator.Workers on the leader: it sends the calls to the
// workers of a relay in batches over one gRPC stream, and all others directly.
// Server is the relay's side. Only the leader decides which relay serves a worker
// (Assign); a relay carries out what it receives and keeps no state beyond its
// streams.
package relayer

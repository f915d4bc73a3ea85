package crowder

import (
	"slices"
	"time"
)

// crowds are the crowds that Crowds returns. The bodies are as large as the listeners
// accept.
var crowds = []Crowd{
	{Name: "run-bodies", Program: RunProgram, Listener: Callers, Content: Bodies, Count: 600, BodyBytes: maxBody, ShortBytes: 64},
	{Name: "run-pieces", Program: RunProgram, Listener: Callers, Content: Bodies, Count: 600, BodyBytes: maxBody, ShortBytes: 64, PieceBytes: 8 << 10, Pace: 5 * time.Millisecond},
	{Name: "run-large-chunks", Program: RunProgram, Listener: Callers, Content: Bodies, Count: 600, BodyBytes: maxBody, ShortBytes: 64, ChunkBytes: 64 << 10},
	{Name: "run-small-chunks", Program: RunProgram, Listener: Callers, Content: Bodies, Count: 600, BodyBytes: maxBody, ShortBytes: 64, ChunkBytes: 8},
	{Name: "run-bodies-again", Program: RunProgram, Listener: Callers, Content: Bodies, Count: 600, BodyBytes: maxBody, ShortBytes: 64, Reconnects: true},
	{Name: "run-tiny-steps", Program: RunProgram, Listener: Callers, Content: Bodies, Filling: TinySteps, Count: 100, BodyBytes: maxBody},
	{Name: "run-long-texts", Program: RunProgram, Listener: Callers, Content: Bodies, Filling: LongTexts, Count: 4, Requests: 150, BodyBytes: maxBody, AwaitEnd: true},
	{Name: "run-long-lists", Program: RunProgram, Listener: Callers, Content: Bodies, Filling: LongLists, Count: 4, Requests: 50, BodyBytes: maxBody, AwaitEnd: true},
	{Name: "run-silent", Program: RunProgram, Listener: Callers, Content: Nothing, Count: 600},
	{Name: "run-half-headers", Program: RunProgram, Listener: Callers, Content: HalfHeaders, Count: 600},
	{Name: "run-unread", Program: RunProgram, Listener: Callers, Content: Requests, Count: 600},
	{Name: "run-readiness-silent", Program: RunProgram, Listener: Readiness, Content: Nothing, Count: 600},
	{Name: "run-readiness-bodies", Program: RunProgram, Listener: Readiness, Content: Bodies, Count: 600, BodyBytes: maxBody, ShortBytes: 64},
	{Name: "run-metrics-unread", Program: RunProgram, Listener: Metrics, Content: Requests, Count: 600},
	{Name: "serve-bodies", Program: ServeProgram, Listener: Callers, Content: Bodies, Count: 200, BodyBytes: 1 << 20, ShortBytes: 64},
	{Name: "serve-pieces", Program: ServeProgram, Listener: Callers, Content: Bodies, Count: 200, BodyBytes: 1 << 20, ShortBytes: 64, PieceBytes: 32 << 10, Pace: 5 * time.Millisecond},
	{Name: "serve-large-chunks", Program: ServeProgram, Listener: Callers, Content: Bodies, Count: 200, BodyBytes: 1 << 20, ShortBytes: 64, ChunkBytes: 256 << 10},
	{Name: "serve-small-chunks", Program: ServeProgram, Listener: Callers, Content: Bodies, Count: 200, BodyBytes: 1 << 20, ShortBytes: 64, ChunkBytes: 8},
	{Name: "serve-bodies-again", Program: ServeProgram, Listener: Callers, Content: Bodies, Count: 200, BodyBytes: 1 << 20, ShortBytes: 64, Reconnects: true},
	{Name: "serve-waiting-bodies", Program: ServeProgram, Listener: Callers, Content: Bodies, Count: 200, BodyBytes: 1 << 20},
	{Name: "serve-silent", Program: ServeProgram, Listener: Callers, Content: Nothing, Count: 600},
	{Name: "serve-half-headers", Program: ServeProgram, Listener: Callers, Content: HalfHeaders, Count: 600},
	{Name: "serve-unread", Program: ServeProgram, Listener: Callers, Content: Requests, Count: 600},
	{Name: "serve-operators-bodies", Program: ServeProgram, Listener: Operators, Content: Bodies, Count: 50, BodyBytes: 4 << 20, ShortBytes: 64},
	{Name: "serve-operators-silent", Program: ServeProgram, Listener: Operators, Content: Nothing, Count: 600},
	{Name: "serve-metrics-unread", Program: ServeProgram, Listener: Metrics, Content: Requests, Count: 600},
	{Name: "serve-peers-messages", Program: ServeProgram, Listener: Peers, Content: PeerMessage, Count: 12, BodyBytes: 15 << 20, ShortBytes: 4 << 10},
	{Name: "serve-peers-silent", Program: ServeProgram, Listener: Peers, Content: Nothing, Count: 600},
}

// Crowds returns the crowds by which the programs are tested.
func Crowds() []Crowd {
	return slices.Clone(crowds)
}

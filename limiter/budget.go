package limiter

import (
	"log/slog"
	"sync"
	"time"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/meter"
)

const (
	budgetShare    = 8                      // the bytes of a Budget are the machine's memory divided by this
	smallShare     = 8                      // this part of a Budget is kept for small bodies
	leavingShare   = 4                      // bodies that were broken off and are still held may take this part of a Budget
	smallBytes     = 64 << 10               // what a body holds up to this is small
	pieceBytes     = 4 << 10                // reserved for a body before any of it has arrived
	minReadingTime = 500 * time.Millisecond // a body is not broken off for others before that
	defaultMemory  = 512                    // MB, if the machine's memory is not known
)

// Reasons for which bodies are broken off, in the metrics and in the log.
const (
	reasonNoRoom  = "no-room"  // other bodies need the memory, and this one is the slowest
	reasonStalled = "stalled"  // the sender stopped
	reasonTooSlow = "too-slow" // the body as a whole took too long
	reasonClosed  = "closed"   // its connection was closed at the bound
)

type (
	// Budget is the memory of a process for request bodies: what has been read of them,
	// and what is made of them until their requests have been answered. All listeners of
	// the process share it. It is safe for concurrent use.
	Budget struct {
		log *slog.Logger

		mu         sync.Mutex
		size       int64
		used       int64        // bytes held, without those of leaving
		leaving    int64        // bytes of bodies that were broken off and are still held
		unfinished queue[*Hold] // the one that began first comes first
		broken     eventSampler // bodies that were broken off
		refused    eventSampler // requests without room
	}

	// BudgetOption configures a Budget.
	BudgetOption func(*Budget)

	// Hold is what one request or connection holds of a Budget. While it is unfinished, it
	// may be broken off for others. Its methods are not safe for concurrent use.
	Hold struct {
		budget *Budget
		cancel func() // called with the Budget's mutex
		begin  time.Time
		held   int64
		place  place[*Hold]
		cut    bool // broken off for others
	}
)

// WithBudgetLog sets the logger.
func WithBudgetLog(log *slog.Logger) BudgetOption {
	return func(b *Budget) { b.log = log }
}

// WithBytes sets the size of the budget in bytes.
func WithBytes(n int64) BudgetOption {
	return func(b *Budget) { b.size = n }
}

// NewBudget returns the budget of a process on a machine with the given memory in MB,
// which is an eighth of it. If the memory is 0, 512 MB are assumed.
func NewBudget(memoryMB int64, opts ...BudgetOption) *Budget {
	if memoryMB <= 0 {
		memoryMB = defaultMemory
	}
	b := &Budget{log: slog.New(slog.DiscardHandler), size: memoryMB << 20 / budgetShare}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// Held returns the number of bytes held for requests at present, including those of
// bodies that were broken off and are still held.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used + b.leaving
}

// Size returns the size of the budget in bytes.
func (b *Budget) Size() int64 {
	return b.size
}

// Open returns an unfinished hold of nothing. If it is broken off for others, cancel is
// called: it must return soon and must not use the Budget. The caller must call Close.
func (b *Budget) Open(cancel func()) *Hold {
	h := &Hold{}
	b.open(h, cancel)
	return h
}

func (b *Budget) open(h *Hold, cancel func()) {
	h.budget, h.cancel, h.begin = b, cancel, time.Now()
	h.place.owner = h
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unfinished.push(&h.place)
}

// Add reserves n more bytes. The error is a *classifier.Error with the verdict NotRun if
// there is no room, or the hold has been broken off. A hold that is alone always gets room.
func (h *Hold) Add(n int64) error {
	if h.reserve(n) {
		return nil
	}
	return h.budget.refuse(n)
}

// Remove gives back n bytes.
func (h *Hold) Remove(n int64) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	h.held -= n
	if h.cut {
		b.leaving -= n
	} else {
		b.used -= n
	}
}

// Finish keeps the hold from being broken off. It reports false if it has been already.
func (h *Hold) Finish() bool {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.unfinished.remove(&h.place)
	return !h.cut
}

// Close gives back all that is held. More calls do nothing.
func (h *Hold) Close() {
	h.Finish()
	h.Remove(h.held)
}

// reserve adds n bytes to what h holds. If there is no room, the slowest unfinished holds
// are broken off; it reports false if h is the slowest, or the others have not had
// minReadingTime yet.
func (h *Hold) reserve(n int64) bool {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.cut {
		return false
	}
	limit := b.size
	if h.held+n > smallBytes {
		limit -= b.size / smallShare
	}
	for b.used+n > limit && b.used > h.held {
		first := b.unfinished.first
		if first == nil || first.owner == h || time.Since(first.owner.begin) < minReadingTime || b.leaving+first.owner.held > b.size/leavingShare {
			return false
		}
		b.breakOff(first.owner)
	}
	b.used += n
	h.held += n
	return true
}

// breakOff ends an unfinished hold. The caller holds mu.
func (b *Budget) breakOff(h *Hold) {
	b.unfinished.remove(&h.place)
	h.cut = true
	b.used -= h.held
	b.leaving += h.held
	h.cancel()
}

// refuse counts a request that got no room for n bytes and returns its refusal.
func (b *Budget) refuse(n int64) *classifier.Error {
	meter.CountRequestWithoutRoom()
	if count, ok := b.refused.add(); ok {
		b.log.Warn("requests refused: bodies take up the memory that is kept for them", "count", count, "held", b.Held(), "size", b.size, "wanted", n)
	}
	return classifier.Refuse(classifier.Overloaded, "no memory is left for the request, try again later").WithRetryAfter(retryDelay())
}

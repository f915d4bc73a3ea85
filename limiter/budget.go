package limiter

import (
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/meter"
)

const (
	budgetShare    = 8                      // the bytes of a Budget are the machine's memory divided by this
	smallShare     = 8                      // this part of a Budget is kept for small bodies
	leavingShare   = 4                      // bodies that were broken off and are still held may take this part of a Budget
	smallBytes     = 16 << 10               // what a body holds up to this is small
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
		unfinished queue[*Body] // the body whose reading began first comes first
		broken     eventSampler // bodies that were broken off
		refused    eventSampler // requests without room
	}

	// BudgetOption configures a Budget.
	BudgetOption func(*Budget)

	// Body is a request body that has been read, with the part of the Budget that the
	// request holds. Its methods are not safe for concurrent use.
	Body struct {
		Bytes []byte

		budget     *Budget
		held       int64
		begin      time.Time
		controller *http.ResponseController
		conn       *conn // nil if the request didn't come through a Listener
		place      place[*Body]
		cut        bool // broken off for others
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

// Reserve reserves n more bytes for what is made of a body that has been read, such as
// its parsed form. The error is a *classifier.Error with the verdict NotRun if there is
// no room. A request that is alone always gets room.
func (d *Body) Reserve(n int64) error {
	if !d.budget.reserve(d, n) {
		return d.budget.refuse(n)
	}
	return nil
}

// Release gives back what the request holds. It must be called when the request has
// been answered, and Bytes must not be used afterwards. More calls do nothing.
func (d *Body) Release() {
	if d == nil {
		return
	}
	d.Bytes = nil
	d.budget.release(d, d.held)
}

// reserve adds n bytes to what d holds. If there is no room, the slowest unfinished bodies
// are broken off; it reports false if d is the slowest, or the others have not had
// minReadingTime yet.
func (b *Budget) reserve(d *Body, n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if d.cut {
		return false
	}
	limit := b.size
	if d.held+n > smallBytes {
		limit -= b.size / smallShare
	}
	for b.used+n > limit && b.used > d.held {
		p := b.unfinished.first
		if p == nil || p.owner == d || time.Since(p.owner.begin) < minReadingTime || b.leaving+p.owner.held > b.size/leavingShare {
			return false
		}
		b.breakOff(p.owner)
	}
	b.used += n
	d.held += n
	return true
}

// breakOff makes the reading of v end with an error. The caller holds mu.
func (b *Budget) breakOff(v *Body) {
	b.unfinished.remove(&v.place)
	v.cut = true
	b.used -= v.held
	b.leaving += v.held
	_ = v.controller.SetReadDeadline(aLongTimeAgo) // without it the reading ends with the next bytes
}

// release gives back n bytes of what d holds.
func (b *Budget) release(d *Body, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	d.held -= n
	if d.cut {
		b.leaving -= n
	} else {
		b.used -= n
	}
}

// refuse counts a request that got no room for n bytes and returns its refusal.
func (b *Budget) refuse(n int64) *classifier.Error {
	meter.CountRequestWithoutRoom()
	if count, ok := b.refused.add(); ok {
		b.log.Warn("requests refused: bodies take up the memory that is kept for them", "count", count, "held", b.Held(), "size", b.size, "wanted", n)
	}
	return classifier.Refuse(classifier.Overloaded, "no memory is left for the request, try again later").WithRetryAfter(retryDelay())
}

package relayer

import (
	"context"
	"sync"
	"time"

	"github.com/coltsfootlever/coltsfootlever/meter"
)

const (
	batchInterval  = 10 * time.Millisecond // between two batches in one direction; see docs/design/relays.md for its cost
	keepAlive      = time.Second           // between two frames while there is nothing to send
	maxOutboxBytes = 1 << 20               // that wait to be sent
)

// outbox collects messages and sends them in batches. Messages that don't fit are
// rejected.
type outbox struct {
	header func(buf []byte) []byte // appends the header of a frame
	wake   chan struct{}

	mu       sync.Mutex
	buf      []byte
	messages int
}

func newOutbox(header func(buf []byte) []byte) *outbox {
	return &outbox{header: header, wake: make(chan struct{}, 1)}
}

// add appends a message with write and reports whether there was room for it.
func (o *outbox) add(write func(buf []byte) []byte) bool {
	o.mu.Lock()
	if len(o.buf) >= maxOutboxBytes {
		o.mu.Unlock()
		return false
	}
	first := o.messages == 0
	o.buf = write(o.buf)
	o.messages++
	o.mu.Unlock()
	if first {
		o.flush()
	}
	return true
}

// flush makes run send a frame, also an empty one.
func (o *outbox) flush() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// run sends batches until ctx ends or send fails. The first message after a pause
// is sent at once; later ones wait for batchInterval after the last batch.
func (o *outbox) run(ctx context.Context, send func(frame []byte) error) error {
	timer := time.NewTimer(keepAlive)
	defer timer.Stop()
	var frame, spare []byte
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-o.wake:
		case <-timer.C:
		}
		frame = o.header(frame[:0])
		o.mu.Lock()
		batch, n := o.buf, o.messages
		o.buf, o.messages = spare[:0], 0
		o.mu.Unlock()
		frame = append(frame, batch...)
		spare = batch
		if cap(spare) > maxOutboxBytes/8 {
			spare = nil // a batch this large is rare
		}
		if err := send(frame); err != nil {
			return err
		}
		if n > 0 {
			meter.RecordRelayBatch(n)
		}
		timer.Reset(batchInterval)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		}
		timer.Reset(keepAlive)
	}
}

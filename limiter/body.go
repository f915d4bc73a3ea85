package limiter

import (
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/meter"
	"github.com/coltsfootlever/coltsfootlever/postponer"
)

// Time limits of request bodies.
const (
	// StallTimeout is how long a body may take until its next byte arrives.
	StallTimeout = 3 * time.Second
	// MaxBodyTimeout is the longest time that a whole body may take.
	MaxBodyTimeout = 30 * time.Second

	stallRenewal = StallTimeout / 8 // a read deadline is not renewed more often
)

// aLongTimeAgo is a deadline that ends a pending read.
var aLongTimeAgo = time.Unix(1, 0)

type (
	// BodyLimits limit a request body.
	BodyLimits struct {
		MaxBytes int64
		Timeout  time.Duration // for the whole body; at most MaxBodyTimeout, which also applies if it is 0
	}

	// Body is a request body that has been read, with what its request holds of the
	// Budget. Its methods are not safe for concurrent use.
	Body struct {
		Bytes []byte

		hold       Hold
		conn       *conn // nil if the request has no connection of a Listener for itself
		controller *http.ResponseController
		deadline   time.Time // that the controller has set
	}
)

// ReadBody reads the body of a request. The caller must call Release when the request
// has been answered. The error is a *classifier.Error with the verdict NotRun: BadRequest
// if the body is malformed or larger than MaxBytes, Overloaded if there is no room, and
// SlowBody if the body did not arrive in time or was broken off for others. The connection
// is closed after the answer to such a request.
//
// What the body holds grows with what has arrived, whatever length its header gives.
func (b *Budget) ReadBody(w http.ResponseWriter, r *http.Request, l BodyLimits) (*Body, error) {
	d := &Body{}
	if r.Body == nil || r.Body == http.NoBody {
		d.hold.budget = b
		return d, nil
	}
	if l.Timeout <= 0 || l.Timeout > MaxBodyTimeout {
		l.Timeout = MaxBodyTimeout
	}
	d.controller, d.conn = http.NewResponseController(w), connOf(r)
	b.open(&d.hold, d.endReading)
	if err := d.read(w, r, l); err != nil {
		d.abandon(w)
		return nil, err
	}
	return d, nil
}

// Reserve reserves n more bytes for what is made of the body, such as its parsed form. The
// errors are those of Hold.Add.
func (d *Body) Reserve(n int64) error {
	return d.hold.Add(n)
}

// Release gives back what the request holds. It must be called when the request has
// been answered, and Bytes must not be used afterwards. More calls do nothing.
func (d *Body) Release() {
	if d == nil {
		return
	}
	d.Bytes = nil
	d.hold.Close()
}

func (d *Body) read(w http.ResponseWriter, r *http.Request, l BodyLimits) error {
	if r.ContentLength > l.MaxBytes {
		return tooLarge(l.MaxBytes)
	}
	if err := d.hold.Add(pieceBytes); err != nil {
		return err
	}
	size := int64(pieceBytes)
	if r.ContentLength >= 0 {
		size = min(size, r.ContentLength+1) // the last read returns io.EOF and no byte
	}
	d.Bytes = make([]byte, 0, size)
	body := http.MaxBytesReader(w, r.Body, l.MaxBytes)
	deadline := d.hold.begin.Add(l.Timeout)
	d.setDeadlines(deadline)
	var overrun *http.MaxBytesError
	for {
		if len(d.Bytes) == cap(d.Bytes) {
			if err := d.grow(r.ContentLength, l.MaxBytes); err != nil {
				return err
			}
		}
		n, err := body.Read(d.Bytes[len(d.Bytes):cap(d.Bytes)])
		d.Bytes = d.Bytes[:len(d.Bytes)+n]
		if err == nil {
			if time.Now().After(deadline) {
				return d.slow(reasonTooSlow)
			}
			d.setDeadlines(deadline)
			continue
		}
		if !d.hold.Finish() {
			return d.slow(reasonNoRoom)
		}
		switch {
		case err == io.EOF && d.conn != nil && !d.conn.protect():
			return d.slow(reasonClosed)
		case err == io.EOF:
			return nil
		case errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(deadline):
			return d.slow(reasonStalled)
		case errors.Is(err, os.ErrDeadlineExceeded):
			return d.slow(reasonTooSlow)
		case errors.As(err, &overrun):
			return tooLarge(l.MaxBytes)
		}
		return classifier.Refuse(classifier.BadRequest, "body: %v", err)
	}
}

func tooLarge(limit int64) error {
	return classifier.Refuse(classifier.BadRequest, "body too large, the limit is %d bytes: send a smaller one", limit)
}

// grow makes room for more bytes: the buffer is doubled, but not beyond the length that
// the header gives or one byte more than the limit.
func (d *Body) grow(contentLength, maxBytes int64) error {
	old := int64(cap(d.Bytes))
	size := max(2*old, pieceBytes)
	if contentLength >= old {
		size = min(size, contentLength+1)
	}
	size = min(size, maxBytes+1)
	if size <= old { // the reader returns an error or io.EOF for the next byte
		size = old + 1
	}
	if !d.hold.reserve(size) {
		if !d.hold.Finish() {
			return d.slow(reasonNoRoom)
		}
		return d.hold.budget.refuse(size)
	}
	bigger := make([]byte, len(d.Bytes), size)
	copy(bigger, d.Bytes)
	d.Bytes = bigger
	d.hold.Remove(d.hold.held - size)
	return nil
}

// slow counts a body that was broken off and returns the refusal of its request.
func (d *Body) slow(reason string) *classifier.Error {
	meter.CountBrokenOffBody(reason)
	b := d.hold.budget
	if count, ok := b.broken.add(); ok {
		b.log.Warn("bodies broken off", "count", count, "last-reason", reason, "bytes", len(d.Bytes), "after", time.Since(d.hold.begin).Round(time.Millisecond).String(), "held", b.Held(), "size", b.size)
	}
	return classifier.Refuse(classifier.SlowBody, "body broken off after %d bytes (%s), try again later", len(d.Bytes), reason).WithRetryAfter(retryDelay())
}

// abandon gives back what the body of a refused request holds, and closes its connection
// after the answer instead of reading the rest.
func (d *Body) abandon(w http.ResponseWriter) {
	d.Release()
	w.Header().Set("Connection", "close")
	d.endReading() // otherwise the server reads the rest
}

// setDeadlines sets the time limits of the body, of which the whole must have arrived by
// deadline.
func (d *Body) setDeadlines(deadline time.Time) {
	if d.conn != nil {
		d.conn.bodyDeadline = deadline
		return
	}
	next := earlier(deadline, time.Now().Add(StallTimeout))
	if next.Sub(d.deadline) < stallRenewal && next != deadline || next == d.deadline {
		return
	}
	d.hold.budget.mu.Lock()
	defer d.hold.budget.mu.Unlock()
	if !d.hold.cut {
		d.deadline = next
		_ = d.controller.SetReadDeadline(next) // only a ResponseWriter without a connection doesn't support it
	}
}

// endReading ends the reading of the body, at the latest with the next bytes.
func (d *Body) endReading() {
	if d.conn != nil {
		d.conn.breakOff()
		return
	}
	_ = d.controller.SetReadDeadline(aLongTimeAgo) // see setDeadlines
}

// retryDelay returns how long a refused caller should wait.
func retryDelay() time.Duration {
	return postponer.OverloadDelay(0, rand.Float64())
}

func earlier(t, u time.Time) time.Time {
	if u.Before(t) {
		return u
	}
	return t
}

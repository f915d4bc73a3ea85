package relayer

import (
	"context"
	"encoding/binary"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/requester"
)

const (
	protocolVersion         = 3
	versionBeforeProcess    = 1       // polls don't name the process that they are meant for
	versionBeforeAllProcess = 2       // polls name it only if they acknowledge ended runs
	maxFrameBytes           = 4 << 20 // a batch of the largest reports is smaller
)

// Kinds of calls.
const (
	callStart byte = iota + 1
	callStop
	callPace
	callPoll
)

// Outcomes of calls. The numbers are part of the protocol.
const (
	outcomeOK           byte = iota
	outcomeUnknown           // the call may have been carried out, or may still be
	outcomeNotSent           // the relay has not sent the call and never will
	outcomeNotConnected      // the relay has no connection to the worker, so that the call was not sent
	outcomeRefused           // outcomeRefused plus an index of refusals
)

// refusals are the errors with which workers refuse calls, in the order of their
// numbers in the protocol.
var refusals = []error{
	modeler.ErrFenced, modeler.ErrStaleRun, modeler.ErrLeaseExpired, modeler.ErrInsufficientCapacity, modeler.ErrInvalidTicket,
	modeler.ErrInstanceBusy, modeler.ErrNotInWave, modeler.ErrOtherWorker, modeler.ErrUnhealthy, modeler.ErrRejected,
}

const (
	// ErrMalformed reports a frame with a missing or invalid field.
	ErrMalformed = errors.ConstError("malformed frame")
	// ErrNotSent reports a call that its relay has not sent to the worker.
	ErrNotSent = errors.ConstError("call not sent by its relay")
	// ErrNotConnected reports a call that was not sent because its relay could not
	// connect to the worker, which may be gone.
	ErrNotConnected = errors.ConstError("relay can't connect to the worker")
	// ErrNoResult reports a call whose outcome a relay could not tell.
	ErrNoResult = errors.ConstError("relay got no response from the worker")
)

type (
	// Workers sends calls to workers, see orchestrator.Workers.
	Workers interface {
		Start(ctx context.Context, w modeler.Worker, o modeler.StartOrder) (clock int64, err error)
		Stop(ctx context.Context, w modeler.Worker, task modeler.TaskID, run int, token int64) error
		SetPace(ctx context.Context, w modeler.Worker, task modeler.TaskID, run, percent int, token int64) error
		RenewAndPoll(ctx context.Context, w modeler.Worker, leaseDeadline, token, acknowledgedEnd int64, maxWait time.Duration) (modeler.Report, error)
	}

	// call is a call to a worker. Which fields are used depends on its kind. The
	// fencing token is that of the stream.
	call struct {
		kind          byte
		id            uint64        // unique on its stream
		stamp         time.Duration // on the relay's clock, at or before the moment of the call
		limit         time.Duration // how long the worker may take, without wait
		worker        string
		address       string
		task          modeler.TaskID
		run           int
		percent       int
		spec          string
		checkpoint    string
		ticket        string
		leaseDeadline int64
		acknowledged  int64
		process       int64 // start time of the worker's process for which leaseDeadline and acknowledged are meant; 0 if not known
		wait          time.Duration
	}

	// result is the result of a call.
	result struct {
		id      uint64
		outcome byte
		text    string // of the error
		clock   int64
		report  modeler.Report
	}

	// reader reads the fields of a frame and keeps the first error.
	reader struct {
		rest    string
		version uint64 // of the protocol in which calls are written
		err     error
	}
)

func appendString(buf []byte, s string) []byte {
	return append(binary.AppendUvarint(buf, uint64(len(s))), s...)
}

func appendTask(buf []byte, id modeler.TaskID) []byte {
	buf = appendString(buf, id.Job)
	buf = binary.AppendUvarint(buf, uint64(id.Occurrence))
	buf = binary.AppendUvarint(buf, uint64(id.Step))
	return binary.AppendUvarint(buf, uint64(id.Index))
}

// appendHello appends the first frame of a stream.
func appendHello(buf []byte, token int64) []byte {
	return binary.AppendVarint(binary.AppendUvarint(buf, protocolVersion), token)
}

// appendHeader appends the header of a frame from the relay: its clock, and
// whether it is about to stop.
func appendHeader(buf []byte, stamp time.Duration, leaving bool) []byte {
	flags := byte(0)
	if leaving {
		flags = 1
	}
	return append(binary.AppendUvarint(buf, uint64(stamp.Microseconds())), flags)
}

func appendCall(buf []byte, c *call) []byte {
	buf = binary.AppendUvarint(append(buf, c.kind), c.id)
	buf = binary.AppendUvarint(buf, uint64(c.stamp.Microseconds()))
	buf = binary.AppendUvarint(buf, uint64(c.limit.Milliseconds()))
	buf = appendString(appendString(buf, c.worker), c.address)
	if c.kind == callPoll {
		buf = binary.AppendVarint(buf, c.leaseDeadline)
		buf = binary.AppendVarint(buf, c.acknowledged)
		buf = binary.AppendVarint(buf, c.process)
		return binary.AppendUvarint(buf, uint64(c.wait.Milliseconds()))
	}
	buf = binary.AppendUvarint(appendTask(buf, c.task), uint64(c.run))
	switch c.kind {
	case callStart:
		buf = appendString(appendString(appendString(buf, c.spec), c.checkpoint), c.ticket)
		buf = binary.AppendVarint(buf, c.leaseDeadline)
	case callPace:
		buf = binary.AppendUvarint(buf, uint64(c.percent))
	}
	return buf
}

func appendResult(buf []byte, r *result, kind byte) []byte {
	buf = append(binary.AppendUvarint(buf, r.id), r.outcome, kind)
	switch {
	case r.outcome != outcomeOK:
		return appendString(buf, r.text)
	case kind == callStart:
		return binary.AppendVarint(buf, r.clock)
	case kind == callPoll:
		return appendReport(buf, &r.report)
	}
	return buf
}

func appendReport(buf []byte, r *modeler.Report) []byte {
	buf = binary.AppendVarint(binary.AppendVarint(buf, r.StartTimeMs), r.ClockMs)
	buf = binary.AppendUvarint(buf, uint64(len(r.Running)))
	for i := range r.Running {
		t := &r.Running[i]
		buf = binary.AppendUvarint(appendTask(buf, t.Task), uint64(t.Run))
		buf = appendString(buf, t.Checkpoint)
		buf = binary.AppendVarint(binary.AppendVarint(buf, int64(t.Percent)), int64(t.Metric))
	}
	buf = binary.AppendUvarint(buf, uint64(len(r.Ended)))
	for i := range r.Ended {
		t := &r.Ended[i]
		buf = binary.AppendUvarint(appendTask(binary.AppendVarint(buf, t.Number), t.Task), uint64(t.Run))
		buf = appendString(appendString(buf, string(t.EndKind)), t.Checkpoint)
	}
	return buf
}

func (r *reader) fail() {
	if r.err == nil {
		r.err = ErrMalformed
	}
	r.rest = ""
}

func (r *reader) uint() uint64 {
	n, shift := uint64(0), 0
	for i := 0; i < len(r.rest) && i < binary.MaxVarintLen64; i++ {
		b := r.rest[i]
		n |= uint64(b&0x7f) << shift
		if b < 0x80 {
			r.rest = r.rest[i+1:]
			return n
		}
		shift += 7
	}
	r.fail()
	return 0
}

func (r *reader) int() int64 {
	n := r.uint()
	return int64(n>>1) ^ -int64(n&1)
}

// count reads a number that must fit into 31 bits.
func (r *reader) count() int {
	n := r.uint()
	if n >= 1<<31 {
		r.fail()
		return 0
	}
	return int(n)
}

func (r *reader) byte() byte {
	if r.rest == "" {
		r.fail()
		return 0
	}
	b := r.rest[0]
	r.rest = r.rest[1:]
	return b
}

// text returns a part of the frame, which keeps all of it in memory.
func (r *reader) text() string {
	n := r.count()
	if n > len(r.rest) {
		r.fail()
		return ""
	}
	s := r.rest[:n]
	r.rest = r.rest[n:]
	return s
}

func (r *reader) task() modeler.TaskID {
	return modeler.TaskID{Job: r.text(), Occurrence: r.count(), Step: r.count(), Index: r.count()}
}

func (r *reader) hello() (version uint64, token int64, err error) {
	version = r.uint()
	if version < versionBeforeProcess || version > protocolVersion {
		return 0, 0, errors.Annotatef(ErrMalformed, "protocol version %d", version)
	}
	return version, r.int(), r.err
}

func (r *reader) header() (stamp time.Duration, leaving bool) {
	return time.Duration(r.uint()) * time.Microsecond, r.byte() == 1
}

func (r *reader) call() (c call) {
	c.kind, c.id = r.byte(), r.uint()
	c.stamp = time.Duration(r.uint()) * time.Microsecond
	c.limit = time.Duration(r.count()) * time.Millisecond
	c.worker, c.address = r.text(), r.text()
	if c.kind == callPoll {
		c.leaseDeadline, c.acknowledged = r.int(), r.int()
		if r.namesProcess(&c) {
			c.process = r.int()
		}
		c.wait = time.Duration(r.count()) * time.Millisecond
		return c
	}
	c.task, c.run = r.task(), r.count()
	switch c.kind {
	case callStart:
		c.spec, c.checkpoint, c.ticket, c.leaseDeadline = r.text(), r.text(), r.text(), r.int()
	case callStop:
	case callPace:
		c.percent = r.count()
	default:
		r.fail()
	}
	return c
}

// namesProcess reports whether a poll names the process that it is meant for.
func (r *reader) namesProcess(c *call) bool {
	switch r.version {
	case versionBeforeProcess:
		return false
	case versionBeforeAllProcess:
		return c.acknowledged != 0
	}
	return true
}

func (r *reader) result() (res result) {
	res.id, res.outcome = r.uint(), r.byte()
	switch kind := r.byte(); {
	case res.outcome != outcomeOK:
		res.text = r.text()
	case kind == callStart:
		res.clock = r.int()
	case kind == callPoll:
		res.report = r.report()
	}
	return res
}

// report reads a report. Checkpoints are copied, because the engine keeps them
// longer than the rest.
func (r *reader) report() (report modeler.Report) {
	report.StartTimeMs, report.ClockMs = r.int(), r.int()
	if n := r.count(); n > len(r.rest) { // each entry takes several bytes
		r.fail()
	} else if n > 0 {
		report.Running = make([]modeler.RunningTask, n)
	}
	for i := range report.Running {
		report.Running[i] = modeler.RunningTask{Task: r.task(), Run: r.count(), Checkpoint: strings.Clone(r.text()), Percent: int(r.int()), Metric: int(r.int())}
	}
	if n := r.count(); n > len(r.rest) {
		r.fail()
	} else if n > 0 {
		report.Ended = make([]modeler.EndedTask, n)
	}
	for i := range report.Ended {
		report.Ended[i] = modeler.EndedTask{Number: r.int(), Task: r.task(), Run: r.count(), EndKind: modeler.EndKind(strings.Clone(r.text())), Checkpoint: strings.Clone(r.text())}
	}
	return report
}

// newFailure returns the result of a call that failed. Only a refusal by the
// worker and a call that was not sent are certain.
func newFailure(id uint64, err error) result {
	for i, refusal := range refusals {
		if errors.Is(err, refusal) {
			return result{id: id, outcome: outcomeRefused + byte(i), text: err.Error()}
		}
	}
	var requestErr *requester.Error
	if errors.As(err, &requestErr) && !requestErr.MaybeSent {
		return result{id: id, outcome: outcomeNotConnected, text: err.Error()}
	}
	return result{id: id, outcome: outcomeUnknown, text: err.Error()}
}

// failure returns the error that the result stands for, or nil.
func (r *result) failure() error {
	switch {
	case r.outcome == outcomeOK:
		return nil
	case r.outcome == outcomeNotSent:
		return &requester.Error{Err: errors.Annotate(ErrNotSent, r.text)}
	case r.outcome == outcomeNotConnected:
		return &requester.Error{Err: errors.Annotate(ErrNotConnected, r.text)}
	case r.outcome >= outcomeRefused && int(r.outcome-outcomeRefused) < len(refusals):
		return errors.Annotate(refusals[r.outcome-outcomeRefused], r.text)
	}
	return &requester.Error{MaybeSent: true, Err: errors.Annotate(ErrNoResult, r.text)}
}

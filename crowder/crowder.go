package crowder

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/supervisor"
)

const (
	answerTimeout   = 60 * time.Second       // time in which a program starts or an ordinary caller gets its answer; no more than a guard against hanging
	attemptTimeout  = 10 * time.Second       // of one request of an ordinary caller
	retryPause      = 200 * time.Millisecond // between two of its attempts, unless the response has a Retry-After header
	fileDescriptors = 200                    // descriptors that the platform reserves for files
	settleTime      = 500 * time.Millisecond // from the last byte of the crowd to the ordinary request
)

// Listeners of the programs.
const (
	Callers   Listener = "callers"
	Readiness Listener = "readiness"
	Metrics   Listener = "metrics"
	Operators Listener = "operators"
	Peers     Listener = "peers"
)

type (
	// Listener names a listening socket of a program.
	Listener string

	// Options are the settings of a run.
	Options struct {
		Program        string        // path of the program
		Dir            string        // directory for the settings file and the log
		Seed           uint64        // decides which clients send whole bodies and where the others stop
		MemoryMB       int64         // memory that the settings give the program
		MaxDescriptors int64         // descriptors that the settings give the program
		Patience       time.Duration // time that the crowd has for what it sends
	}

	// Result is the result of a run.
	Result struct {
		Crowd            string   `json:"crowd"`
		IdleMemoryMB     int64    `json:"idle-memory-mb"`    // before the crowd
		PeakMemoryMB     int64    `json:"peak-memory-mb"`    // resident, or received and not yet read, rounded up
		PeakDescriptors  int      `json:"peak-descriptors"`  // open at once
		PeakSockets      int      `json:"peak-sockets"`      // of them
		IsAlive          bool     `json:"is-alive"`          // the process has not exited
		AnsweredMeantime bool     `json:"answered-meantime"` // an ordinary request while the crowd kept its connections
		AnsweredAfter    bool     `json:"answered-after"`    // and after it had closed them
		Breaches         []string `json:"breaches"`          // what the program must not do
	}

	// system is a program with the platform that it needs.
	system interface {
		start(opts *Options) (*process, error)
		address(l Listener) string
		target(l Listener) requestTarget
		newOrdinaryRequest(ctx context.Context) (*http.Request, error)
		awaitEnd(ctx context.Context, client *http.Client) error // of the job of the last ordinary request
		close()
	}
)

// Run starts the program, connects the crowd and returns what was measured. It returns an
// error if the run could not be carried out.
func Run(ctx context.Context, c Crowd, opts Options) (Result, error) {
	s, err := newSystem(c.Program)
	if err != nil {
		return Result{}, err
	}
	defer s.close()
	p, err := s.start(&opts)
	if err != nil {
		return Result{}, err
	}
	defer p.stop()
	if err := requestOnce(ctx, s, p, c.AwaitEnd); err != nil {
		return Result{}, errors.Annotatef(err, "%s did not answer before the crowd came, see the log in %s", c.Program, opts.Dir)
	}
	result := Result{Crowd: c.Name, IdleMemoryMB: toMB(p.idleMemory())}

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var observer sync.WaitGroup
	observer.Go(func() { p.observe(ctx, s.address(c.Listener)) })
	crowdCtx, disperse := context.WithCancel(ctx)
	wait, err := c.start(crowdCtx, opts.Seed, s.address(c.Listener), s.target(c.Listener), opts.Patience)
	if err != nil {
		disperse()
		return Result{}, err
	}
	err = supervisor.Pause(ctx, settleTime)
	result.AnsweredMeantime = requestOnce(ctx, s, p, c.AwaitEnd) == nil
	disperse()
	wait()
	result.AnsweredAfter = requestOnce(ctx, s, p, c.AwaitEnd) == nil
	result.IsAlive = p.isAlive()
	cancel()
	observer.Wait()
	peak := p.highest()
	result.PeakMemoryMB, result.PeakDescriptors, result.PeakSockets = toMB(peak.memory), peak.descriptors, peak.sockets
	result.Breaches = result.findBreaches(&c, &opts)
	return result, errors.Trace(err)
}

// findBreaches returns what the program did though it must not.
func (r *Result) findBreaches(c *Crowd, opts *Options) []string {
	breaches := []string{}
	add := func(broken bool, format string, args ...any) {
		if broken {
			breaches = append(breaches, fmt.Sprintf(format, args...))
		}
	}
	add(!r.IsAlive, "the process has exited, see the log in %s", opts.Dir)
	add(r.PeakMemoryMB > opts.MemoryMB, "%d MB of memory, the limit is %d", r.PeakMemoryMB, opts.MemoryMB)
	add(int64(r.PeakDescriptors) > opts.MaxDescriptors, "%d descriptors, the limit is %d", r.PeakDescriptors, opts.MaxDescriptors)
	if c.Program == RunProgram {
		limit := opts.MaxDescriptors - fileDescriptors
		add(int64(r.PeakSockets) > limit, "%d sockets, the limit is %d", r.PeakSockets, limit)
	}
	add(!r.AnsweredMeantime, "an ordinary request was not served while the crowd was there")
	add(!r.AnsweredAfter, "an ordinary request was not served after the crowd had gone")
	return breaches
}

func newSystem(program string) (system, error) {
	switch program {
	case RunProgram:
		return newRunSystem()
	case ServeProgram:
		return newServeSystem()
	}
	return nil, errors.NotValidf("program %q:", program)
}

// toMB returns bytes in MiB, rounded up.
func toMB(n int64) int64 {
	return (n + miB - 1) / miB
}

// requestOnce sends an ordinary request until it is served, as its caller would. It fails
// when the process has exited or answerTimeout is over. With awaitEnd it also waits until
// the job has ended.
func requestOnce(ctx context.Context, s system, p *process, awaitEnd bool) error {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: attemptTimeout}
	var lastErr error
	for ctx.Err() == nil && p.isAlive() {
		pause, err := attempt(ctx, client, s)
		if err == nil && awaitEnd {
			return s.awaitEnd(ctx, client)
		}
		if err == nil {
			return nil
		}
		lastErr = err
		if supervisor.Pause(ctx, pause) != nil {
			break
		}
	}
	return errors.Annotate(lastErr, "ordinary request not served")
}

// attempt sends an ordinary request. If it is not served, pause is the time to wait before
// the next attempt.
func attempt(ctx context.Context, client *http.Client, s system) (pause time.Duration, err error) {
	r, err := s.newOrdinaryRequest(ctx)
	if err != nil {
		return retryPause, err
	}
	res, err := client.Do(r)
	if err != nil {
		return retryPause, errors.Trace(err)
	}
	defer func() { _ = res.Body.Close() }() // the body has been read
	body, err := io.ReadAll(io.LimitReader(res.Body, kiB))
	if err != nil || res.StatusCode/100 != 2 {
		pause = retryPause
		if s, err := strconv.Atoi(res.Header.Get("Retry-After")); err == nil {
			pause = time.Duration(s) * time.Second
		}
		return pause, errors.Errorf("%s: %s", res.Status, bytes.TrimSpace(body))
	}
	return 0, nil
}

// idleMemory returns the resident memory of the process at present, 0 if it is not known.
func (p *process) idleMemory() int64 {
	resident, _, err := residentBytes(p.cmd.Process.Pid)
	if err != nil {
		return 0
	}
	return resident
}

// standIns serves emulated services of the platform.
type standIns struct{ servers []*http.Server }

// serve serves h on a free port of the loopback interface and returns its address.
func (s *standIns) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", errors.Trace(err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: attemptTimeout}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(l) }() // Serve returns when the server is closed
	return l.Addr().String(), nil
}

// close stops all services.
func (s *standIns) close() {
	for _, server := range s.servers {
		_ = server.Close() // the server is closed also if this returns an error
	}
}

// freeAddresses returns addresses with TCP ports that are free at present.
func freeAddresses(n int) ([]string, error) {
	var addresses []string
	for range n {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Trace(err)
		}
		defer func() { _ = l.Close() }() // nothing has connected
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}

package main

import (
	"io"
	"math"
	"net"
	"slices"
	"sync"
	"time"
)

// proxy forwards the connections of one entry to the store. Open connections can go
// silent for good, without a reset, while new ones work.
type proxy struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	pairs []*pair
}

// pair is a connection of the entry and the one that the proxy opens for it.
type pair struct {
	conns [2]net.Conn

	mu       sync.Mutex
	silent   bool
	closed   bool
	lastUsed time.Time
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, listener: l}
	go p.run()
	return p, nil
}

func (p *proxy) run() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return // the proxy has been closed
		}
		up, err := net.Dial("tcp4", p.target)
		if err != nil {
			_ = c.Close() // cannot be forwarded
			continue
		}
		q := &pair{conns: [2]net.Conn{c, up}, lastUsed: time.Now()}
		p.mu.Lock()
		p.pairs = append(p.pairs, q)
		p.mu.Unlock()
		go q.forward(0)
		go q.forward(1)
	}
}

// forward copies what one side sends. A silent pair takes it in and passes nothing on,
// neither bytes nor the end of the connection.
func (q *pair) forward(from int) {
	buf := make([]byte, 32<<10)
	for {
		n, err := q.conns[from].Read(buf)
		if q.isSilent() {
			_, _ = io.Copy(io.Discard, q.conns[from]) // until this side closes
			return
		}
		q.use(err != nil)
		if n > 0 {
			_, _ = q.conns[1-from].Write(buf[:n]) // the other direction sees an error
		}
		if err != nil {
			_ = q.conns[1-from].Close() // has no more to receive
			return
		}
	}
}

func (q *pair) isSilent() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.silent
}

func (q *pair) use(closed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lastUsed, q.closed = time.Now(), q.closed || closed
}

func (q *pair) state() (lastUsed time.Time, open bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.lastUsed, !q.closed
}

// silence makes a share of the open connections silent, those used last first. It
// returns how many, and how many are open.
func (p *proxy) silence(share float64) (silent, open int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var pairs []*pair
	for _, q := range p.pairs {
		if _, isOpen := q.state(); isOpen {
			pairs = append(pairs, q)
		}
	}
	slices.SortFunc(pairs, func(a, b *pair) int {
		usedA, _ := a.state()
		usedB, _ := b.state()
		return usedB.Compare(usedA)
	})
	silent = int(math.Ceil(share*float64(len(pairs)) - 1e-9))
	for _, q := range pairs[:silent] {
		q.mu.Lock()
		q.silent = true
		q.mu.Unlock()
	}
	return silent, len(pairs)
}

func (p *proxy) close() {
	_ = p.listener.Close() // ends run
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, q := range p.pairs {
		_ = q.conns[0].Close() // may have been closed
		_ = q.conns[1].Close() // may have been closed
	}
}

package soaker

import (
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
)

// The ways a proxy treats its connections.
const (
	Pass           Mode = iota
	Delay               // each piece of data is late
	Reset               // connections break, new ones too
	BlockAll            // nothing gets through, connections stay open
	BlockResponses      // calls get through, answers do not
)

const (
	proxyDelay  = 80 * time.Millisecond // of data under Delay; a slow store takes as long
	proxyBuffer = 16 << 10              // bytes
)

type (
	// Mode is the way a Proxy treats its connections.
	Mode int

	// Proxy forwards TCP connections on loopback and harms them on demand.
	Proxy struct {
		listener net.Listener
		target   string
		mu       sync.Mutex
		mode     Mode
		changed  chan struct{} // closed when the mode changes
		conns    map[net.Conn]bool
	}
)

// NewProxy starts a proxy for the target's IP:PORT. Close ends it.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Annotate(err, "proxy not started")
	}
	p := &Proxy{listener: l, target: target, changed: make(chan struct{}), conns: make(map[net.Conn]bool)}
	go p.acceptLoop()
	return p, nil
}

// Address is where the proxy listens.
func (p *Proxy) Address() string {
	return p.listener.Addr().String()
}

// SetMode changes the mode, also of open connections.
func (p *Proxy) SetMode(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	close(p.changed)
	p.changed = make(chan struct{})
	if m == Reset {
		p.closeAllConns()
	}
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeAllConns()
	return errors.Trace(p.listener.Close())
}

func (p *Proxy) closeAllConns() {
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // the connection is closed in any case, if not by a reset
		}
		_ = c.Close()
		delete(p.conns, c)
	}
}

func (p *Proxy) acceptLoop() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return // closed
		}
		go p.serve(in)
	}
}

func (p *Proxy) serve(in net.Conn) {
	out, err := net.Dial("tcp4", p.target)
	if err != nil {
		_ = in.Close() // the caller sees a broken connection
		return
	}
	p.mu.Lock()
	p.conns[in], p.conns[out] = true, true
	if p.mode == Reset {
		p.closeAllConns()
	}
	p.mu.Unlock()
	go p.copyData(out, in, false)
	p.copyData(in, out, true)
}

// copyData forwards one direction until either side ends.
func (p *Proxy) copyData(to, from net.Conn, isResponse bool) {
	defer p.closeConns(to, from)
	buf := make([]byte, proxyBuffer)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			p.delayData(isResponse)
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// delayData waits as long as the mode keeps data back.
func (p *Proxy) delayData(isResponse bool) {
	for {
		p.mu.Lock()
		mode, changed := p.mode, p.changed
		p.mu.Unlock()
		switch {
		case mode == BlockAll, mode == BlockResponses && isResponse:
			<-changed
		case mode == Delay:
			time.Sleep(proxyDelay)
			return
		default:
			return
		}
	}
}

func (p *Proxy) closeConns(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close() // closed already when both directions end
		delete(p.conns, c)
	}
}

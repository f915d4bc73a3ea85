package soaker

import (
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
)

// The modes of a proxy.
const (
	Pass           Mode = iota
	Delay               // all data is delayed
	Reset               // open and new connections are reset
	BlockAll            // no data is forwarded; connections stay open
	BlockResponses      // requests are forwarded and responses are not
)

const (
	proxyDelay  = 80 * time.Millisecond // delay of data in mode Delay, similar to a slow store
	proxyBuffer = 16 << 10
)

type (
	// Mode is how a Proxy treats its connections.
	Mode int

	// Proxy forwards TCP connections on the loopback interface and can delay,
	// reset or block them.
	Proxy struct {
		listener net.Listener
		target   string
		mu       sync.Mutex
		mode     Mode
		changed  chan struct{} // closed and replaced when the mode changes
		conns    map[net.Conn]bool
	}
)

// NewProxy starts a proxy for the target's IP:PORT. It runs until Close is called.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Annotate(err, "proxy not started")
	}
	p := &Proxy{listener: l, target: target, changed: make(chan struct{}), conns: make(map[net.Conn]bool)}
	go p.acceptLoop()
	return p, nil
}

// Address returns the IP:PORT on which the proxy listens.
func (p *Proxy) Address() string {
	return p.listener.Addr().String()
}

// SetMode changes the mode for open and new connections.
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

// ResetConnections resets the open connections. New ones are treated as before.
func (p *Proxy) ResetConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeAllConns()
}

// Close stops the proxy and closes its connections.
func (p *Proxy) Close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeAllConns()
	return errors.Trace(p.listener.Close())
}

// closeAllConns closes all connections with a TCP reset.
func (p *Proxy) closeAllConns() {
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // if this fails, the connection is closed without a reset
		}
		_ = c.Close()
		delete(p.conns, c)
	}
}

// acceptLoop accepts connections until the proxy is closed.
func (p *Proxy) acceptLoop() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return // the listener was closed
		}
		go p.serve(in)
	}
}

// serve forwards one connection to the target.
func (p *Proxy) serve(in net.Conn) {
	out, err := net.Dial("tcp4", p.target)
	if err != nil {
		_ = in.Close() // the target does not accept connections; the caller sees a broken connection
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

// copyData forwards data in one direction until either connection ends.
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

// delayData blocks for as long as the mode delays or blocks data.
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

// closeConns closes both connections of a forwarded connection.
func (p *Proxy) closeConns(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close() // the other direction may have closed it
		delete(p.conns, c)
	}
}

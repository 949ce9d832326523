package soaker

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// LinkMode is how a link treats connections and bytes.
type LinkMode string

// The modes of a link.
const (
	// Healthy links forward bytes at once.
	Healthy LinkMode = "sound"
	// Delayed links forward bytes after linkDelay.
	Delayed LinkMode = "delayed"
	// Reset links reset the open connections once and then forward as before.
	Reset LinkMode = "reset"
	// Refusing links reset the open connections and each new one.
	Refusing LinkMode = "refused"
	// Silent links forward no bytes, and OneWay links none from the target.
	Silent LinkMode = "silent"
	OneWay LinkMode = "one way"
)

// linkModes lists the modes, the healthy one first.
var linkModes = []LinkMode{Healthy, Delayed, Reset, Refusing, Silent, OneWay}

// linkDelay is longer than the delay between any two data centres of a region.
const linkDelay = 120 * time.Millisecond

// Proxy is a link: it forwards connections to an address.
type Proxy struct {
	listener net.Listener
	wait     sync.WaitGroup

	mu      sync.Mutex
	target  string
	mode    LinkMode
	changed chan struct{}
	conns   map[net.Conn]bool
	closed  bool
}

// NewProxy returns a healthy link to an address, which listens on a free port of 127.0.0.1.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: target, mode: Healthy, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	p.wait.Add(1)
	go p.acceptLoop()
	return p, nil
}

// Address returns the address on which the link listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetMode changes the mode. Reset and Refusing reset the open connections.
func (p *Proxy) SetMode(m LinkMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	close(p.changed)
	p.changed = make(chan struct{})
	if m == Reset || m == Refusing {
		p.resetAll()
	}
}

// Crash makes the link refuse connections, and then resets the open ones, as when the process behind it ends.
func (p *Proxy) Crash() {
	_ = p.listener.Close() // Close closes it once more.
	p.SetMode(Refusing)
}

// resetAll resets the open connections. The caller holds the lock.
func (p *Proxy) resetAll() {
	for c := range p.conns {
		reset(c)
	}
	p.conns = map[net.Conn]bool{}
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // It fails only on a closed connection.
	}
	_ = c.Close()
}

// Close resets the open connections, stops listening and waits for the goroutines of the link.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	close(p.changed)
	p.changed = make(chan struct{})
	p.resetAll()
	p.mu.Unlock()
	_ = p.listener.Close()
	p.wait.Wait()
}

// acceptLoop accepts connections until the listener is closed.
func (p *Proxy) acceptLoop() {
	defer p.wait.Done()
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.wait.Add(1)
		go p.forwardConn(c)
	}
}

// forwardConn connects to the target and forwards one connection in both directions.
func (p *Proxy) forwardConn(c net.Conn) {
	defer p.wait.Done()
	p.mu.Lock()
	target, refused := p.target, p.mode == Refusing || p.closed
	p.mu.Unlock()
	if refused {
		reset(c)
		return
	}
	upstream, err := net.Dial("tcp", target)
	if err != nil {
		reset(c)
		return
	}
	if !p.track(c, upstream) {
		return
	}
	p.wait.Add(2)
	go p.forwardBytes(c, upstream, true)
	go p.forwardBytes(upstream, c, false)
}

// track records open connections. It resets them and returns false if the link is closed.
func (p *Proxy) track(conns ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		if p.closed {
			reset(c)
			continue
		}
		p.conns[c] = true
	}
	return !p.closed
}

// forwardBytes forwards the bytes of one direction until its end or until the connection is reset.
func (p *Proxy) forwardBytes(from, to net.Conn, toTarget bool) {
	defer p.wait.Done()
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if n > 0 {
			if !p.awaitPass(toTarget) {
				return
			}
			if _, failed := to.Write(b[:n]); failed != nil {
				p.resetConns(from, to)
				return
			}
		}
		if errors.Is(err, io.EOF) {
			if !p.awaitPass(toTarget) {
				return
			}
			if t, ok := to.(*net.TCPConn); ok {
				_ = t.CloseWrite() // It fails only if the other side has closed already.
			}
			return
		}
		if err != nil {
			p.resetConns(from, to)
			return
		}
	}
}

// resetConns resets both sides of a connection.
func (p *Proxy) resetConns(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.conns, c)
		reset(c)
	}
}

// awaitPass waits until the mode lets bytes of a direction pass. It returns false once the link is closed.
func (p *Proxy) awaitPass(toTarget bool) bool {
	for {
		p.mu.Lock()
		mode, changed, closed := p.mode, p.changed, p.closed
		p.mu.Unlock()
		switch {
		case closed:
			return false
		case mode == Delayed:
			time.Sleep(linkDelay)
			return true
		case mode == Silent || mode == OneWay && !toTarget:
			<-changed
		default:
			return true
		}
	}
}

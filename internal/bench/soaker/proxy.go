package soaker

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Mode is what a link does.
type Mode string

// The modes of a link.
const (
	// Sound links pass bytes on.
	Sound Mode = "sound"
	// Delayed links pass bytes on late.
	Delayed Mode = "delayed"
	// Reset links reset each connection once, and go on.
	Reset Mode = "reset"
	// Refused links reset each new connection as well.
	Refused Mode = "refused"
	// Silent links hold all bytes back, and OneWay links those of answers.
	Silent Mode = "silent"
	OneWay Mode = "one way"
)

// modes lists the modes, the sound one first.
var modes = []Mode{Sound, Delayed, Reset, Refused, Silent, OneWay}

// linkDelay is how late a delayed link passes bytes on: more than any way between data centres of a region takes.
const linkDelay = 120 * time.Millisecond

// Proxy is a link: it passes connections on to an address.
type Proxy struct {
	listener net.Listener
	wait     sync.WaitGroup

	mu      sync.Mutex
	target  string
	mode    Mode
	changed chan struct{}
	conns   map[net.Conn]bool
	closed  bool
}

// NewProxy returns a sound link to an address, on a free port of 127.0.0.1.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: target, mode: Sound, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	p.wait.Add(1)
	go p.run()
	return p, nil
}

// Address returns where the link is reached.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set changes the mode. Reset and Refused links drop the connections that are open.
func (p *Proxy) Set(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	close(p.changed)
	p.changed = make(chan struct{})
	if m == Reset || m == Refused {
		p.drop()
	}
}

// drop resets the open connections. The lock is held.
func (p *Proxy) drop() {
	for c := range p.conns {
		reset(c)
	}
	p.conns = map[net.Conn]bool{}
}

// reset closes a connection with a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // It fails only on a closed connection.
	}
	_ = c.Close()
}

// Close ends the link.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	close(p.changed)
	p.changed = make(chan struct{})
	p.drop()
	p.mu.Unlock()
	_ = p.listener.Close()
	p.wait.Wait()
}

// run takes connections.
func (p *Proxy) run() {
	defer p.wait.Done()
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.wait.Add(1)
		go p.runConn(c)
	}
}

// runConn passes one connection on.
func (p *Proxy) runConn(c net.Conn) {
	defer p.wait.Done()
	p.mu.Lock()
	target, refused := p.target, p.mode == Refused || p.closed
	p.mu.Unlock()
	if refused {
		reset(c)
		return
	}
	t, err := net.Dial("tcp", target)
	if err != nil {
		reset(c)
		return
	}
	if !p.add(c, t) {
		return
	}
	p.wait.Add(2)
	go p.runBytes(c, t, true)
	go p.runBytes(t, c, false)
}

// add notes open connections. It resets them and returns false if the link is being closed.
func (p *Proxy) add(conns ...net.Conn) bool {
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

// runBytes passes the bytes of one direction on until its end, or until the connection is reset.
func (p *Proxy) runBytes(from, to net.Conn, forth bool) {
	defer p.wait.Done()
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if n > 0 {
			if !p.hold(forth) {
				return
			}
			if _, failed := to.Write(b[:n]); failed != nil {
				p.end(from, to)
				return
			}
		}
		if errors.Is(err, io.EOF) {
			if !p.hold(forth) {
				return
			}
			if t, ok := to.(*net.TCPConn); ok {
				_ = t.CloseWrite() // It fails only if the other side has closed already.
			}
			return
		}
		if err != nil {
			p.end(from, to)
			return
		}
	}
}

// end resets both sides of a connection.
func (p *Proxy) end(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.conns, c)
		reset(c)
	}
}

// hold waits until bytes of a direction may pass. It returns false once the link is closed.
func (p *Proxy) hold(forth bool) bool {
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
		case mode == Silent || mode == OneWay && !forth:
			<-changed
		default:
			return true
		}
	}
}

package soak

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Mode is what a link does to what passes it.
type Mode int32

// The modes.
const (
	// Open passes everything on.
	Open Mode = iota
	// Delayed passes everything on late.
	Delayed
	// OneWay swallows what comes back.
	OneWay
	// Silent swallows everything; connections stay open.
	Silent
	// Refusing resets all connections.
	Refusing
)

const (
	linkDelay  = 80 * time.Millisecond
	linkBuffer = 32 << 10
)

// Link is a proxy on loopback between a process and what it talks to.
type Link struct {
	listener net.Listener
	target   string
	mode     atomic.Int32

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// NewLink returns a link to a target.
func NewLink(target string) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, ErrStart.Wrap(err, "link to %s", target)
	}
	l := &Link{listener: listener, target: target, conns: make(map[net.Conn]bool)}
	go l.accept()
	return l, nil
}

// Address returns where the link listens.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Set changes the mode. Refusing resets what is open; a connection of which
// bytes were swallowed stays silent for good.
func (l *Link) Set(m Mode) {
	l.mode.Store(int32(m))
	if m == Refusing {
		l.Reset()
	}
}

// Close ends the link.
func (l *Link) Close() {
	_ = l.listener.Close()
	l.Reset()
}

// Reset breaks the connections that are open, once.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (l *Link) accept() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.join(near)
	}
}

func (l *Link) join(near net.Conn) {
	l.hold(near, true)
	defer l.hold(near, false)
	defer func() { _ = near.Close() }()
	if Mode(l.mode.Load()) == Refusing {
		return
	}
	far, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	l.hold(far, true)
	defer l.hold(far, false)
	defer func() { _ = far.Close() }()
	done := make(chan struct{}, 2)
	go func() { l.pump(far, near, false); done <- struct{}{} }()
	go func() { l.pump(near, far, true); done <- struct{}{} }()
	<-done
}

// pump copies until either end closes, answers on the way back. Once a byte is
// swallowed the rest of the connection is.
func (l *Link) pump(to, from net.Conn, answers bool) {
	buf := make([]byte, linkBuffer)
	lost := false
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		m := Mode(l.mode.Load())
		if m == Delayed {
			time.Sleep(linkDelay)
		}
		lost = lost || m == Silent || m == OneWay && answers
		if lost {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (l *Link) hold(c net.Conn, held bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if held {
		l.conns[c] = true
		return
	}
	delete(l.conns, c)
}

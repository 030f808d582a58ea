package soak

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Mode is how a link handles connections and data.
type Mode int32

// Modes of a link.
const (
	// Forward forwards data in both directions.
	Forward Mode = iota
	// Delay forwards data 80 ms late, separately for each read of a connection.
	Delay
	// DropResponses drops the data from the target and forwards the data to it.
	DropResponses
	// DropAll drops the data in both directions. Connections stay open.
	DropAll
	// Refuse closes new connections immediately.
	Refuse
	// Hold carries nothing until the mode changes, and then all that came meanwhile, as a suspended process at the
	// target does. It is not among the modes that are drawn at random.
	Hold
)

const (
	linkDelay  = 80 * time.Millisecond
	linkBuffer = 32 << 10 // bytes
	// holdPollInterval is the time between two looks whether a link still holds data.
	holdPollInterval = 5 * time.Millisecond
)

// Link is a TCP proxy on loopback that simulates network faults between a process and a
// server. It is safe for concurrent use.
type Link struct {
	listener net.Listener
	target   string
	mode     atomic.Int32

	// losses counts how often all connections that were open fell silent for good.
	losses atomic.Int64

	mu    sync.Mutex
	conns map[net.Conn]bool // open connections, on both sides
}

// NewLink starts a link to a target, a host:port. Errors: ErrStart.
func NewLink(target string) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, ErrStart.Wrap(err, "listen for link to %s", target)
	}
	l := &Link{listener: listener, target: target, conns: make(map[net.Conn]bool)}
	go l.accept()
	return l, nil
}

// Address returns the host:port on which the link listens.
func (l *Link) Address() string { return l.listener.Addr().String() }

// SetMode changes the mode. Refuse also resets the open connections. A connection with
// dropped data drops all further data in that direction, in any later mode.
func (l *Link) SetMode(m Mode) {
	l.mode.Store(int32(m))
	if m == Refuse {
		l.Reset()
	}
}

// LoseConnections makes the open connections carry nothing any more, without an end on either side, as a load balancer
// does that has forgotten them. Later connections are unaffected.
func (l *Link) LoseConnections() { l.losses.Add(1) }

// Close closes the listener and resets the open connections.
func (l *Link) Close() {
	_ = l.listener.Close()
	l.Reset()
}

// Reset resets the open connections. The mode and later connections are unaffected.
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

// accept serves connections until the listener is closed.
func (l *Link) accept() {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.serve(client)
	}
}

// serve connects a client with the target until one of them closes its connection, or until both do if it has been lost.
func (l *Link) serve(client net.Conn) {
	losses := l.losses.Load()
	isLost := func() bool { return l.losses.Load() != losses }
	l.track(client, true)
	defer l.track(client, false)
	defer func() { _ = client.Close() }()
	if Mode(l.mode.Load()) == Refuse {
		return
	}
	server, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	l.track(server, true)
	defer l.track(server, false)
	defer func() { _ = server.Close() }()
	done := make(chan struct{}, 2)
	go func() { l.relay(server, client, false, isLost); done <- struct{}{} }()
	go func() { l.relay(client, server, true, isLost); done <- struct{}{} }()
	<-done
	if isLost() {
		<-done
	}
}

// relay copies data from src to dst until either is closed. responses marks the direction
// from the target to the client. Once data has been dropped, all further data is, as a
// stream with a gap would be corrupt.
func (l *Link) relay(dst, src net.Conn, responses bool, isLost func() bool) {
	buf := make([]byte, linkBuffer)
	dropping := false
	for {
		n, err := src.Read(buf)
		if err != nil {
			return
		}
		m := Mode(l.mode.Load())
		if m == Delay {
			time.Sleep(linkDelay)
		}
		for m == Hold {
			time.Sleep(holdPollInterval)
			m = Mode(l.mode.Load())
		}
		dropping = dropping || isLost() || m == DropAll || m == DropResponses && responses
		if dropping {
			continue
		}
		if _, err := dst.Write(buf[:n]); err != nil {
			return
		}
	}
}

// track adds a connection to the open ones, or removes it.
func (l *Link) track(c net.Conn, open bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if open {
		l.conns[c] = true
		return
	}
	delete(l.conns, c)
}

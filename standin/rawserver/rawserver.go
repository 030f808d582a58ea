// Package rawserver is a stand-in for an upstream in trouble: it answers requests with any bytes, which need not be
// responses. It is for development and tests only.
package rawserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// End is what happens to a connection after an answer.
type End int

// Ways to go on after an answer.
const (
	// Close closes the connection.
	Close End = iota
	// Reset resets the connection.
	Reset
	// StayOpen keeps the connection open and answers what follows on it.
	StayOpen
)

// Answer is what the server sends to a request.
type Answer struct {
	// Text is sent as it is.
	Text string
	// Unread leaves the body of the request unread.
	Unread bool
	// After is the time between the answer and its End.
	After time.Duration
	End   End
}

// Server is a running stand-in. It is safe for concurrent use.
type Server struct {
	listener net.Listener
	respond  func(*http.Request) Answer

	mu       sync.Mutex
	conns    map[net.Conn]bool
	requests int
	reused   int
}

// Listen starts a server on a free port of the loopback interface. It calls respond for each request.
func Listen(respond func(*http.Request) Answer) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{listener: l, respond: respond, conns: make(map[net.Conn]bool)}
	go s.accept()
	return s, nil
}

// Address returns the host:port of the server.
func (s *Server) Address() string { return s.listener.Addr().String() }

// URL returns the base URL of the server.
func (s *Server) URL() string { return "http://" + s.Address() }

// Requests returns the number of requests whose head was read.
func (s *Server) Requests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

// Reused returns the number of requests on connections on which an answer had been sent before.
func (s *Server) Reused() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reused
}

// Close stops listening and closes all connections.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
}

// accept serves connections until the server is closed.
func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = true
		s.mu.Unlock()
		go s.serve(conn)
	}
}

// serve answers the requests on a connection until one of them ends it.
func (s *Server) serve(conn net.Conn) {
	defer s.drop(conn)
	in := bufio.NewReader(conn)
	for answered := false; ; answered = true {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		s.count(answered)
		if !s.answer(conn, r) {
			return
		}
	}
}

// answer answers a request and reports whether the connection stays open.
func (s *Server) answer(conn net.Conn, r *http.Request) bool {
	a := s.respond(r)
	if !a.Unread {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return false
		}
	}
	if _, err := io.WriteString(conn, a.Text); err != nil {
		return false
	}
	time.Sleep(a.After)
	if tcp, ok := conn.(*net.TCPConn); ok && a.End == Reset {
		_ = tcp.SetLinger(0)
	}
	return a.End == StayOpen
}

// count counts a request on a connection on which another one may have been answered.
func (s *Server) count(answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
	if answered {
		s.reused++
	}
}

// drop closes a connection.
func (s *Server) drop(conn net.Conn) {
	_ = conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

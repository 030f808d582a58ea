// Package endless is a stand-in for a faulty server whose responses have no end.
package endless

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Response is what a Server sends to each request: Start once, and Part again and again until the caller closes the
// connection. Both are written as they are.
type Response struct {
	Start, Part string
	// Interval is the time between two parts; zero sends them as fast as the caller takes them.
	Interval time.Duration
}

// Server accepts connections on a port of its own. It is safe for concurrent use.
type Server struct {
	listener net.Listener
	response Response
	// part is Response.Part. It is converted once, so that what is sent costs no memory of the test's process.
	part   []byte
	sent   atomic.Int64
	closed atomic.Int64
}

// Listen starts a server. Close must be called.
func Listen(response Response) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{listener: l, response: response, part: []byte(response.Part)}
	go s.accept()
	return s, nil
}

// Address returns the host:port address of the server.
func (s *Server) Address() string { return s.listener.Addr().String() }

// URL returns the base URL of the server.
func (s *Server) URL() string { return "http://" + s.Address() }

// Sent returns the number of bytes that were written to all connections.
func (s *Server) Sent() int64 { return s.sent.Load() }

// Closed returns the number of connections that callers have closed during a response.
func (s *Server) Closed() int64 { return s.closed.Load() }

// Close stops accepting connections.
func (s *Server) Close() { _ = s.listener.Close() }

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

// serve answers the first request of a connection.
func (s *Server) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	n, err := io.WriteString(c, s.response.Start)
	s.sent.Add(int64(n))
	for err == nil {
		n, err = c.Write(s.part)
		s.sent.Add(int64(n))
		time.Sleep(s.response.Interval)
	}
	s.closed.Add(1)
}

// Package host runs the HTTP server of a stand-in. It can close connections in the ways that
// failing machines do, and has helpers for requests and responses in JSON. It is for
// development and tests only.
package host

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	readHeaderTimeout = 10 * time.Second
	// maxBodyBytes is the maximum size of a request body: 64 MiB.
	maxBodyBytes = 64 << 20
)

// requestCountKey is the context key of the number of requests on a connection.
type requestCountKey struct{}

// Server is a running HTTP server.
type Server struct {
	url    string
	server *http.Server
	// done is closed when the server has stopped.
	done chan struct{}
}

// Start serves handler on l until Close or Crash.
func Start(l net.Listener, handler http.Handler) *Server {
	s := &Server{url: "http://" + l.Addr().String(), done: make(chan struct{})}
	s.server = &http.Server{
		Handler:           countRequests(handler),
		ReadHeaderTimeout: readHeaderTimeout,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, requestCountKey{}, new(atomic.Int64))
		},
	}
	go func() {
		defer close(s.done)
		_ = s.server.Serve(l)
	}()
	return s
}

// URL returns the base URL of the server.
func (s *Server) URL() string {
	return s.url
}

// Close closes the listener and all connections, and waits until the server has stopped
// accepting.
func (s *Server) Close() error {
	err := s.server.Close()
	<-s.done
	return err
}

// Crash closes the listener and all connections without waiting, so that a handler can call
// it.
func (s *Server) Crash() {
	_ = s.server.Close()
}

// countRequests counts the requests on each connection and limits the size of their bodies.
func countRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if count, ok := r.Context().Value(requestCountKey{}).(*atomic.Int64); ok {
			count.Add(1)
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		next.ServeHTTP(w, r)
	})
}

// OnReusedConnection reports whether the request came on a connection that was used by
// another request before.
func OnReusedConnection(r *http.Request) bool {
	count, ok := r.Context().Value(requestCountKey{}).(*atomic.Int64)
	return ok && count.Load() > 1
}

// ResetConnection closes the connection of the request with a TCP reset. If the connection
// can't be hijacked, it aborts the response by a panic with http.ErrAbortHandler.
func ResetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// WriteJSON responds with a status and body encoded as JSON.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// ReadJSON decodes the JSON body of a request into the value that into points to. If the
// body is malformed, it responds with status 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	body, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(body, into)
	}
	if err != nil {
		http.Error(w, "malformed body", http.StatusBadRequest)
		return false
	}
	return true
}

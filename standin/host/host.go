// Package host serves a stand-in's handler on a listener and cuts connections
// the way that failing machines do. It is for development and tests.
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
	headerTimeout = 10 * time.Second
	maxBodyBytes  = 64 << 20
)

type connectionKey struct{}

// Host is a running HTTP server.
type Host struct {
	url    string
	server *http.Server
	done   chan struct{}
}

// Start serves handler on l until Close.
func Start(l net.Listener, handler http.Handler) *Host {
	h := &Host{url: "http://" + l.Addr().String(), done: make(chan struct{})}
	h.server = &http.Server{
		Handler:           counted(handler),
		ReadHeaderTimeout: headerTimeout,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, connectionKey{}, new(atomic.Int64))
		},
	}
	go func() {
		defer close(h.done)
		_ = h.server.Serve(l)
	}()
	return h
}

// URL returns the base URL of the server.
func (h *Host) URL() string {
	return h.url
}

// Close cuts all connections and stops the server.
func (h *Host) Close() error {
	err := h.server.Close()
	<-h.done
	return err
}

// Crash cuts all connections and stops listening without waiting, so that a
// handler may call it.
func (h *Host) Crash() {
	_ = h.server.Close()
}

func counted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n, ok := r.Context().Value(connectionKey{}).(*atomic.Int64); ok {
			n.Add(1)
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		next.ServeHTTP(w, r)
	})
}

// Reused reports whether the request came on a connection that carried another
// request before.
func Reused(r *http.Request) bool {
	n, ok := r.Context().Value(connectionKey{}).(*atomic.Int64)
	return ok && n.Load() > 1
}

// Reset closes the connection of the request with a TCP reset.
func Reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// WriteJSON answers with a JSON body.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// ReadJSON decodes the request's body and answers 400 when it is malformed.
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

package listen

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"slices"
	"time"
)

const (
	// maxIdle is how long a connection may wait for a request before a shutdown closes it, unless it is kept for
	// longer; see reuseLimit.
	maxIdle = 500 * time.Millisecond
	// acceptWait is how long the listener accepts connections whose handshake was under way when the
	// connections at the start of a shutdown had ended.
	acceptWait = 50 * time.Millisecond
	// closeMargin is how long before the deadline of a shutdown the listener is closed though earlier
	// connections are left. Requests on connections accepted last are answered in that time.
	closeMargin = 200 * time.Millisecond
	// shutdownPoll is the interval at which a shutdown looks at the connections.
	shutdownPoll = 20 * time.Millisecond
)

// Shutdown waits until the connections that are open have ended, then closes the listener and waits
// for those accepted meanwhile. Until then each request is passed to the handler, which should refuse
// new ones; http.Server.Shutdown would discard requests that it reads. Responses tell callers to
// close their connections. Connections without a request are closed after a short time if Bounds.RefuseIdle
// is set, or no IdleLimit is; otherwise they are kept for the IdleLimit, as a request that crosses the close
// gets no answer. If ctx ends first, Shutdown returns the error of ctx, and the server goes on with the
// connections that are left. Shortly before a deadline of ctx, or after it if the process did not run in time,
// it closes the listener all the same, so that Close resets no connection that was just opened.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stopping.Store(true)
	acceptCtx, cancel := withEarlierDeadline(ctx, closeMargin)
	defer cancel()
	keep := s.acceptor.set.reuseLimit
	_ = awaitEnd(acceptCtx, s.acceptor.set.all(), keep)
	if errors.Is(ctx.Err(), context.Canceled) {
		return ctx.Err()
	}
	s.closeListener()
	if err := awaitEnd(ctx, s.acceptor.set.all(), keep); err != nil {
		return err
	}
	return s.http.Close()
}

// AskToClose makes responses to requests from now on ask callers to close their connections, before Shutdown.
func (s *Server) AskToClose() { s.stopping.Store(true) }

// closeListener accepts the connections that wait and closes the listener. It looks at no deadline: Close
// would reset those that are left. Where handshakes can't be ignored, callers that keep connecting
// could hold it up, so that it returns after some time though the listener is open.
func (s *Server) closeListener() {
	select {
	case <-s.served:
		return
	default:
	}
	s.acceptor.drain(acceptWait)
	select {
	case <-s.served:
	case <-time.After(acceptWait + closeMargin):
	}
}

// withEarlierDeadline returns a context that ends with ctx, or the margin before its deadline.
func withEarlierDeadline(ctx context.Context, margin time.Duration) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline.Add(-margin))
}

// awaitEnd waits until the connections have been closed, and closes those that have waited for a request for the
// time that keep returns.
func awaitEnd(ctx context.Context, conns []*conn, keep func() time.Duration) error {
	ticker := time.NewTicker(shutdownPoll)
	defer ticker.Stop()
	for {
		conns = slices.DeleteFunc(conns, (*conn).isClosed)
		if len(conns) == 0 {
			return nil
		}
		idle := keep()
		for _, c := range conns {
			c.interrupt(idle)
			c.endLinger()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// withCloseHeader returns a handler whose responses ask callers to close their connections while
// the server shuts down.
func (s *Server) withCloseHeader(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// trackState records which connections wait for a request.
func trackState(c net.Conn, state http.ConnState) {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	tracked, ok := c.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		tracked.beginRequest()
	case http.StateIdle:
		tracked.awaitRequest()
	}
}

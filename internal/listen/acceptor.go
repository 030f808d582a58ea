package listen

import (
	"errors"
	"log/slog"
	"net"
	"os"
	"sync/atomic"
	"time"
)

// acceptor is a listener whose connections are members of a set. It can be closed without resetting
// connections that wait to be accepted.
type acceptor struct {
	net.Listener
	set *connSet
	log *slog.Logger
	// draining reports whether the listener is closed once nothing waits to be accepted.
	draining atomic.Bool
}

// Accept implements net.Listener.
func (a *acceptor) Accept() (net.Conn, error) {
	c, err := a.Listener.Accept()
	if err == nil {
		return a.set.add(c), nil
	}
	if a.draining.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
		if c := acceptPending(a.Listener); c != nil {
			return a.set.add(c), nil
		}
		return nil, errors.Join(net.ErrClosed, a.Close())
	}
	return nil, err
}

// drain accepts the connections that wait and those whose handshake ends within the given time, and
// closes the listener then. Where the kernel has no socket filters, new connections are accepted until then.
func (a *acceptor) drain(wait time.Duration) {
	if err := ignoreHandshakes(a.Listener); err != nil {
		a.log.Debug("handshakes that begin while the listener is closed are not ignored", "error", err)
	}
	a.draining.Store(true)
	limited, ok := a.Listener.(interface{ SetDeadline(time.Time) error })
	if !ok || limited.SetDeadline(time.Now().Add(wait)) != nil {
		_ = a.Close()
	}
}

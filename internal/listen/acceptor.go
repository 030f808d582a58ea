package listen

import (
	"errors"
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

// drain accepts what arrives within the given time and closes the listener then.
func (a *acceptor) drain(wait time.Duration) {
	a.draining.Store(true)
	limited, ok := a.Listener.(interface{ SetDeadline(time.Time) error })
	if !ok || limited.SetDeadline(time.Now().Add(wait)) != nil {
		_ = a.Close()
	}
}

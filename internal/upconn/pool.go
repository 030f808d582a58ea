package upconn

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/poplarshore/poplarshore/internal/socket"
)

// Options configures a Pool.
type Options struct {
	// DialTimeout is how long opening a connection may take. Default 500 ms.
	DialTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept. A shorter idle
	// timeout reported by the upstream is used instead. Default 4 s.
	IdleTimeout time.Duration
	// MaxIdleConns is the largest number of unused connections to one upstream.
	// Default 64.
	MaxIdleConns int
	// TCPUserTimeout is how long sent data, or keep-alive probes, may remain unacknowledged
	// before the connection is closed. It is also the time limit for writing a request.
	// Default 3 s, so that an upstream that is silent for a second keeps its connections.
	TCPUserTimeout time.Duration
	// LocalAddress is the address of this host that connections come from; the host chooses
	// one if it is invalid.
	LocalAddress netip.Addr
	// Dial opens connections in place of the host; nil for none.
	Dial Dial
}

// Dial opens a connection before ctx ends.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// DefaultOptions returns the default options.
func DefaultOptions() Options {
	return Options{
		DialTimeout: 500 * time.Millisecond, IdleTimeout: 4 * time.Second,
		MaxIdleConns: 64, TCPUserTimeout: 3 * time.Second,
	}
}

const (
	readBufferBytes = 4 << 10
	// keepAliveInterval is the time without traffic after which TCP keep-alive probes begin,
	// and between two of them. They detect a dead peer on a connection without unacknowledged
	// data.
	keepAliveInterval = time.Second
)

// keepAliveProbes returns the number of unanswered keep-alive probes after which a connection
// ends. Where TCP_USER_TIMEOUT is set, as it is here, that alone decides on Linux when the
// probes give up; the number only agrees with it.
func (o Options) keepAliveProbes() int {
	return max(int(o.TCPUserTimeout/keepAliveInterval)-1, 1)
}

// Pool holds the unused connections to all upstreams. It is safe for concurrent
// use.
type Pool struct {
	opts  Options
	dials atomic.Int64

	mu   sync.Mutex
	idle map[string][]*conn
}

// conn is one connection. It is used by one exchange at a time.
type conn struct {
	net.Conn
	address string
	// reader reads from the connection through budget, and that through patient.
	patient *patientReader
	budget  *budgetReader
	reader  *bufio.Reader
	// expiresAt is when the unused connection must no longer be reused; zero if it was never idle.
	expiresAt time.Time
	// used reports whether a request was sent, and lastID is the ID of the latest one.
	used   bool
	lastID string
	// earlyUntil is until when the end of the unused connection is no idle timeout of the
	// upstream; zero if the upstream reported none.
	earlyUntil time.Time
}

// NewPool returns a pool without connections.
func NewPool(opts Options) *Pool {
	if opts.Dial == nil {
		opts.Dial = newDialer(opts).DialContext
	}
	return &Pool{opts: opts, idle: make(map[string][]*conn)}
}

// newDialer returns a dialer whose connections end if the peer doesn't answer.
func newDialer(opts Options) *net.Dialer {
	dialer := &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: opts.keepAliveProbes(),
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var err error
			ctlErr := raw.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(opts.TCPUserTimeout.Milliseconds()))
			})
			if ctlErr != nil {
				return ctlErr
			}
			return err
		},
	}
	if opts.LocalAddress.IsValid() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(opts.LocalAddress, 0))
	}
	return dialer
}

// Dials returns the number of attempts to open a connection since the pool was
// created.
func (p *Pool) Dials() int64 { return p.dials.Load() }

// get returns an idle connection for the call or opens a new one.
func (p *Pool) get(ctx context.Context, call *Call) (*conn, error) {
	for {
		c := p.popIdle(call)
		if c == nil {
			return p.dial(ctx, call.Address)
		}
		if time.Now().Before(c.expiresAt) && c.isIdle() {
			return c, nil
		}
		_ = c.Close()
	}
}

// Connect opens a connection to an upstream and keeps it for a later request. Errors:
// ErrRefused, ErrConnectTimeout, ErrNotSent if ctx ended.
func (p *Pool) Connect(ctx context.Context, address string) error {
	c, err := p.dial(ctx, address)
	if err != nil {
		return err
	}
	p.putUnused(c)
	return nil
}

// HasIdle reports whether a connection to an upstream is kept that is open and has not expired.
func (p *Pool) HasIdle(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[address]
	if len(idle) == 0 {
		return false
	}
	newest := idle[len(idle)-1]
	return time.Now().Before(newest.expiresAt) && newest.isIdle()
}

// popIdle removes and returns the most recently used idle connection that suits the call, or nil
// if there is none.
func (p *Pool) popIdle(call *Call) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[call.Address]
	for i := len(idle) - 1; i >= 0; i-- {
		if c := idle[i]; c.suits(call) {
			p.idle[call.Address] = slices.Delete(idle, i, i+1)
			return c
		}
	}
	return nil
}

// suits reports whether the response to the call can be told from those to the requests that were
// sent on the connection before.
func (c *conn) suits(call *Call) bool {
	return !c.used || call.ResponseID == nil || call.ID != "" && call.ID != c.lastID
}

// dial opens a connection. Errors: ErrRefused, ErrConnectTimeout, ErrNotSent if ctx ended.
func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	p.dials.Add(1)
	dialCtx, cancel := context.WithTimeout(ctx, p.opts.DialTimeout)
	defer cancel()
	c, err := p.opts.Dial(dialCtx, "tcp", address)
	if err != nil {
		return nil, connectError(ctx, err, address)
	}
	patient := &patientReader{conn: c}
	budget := &budgetReader{source: patient, left: unlimited}
	return &conn{Conn: c, address: address, patient: patient, budget: budget, reader: bufio.NewReaderSize(budget, readBufferBytes)}, nil
}

// connectError wraps the error of a failed connect by what it says about the way to the
// upstream: nothing if ctx ended.
func connectError(ctx context.Context, err error, address string) error {
	var netErr net.Error
	switch {
	case ctx.Err() != nil:
		return ErrNotSent.Wrap(err, "connect to %s", address)
	case errors.As(err, &netErr) && netErr.Timeout():
		return ErrConnectTimeout.Wrap(err, "connect to %s", address)
	}
	return ErrRefused.Wrap(err, "connect to %s", address)
}

// putUnused returns a connection to the pool on which nothing was sent since it was taken or
// opened. Its idle time goes on.
func (p *Pool) putUnused(c *conn) {
	if c.expiresAt.IsZero() {
		p.putIdle(c, 0)
		return
	}
	p.keep(c)
}

// putIdle returns a connection to the pool after a request. The upstream's idle timeout is zero
// if unknown.
func (p *Pool) putIdle(c *conn, idleTimeout time.Duration) {
	c.earlyUntil = time.Time{}
	if idleTimeout > 0 {
		c.earlyUntil = time.Now().Add(time.Duration(float64(idleTimeout) * earlyFraction))
	}
	if idleTimeout <= 0 || idleTimeout > p.opts.IdleTimeout {
		idleTimeout = p.opts.IdleTimeout
	}
	c.expiresAt = time.Now().Add(idleTimeout)
	p.keep(c)
}

// keep adds a connection to the idle ones. It is closed if there are MaxIdleConns already.
func (p *Pool) keep(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.address]) >= p.opts.MaxIdleConns {
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// CloseIdle closes the unused connections to an upstream. It is called after one of
// its connections timed out, or when the upstream was removed.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	idle := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

// earlyFraction is the fraction of an upstream's idle timeout before which it ends no unused
// connection unless it ends itself.
const earlyFraction = 0.8

// CloseEnded closes unused connections that upstreams have ended, where the most recently used
// one is among them, and returns the addresses of the upstreams that ended one well before
// their idle timeout. Such an upstream has probably ended.
func (p *Pool) CloseEnded() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	var early []string
	for address, idle := range p.idle {
		if len(idle) == 0 || idle[len(idle)-1].isIdle() {
			continue
		}
		newest := idle[len(idle)-1]
		if now.Before(newest.earlyUntil) {
			early = append(early, address)
		}
		open := idle[:0]
		for _, c := range idle {
			if c.isIdle() {
				open = append(open, c)
				continue
			}
			_ = c.Close()
		}
		if p.idle[address] = open; len(open) == 0 {
			delete(p.idle, address)
		}
	}
	return early
}

// Sweep closes the unused connections that have expired at the given time.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, idle := range p.idle {
		unexpired := idle[:0]
		for _, c := range idle {
			if now.Before(c.expiresAt) {
				unexpired = append(unexpired, c)
				continue
			}
			_ = c.Close()
		}
		if len(unexpired) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = unexpired
	}
}

// Close closes all unused connections.
func (p *Pool) Close() {
	p.Sweep(time.Now().Add(2 * p.opts.IdleTimeout))
}

// isIdle reports whether an unused connection is still open and has received no
// unexpected data.
func (c *conn) isIdle() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	return socket.StateOf(c.Conn) == socket.Quiet
}

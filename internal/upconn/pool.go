package upconn

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Options bound the dealings with upstreams.
type Options struct {
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// MaxIdle is how long an unused connection is kept where the upstream
	// does not say.
	MaxIdle time.Duration
	// MaxKept bounds the unused connections to one upstream.
	MaxKept int
	// DeadAfter is how long a peer may leave bytes unacknowledged.
	DeadAfter time.Duration
}

// DefaultOptions returns the default options.
func DefaultOptions() Options {
	return Options{
		DialTimeout: 500 * time.Millisecond, MaxIdle: 4 * time.Second,
		MaxKept: 64, DeadAfter: 3 * time.Second,
	}
}

const (
	readBufferBytes = 4 << 10
	probeInterval   = time.Second
	probeCount      = 2
)

// Pool keeps connections to all upstreams. It is safe for concurrent use.
type Pool struct {
	opts   Options
	dialer net.Dialer
	dials  atomic.Int64

	mu   sync.Mutex
	idle map[string][]*conn
}

// conn is one connection; one exchange uses it at a time.
type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	// usableUntil ends the reuse of an unused connection.
	usableUntil time.Time
}

// NewPool returns a pool without connections.
func NewPool(opts Options) *Pool {
	return &Pool{
		opts: opts,
		dialer: net.Dialer{
			Timeout: opts.DialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount,
			},
			Control: func(_, _ string, raw syscall.RawConn) error {
				var err error
				ctlErr := raw.Control(func(fd uintptr) {
					err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(opts.DeadAfter.Milliseconds()))
				})
				if ctlErr != nil {
					return ctlErr
				}
				return err
			},
		},
		idle: make(map[string][]*conn),
	}
}

// Dials returns the number of connections opened since the start.
func (p *Pool) Dials() int64 { return p.dials.Load() }

// get returns a kept connection or opens one.
func (p *Pool) get(ctx context.Context, address string) (*conn, error) {
	for {
		c := p.take(address)
		if c == nil {
			return p.dial(ctx, address)
		}
		if time.Now().Before(c.usableUntil) && c.quiet() {
			return c, nil
		}
		_ = c.Close()
	}
}

func (p *Pool) take(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[address]
	if len(kept) == 0 {
		return nil
	}
	c := kept[len(kept)-1]
	p.idle[address] = kept[:len(kept)-1]
	return c
}

func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	p.dials.Add(1)
	c, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, ErrNotSent.Wrap(err, "connect to %s", address)
	}
	return &conn{Conn: c, address: address, reader: bufio.NewReaderSize(c, readBufferBytes)}, nil
}

// put keeps a connection for later; keep is how long the upstream keeps it.
func (p *Pool) put(c *conn, keep time.Duration) {
	if keep <= 0 || keep > p.opts.MaxIdle {
		keep = p.opts.MaxIdle
	}
	c.usableUntil = time.Now().Add(keep)
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.address]) >= p.opts.MaxKept {
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// Drop closes the kept connections to an upstream, after one of them went
// silent or the upstream left.
func (p *Pool) Drop(address string) {
	p.mu.Lock()
	kept := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range kept {
		_ = c.Close()
	}
}

// Sweep closes connections that are kept for too long.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, kept := range p.idle {
		live := kept[:0]
		for _, c := range kept {
			if now.Before(c.usableUntil) {
				live = append(live, c)
				continue
			}
			_ = c.Close()
		}
		if len(live) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = live
	}
}

// Close closes all kept connections.
func (p *Pool) Close() {
	p.Sweep(time.Now().Add(2 * p.opts.MaxIdle))
}

// quiet tells that nothing came on an unused connection: neither its end nor
// bytes that nobody asked for.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sys, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}

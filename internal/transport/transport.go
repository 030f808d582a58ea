// Package transport provides HTTP connection pools for upstreams.
//
// Each upstream has its own pool. A request that must not be sent twice uses a
// new connection: net/http resends a request by itself only if a reused
// connection fails, so a request on a new connection is sent at most once.
//
// On a reused connection a response may belong to an earlier request, as net/http accepts whatever
// comes next. It is therefore accepted only if it names the request.
//
// net/http also accepts heads that are those of no response, and takes any end of a connection for that of a body without a
// length. Checked fails such requests; each http.Transport of this product is behind it.
package transport

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Options configures a Pool. Zero values select the defaults.
type Options struct {
	// ConnectTimeout is how long opening a connection may take, and again its TLS
	// handshake. Default 1 s.
	ConnectTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept. Default 30 s.
	IdleTimeout time.Duration
	// MaxIdleConns is the largest number of unused connections to one upstream.
	// Default 64.
	MaxIdleConns int
	// TLS is the configuration for https addresses. Nil uses the default
	// configuration with the system's root certificates.
	TLS *tls.Config
}

func (o Options) withDefaults() Options {
	if o.ConnectTimeout == 0 {
		o.ConnectTimeout = time.Second
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = 30 * time.Second
	}
	if o.MaxIdleConns == 0 {
		o.MaxIdleConns = 64
	}
	return o
}

// Pool holds the connections to one upstream.
type Pool struct {
	opts       Options
	keepAlive  *CheckedTransport
	singleUse  *CheckedTransport
	idempotent *verifying
	dials      atomic.Int64
}

// NewPool returns a pool without connections.
func NewPool(opts Options) *Pool {
	p := &Pool{opts: opts.withDefaults()}
	p.keepAlive = Checked(p.newTransport())
	singleUse := p.newTransport()
	singleUse.DisableKeepAlives = true
	p.singleUse = Checked(singleUse)
	p.idempotent = &verifying{keepAlive: p.keepAlive, singleUse: p.singleUse}
	return p
}

// Idempotent returns the round tripper for requests that may be sent more than
// once. It reuses connections. The response to a request with HeaderAttempt must repeat that, or
// come over a new connection; otherwise the error is ErrNoAnswer.
func (p *Pool) Idempotent() http.RoundTripper {
	return p.idempotent
}

// NonIdempotent returns the round tripper for requests that must not be sent more than
// once. It opens a new connection for each request.
func (p *Pool) NonIdempotent() http.RoundTripper {
	return p.singleUse
}

// ByMethod returns the round tripper for services whose responses name no request. It reuses
// connections for reads (GET and HEAD) and opens a new one for each other request, so that a
// repeated response to an earlier request is never taken for the result of a write.
func (p *Pool) ByMethod() http.RoundTripper {
	return byMethod{reads: p.keepAlive, writes: p.singleUse}
}

// byMethod selects the round tripper by the method of the request.
type byMethod struct{ reads, writes http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (b byMethod) RoundTrip(req *http.Request) (*http.Response, error) {
	if req.Method == http.MethodGet || req.Method == http.MethodHead {
		return b.reads.RoundTrip(req)
	}
	return b.writes.RoundTrip(req)
}

// CloseIdle closes the unused connections. It is called after a connection of the
// pool timed out, as the others may be dead too.
func (p *Pool) CloseIdle() {
	p.keepAlive.CloseIdleConnections()
}

// Dials returns the number of attempts to open a connection since the pool was
// created.
func (p *Pool) Dials() int64 {
	return p.dials.Load()
}

// Close closes the unused connections.
func (p *Pool) Close() {
	p.keepAlive.CloseIdleConnections()
	p.singleUse.CloseIdleConnections()
}

// newTransport returns a transport with the pool's options that counts dials.
func (p *Pool) newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: p.opts.ConnectTimeout, KeepAlive: p.opts.IdleTimeout / 2}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			p.dials.Add(1)
			return dialer.DialContext(ctx, network, addr)
		},
		TLSClientConfig:        p.opts.TLS,
		TLSHandshakeTimeout:    p.opts.ConnectTimeout,
		MaxIdleConns:           p.opts.MaxIdleConns,
		MaxIdleConnsPerHost:    p.opts.MaxIdleConns,
		MaxResponseHeaderBytes: MaxResponseHeaderBytes,
		IdleConnTimeout:        p.opts.IdleTimeout,
		DisableCompression:     true,
		ExpectContinueTimeout:  0,
	}
}

// Pools holds one pool per address. It is safe for concurrent use.
type Pools struct {
	opts Options

	mu    sync.RWMutex
	pools map[string]*Pool
}

// NewPools returns an empty set of pools.
func NewPools(opts Options) *Pools {
	return &Pools{opts: opts, pools: make(map[string]*Pool)}
}

// For returns the pool of the address and creates it if there is none.
func (ps *Pools) For(address string) *Pool {
	ps.mu.RLock()
	p := ps.pools[address]
	ps.mu.RUnlock()
	if p != nil {
		return p
	}
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if p = ps.pools[address]; p == nil {
		p = NewPool(ps.opts)
		ps.pools[address] = p
	}
	return p
}

// Retain closes and removes the pools of all addresses that are not in the set.
func (ps *Pools) Retain(addresses map[string]bool) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for address, p := range ps.pools {
		if !addresses[address] {
			p.Close()
			delete(ps.pools, address)
		}
	}
}

// Close closes all pools.
func (ps *Pools) Close() {
	ps.Retain(nil)
}

// Package transport opens connections to upstreams and keeps the ones that may
// be reused.
//
// Each upstream has a pool of its own. Calls that must not be repeated go out
// on a connection of their own: net/http resends a request by itself only when
// a reused connection fails, so a fresh connection can't lead to a second run.
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

// Options bound the dealings with upstreams.
type Options struct {
	// ConnectTimeout bounds the opening of a connection. Default 1 s.
	ConnectTimeout time.Duration
	// IdleTimeout closes connections that were unused for so long. Default 30 s.
	IdleTimeout time.Duration
	// MaxIdle is the number of unused connections kept for each upstream. Default 64.
	MaxIdle int
	// TLS is used for https addresses. Nil means the platform's roots.
	TLS *tls.Config
}

func (o Options) withDefaults() Options {
	if o.ConnectTimeout == 0 {
		o.ConnectTimeout = time.Second
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = 30 * time.Second
	}
	if o.MaxIdle == 0 {
		o.MaxIdle = 64
	}
	return o
}

// Pool holds the connections to one upstream.
type Pool struct {
	opts   Options
	reused *http.Transport
	single *http.Transport
	dials  atomic.Int64
}

// NewPool returns a pool without connections.
func NewPool(opts Options) *Pool {
	p := &Pool{opts: opts.withDefaults()}
	p.reused = p.newTransport()
	p.single = p.newTransport()
	p.single.DisableKeepAlives = true
	return p
}

// Repeatable returns the round tripper for requests that may be sent again.
func (p *Pool) Repeatable() http.RoundTripper {
	return p.reused
}

// Once returns the round tripper for requests that must not be sent again.
// Every request opens a connection of its own.
func (p *Pool) Once() http.RoundTripper {
	return p.single
}

// Suspect drops the unused connections, after one of the pool went silent.
func (p *Pool) Suspect() {
	p.reused.CloseIdleConnections()
}

// Dials returns the number of connections opened.
func (p *Pool) Dials() int64 {
	return p.dials.Load()
}

// Close drops the unused connections.
func (p *Pool) Close() {
	p.reused.CloseIdleConnections()
	p.single.CloseIdleConnections()
}

func (p *Pool) newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: p.opts.ConnectTimeout, KeepAlive: p.opts.IdleTimeout / 2}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			p.dials.Add(1)
			return dialer.DialContext(ctx, network, addr)
		},
		TLSClientConfig:       p.opts.TLS,
		TLSHandshakeTimeout:   p.opts.ConnectTimeout,
		MaxIdleConns:          p.opts.MaxIdle,
		MaxIdleConnsPerHost:   p.opts.MaxIdle,
		IdleConnTimeout:       p.opts.IdleTimeout,
		DisableCompression:    true,
		ExpectContinueTimeout: 0,
	}
}

// Pools holds one pool for each address.
type Pools struct {
	opts Options

	mu    sync.RWMutex
	pools map[string]*Pool
}

// NewPools returns an empty set of pools.
func NewPools(opts Options) *Pools {
	return &Pools{opts: opts, pools: make(map[string]*Pool)}
}

// For returns the pool of the address, and makes it where there is none.
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

// Retain closes and forgets the pools of all other addresses.
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

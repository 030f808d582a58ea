// Package listen serves HTTP on the listeners of a process, with limits per connection
// and with TLS if the settings name a certificate. It also creates the TLS
// configurations of servers and clients. Certificates are reloaded when their files
// change.
package listen

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/settings"
)

var namespace = errorx.NewNamespace("listen")

var (
	// ErrListen reports an address on which a listener can't be opened.
	ErrListen = namespace.NewType("listen")
	// ErrCertificate reports a file of certificates or keys that can't be read or is
	// invalid.
	ErrCertificate = namespace.NewType("certificate")
)

// Bounds limit the resources that one connection may use.
type Bounds struct {
	// MaxHeaderBytes limits the size of a request's header. Default
	// http.DefaultMaxHeaderBytes.
	MaxHeaderBytes int
	// HeaderTimeout limits the time for reading a request's header. By default there
	// is no limit.
	HeaderTimeout time.Duration
	// IdleTimeout limits the time that a connection stays open without a request. By
	// default there is no limit.
	IdleTimeout time.Duration
	// IdleLimit returns the limit in force, where it may change; connections are kept for IdleTimeout or for
	// this, whichever is longer. It applies to connections that are idle already. HTTP/2 has IdleTimeout only. Default nil.
	IdleLimit func() time.Duration
	// RefuseIdle makes Shutdown send status 408 on connections that it closes as idle: a request that crosses the
	// close is refused, and has not run. Encrypted connections get none.
	RefuseIdle bool
}

// Server serves HTTP on one listener.
type Server struct {
	http     *http.Server
	acceptor *acceptor
	// served is closed when no more connections are accepted.
	served chan struct{}
	// stopping reports whether Shutdown has been called.
	stopping atomic.Bool
}

// Open opens a listener and serves h on it in a new goroutine until Close or Shutdown.
// Errors of connections are logged at debug level. Errors: ErrListen, ErrCertificate.
func Open(l settings.Listener, h http.Handler, b Bounds, log *slog.Logger) (*Server, error) {
	listener, err := listenTCP(l.Address)
	if err != nil {
		return nil, ErrListen.Wrap(err, "listening on address %q", l.Address)
	}
	accepting := &acceptor{Listener: listener, set: newConnSet(l.TLS.Enabled(), b.IdleLimit), log: log}
	accepting.set.refuseIdle = b.RefuseIdle
	s := &Server{acceptor: accepting, served: make(chan struct{})}
	s.http = &http.Server{
		Handler:           s.withCloseHeader(h),
		MaxHeaderBytes:    b.MaxHeaderBytes,
		ReadHeaderTimeout: b.HeaderTimeout,
		IdleTimeout:       b.IdleTimeout,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
		// A success must come from an upstream, also one for OPTIONS *.
		DisableGeneralOptionsHandler: true,
		ConnState:                    trackState,
	}
	if l.TLS.Enabled() {
		config, err := ServerTLS(l.TLS)
		if err != nil {
			_ = listener.Close()
			return nil, err
		}
		s.http.TLSConfig = config
	}
	go s.serve()
	return s, nil
}

// listenTCP opens a listener without Multipath TCP, whose sockets take no filter; see ignoreHandshakes.
func listenTCP(address string) (net.Listener, error) {
	var config net.ListenConfig
	config.SetMultipathTCP(false)
	return config.Listen(context.Background(), "tcp", address)
}

// serve serves requests until the server is closed.
func (s *Server) serve() {
	defer close(s.served)
	// The error is ignored: ServeTLS and Serve return one even after Close.
	if s.http.TLSConfig != nil {
		_ = s.http.ServeTLS(s.acceptor, "", "")
		return
	}
	_ = s.http.Serve(s.acceptor)
}

// Address returns the listener's address as host:port.
func (s *Server) Address() string {
	return s.acceptor.Addr().String()
}

// Close closes the listener and all connections, which aborts requests in flight. The
// address is free when it returns.
func (s *Server) Close() error {
	err := s.http.Close()
	// The http.Server does not know the listener if serve has not run yet.
	if closeErr := s.acceptor.Close(); !errors.Is(closeErr, net.ErrClosed) {
		err = errors.Join(err, closeErr)
	}
	// Nor does it know connections that linger.
	for _, c := range s.acceptor.set.all() {
		_ = c.closeNow()
	}
	return err
}

// ServerTLS returns the TLS configuration of a listener, for TLS 1.3. If t names a file
// of client certificate authorities, clients must present a certificate signed by one
// of them. Errors: ErrCertificate.
func ServerTLS(t settings.TLS) (*tls.Config, error) {
	cert := &certificate{certFile: t.CertFile, keyFile: t.KeyFile}
	if _, err := cert.get(nil); err != nil {
		return nil, err
	}
	config := &tls.Config{MinVersion: tls.VersionTLS13, GetCertificate: cert.get}
	if t.ClientCAFile == "" {
		return config, nil
	}
	pool, err := CertPool(t.ClientCAFile)
	if err != nil {
		return nil, err
	}
	config.ClientCAs = pool
	config.ClientAuth = tls.RequireAndVerifyClientCert
	return config, nil
}

// ClientTLS returns the TLS configuration, for TLS 1.3, of connections to servers whose
// certificates are signed by the authorities in caFile; if caFile is empty, by those of
// the system. The client presents the certificate of clientCert, if there is one.
// Errors: ErrCertificate if caFile can't be used.
func ClientTLS(caFile string, clientCert settings.TLS) (*tls.Config, error) {
	config := &tls.Config{MinVersion: tls.VersionTLS13}
	if caFile != "" {
		pool, err := CertPool(caFile)
		if err != nil {
			return nil, err
		}
		config.RootCAs = pool
	}
	if clientCert.Enabled() {
		cert := &certificate{certFile: clientCert.CertFile, keyFile: clientCert.KeyFile}
		config.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return cert.get(nil) }
	}
	return config, nil
}

// CertPool reads the certificate authorities in a PEM file. Errors: ErrCertificate.
func CertPool(path string) (*x509.CertPool, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, ErrCertificate.Wrap(err, "authorities")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, ErrCertificate.New("file %q contains no valid PEM certificate", path)
	}
	return pool, nil
}

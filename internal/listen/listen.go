// Package listen opens the listeners of a process, by TLS where a certificate
// is named, and serves HTTP on them under bounds.
package listen

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"log/slog"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/settings"
)

var namespace = errorx.NewNamespace("listen")

var (
	// ErrListen reports an address that can't be listened on.
	ErrListen = namespace.NewType("listen")
	// ErrCertificate reports certificate files that can't be used.
	ErrCertificate = namespace.NewType("certificate")
)

// Bounds limit what one connection may cost.
type Bounds struct {
	MaxHeaderBytes int
	HeaderTimeout  time.Duration
	KeepAlive      time.Duration
}

// Server serves HTTP on one listener.
type Server struct {
	http     *http.Server
	listener net.Listener
}

// Open listens, and serves h in a goroutine of its own until Close.
func Open(l settings.Listener, h http.Handler, b Bounds, log *slog.Logger) (*Server, error) {
	listener, err := net.Listen("tcp", l.Address)
	if err != nil {
		return nil, ErrListen.Wrap(err, "address %q", l.Address)
	}
	s := &Server{listener: listener, http: &http.Server{
		Handler:           h,
		MaxHeaderBytes:    b.MaxHeaderBytes,
		ReadHeaderTimeout: b.HeaderTimeout,
		IdleTimeout:       b.KeepAlive,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}}
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

func (s *Server) serve() {
	// Serve returns when the server is closed.
	if s.http.TLSConfig != nil {
		_ = s.http.ServeTLS(s.listener, "", "")
		return
	}
	_ = s.http.Serve(s.listener)
}

// Address returns the address listened on.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Shutdown stops accepting connections and waits for requests in flight until
// ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.http.Shutdown(ctx)
}

// Close closes the listener and all connections.
func (s *Server) Close() error {
	return s.http.Close()
}

// ServerTLS returns the configuration of a listener. Its certificate is read
// again when its file changes.
func ServerTLS(t settings.TLS) (*tls.Config, error) {
	files := &certificate{certFile: t.CertFile, keyFile: t.KeyFile}
	if _, err := files.get(nil); err != nil {
		return nil, err
	}
	config := &tls.Config{MinVersion: tls.VersionTLS13, GetCertificate: files.get}
	if t.ClientCAFile == "" {
		return config, nil
	}
	pool, err := Pool(t.ClientCAFile)
	if err != nil {
		return nil, err
	}
	config.ClientCAs = pool
	config.ClientAuth = tls.RequireAndVerifyClientCert
	return config, nil
}

// ClientTLS returns the configuration for connections to servers that the
// authorities in caFile sign. The certificate of mine, if any, is shown to them.
func ClientTLS(caFile string, mine settings.TLS) (*tls.Config, error) {
	config := &tls.Config{MinVersion: tls.VersionTLS13}
	if caFile != "" {
		pool, err := Pool(caFile)
		if err != nil {
			return nil, err
		}
		config.RootCAs = pool
	}
	if mine.Enabled() {
		files := &certificate{certFile: mine.CertFile, keyFile: mine.KeyFile}
		config.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return files.get(nil) }
	}
	return config, nil
}

// Pool reads the authorities in a PEM file.
func Pool(path string) (*x509.CertPool, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, ErrCertificate.Wrap(err, "authorities")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, ErrCertificate.New("file %q holds no certificate", path)
	}
	return pool, nil
}

// Package operator serves operators: health, metrics, the status of this VM and
// changes of the configuration document.
package operator

import (
	"context"
	"net/http"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/poplarshore/poplarshore/account"
	"github.com/poplarshore/poplarshore/coord/revision"
	"github.com/poplarshore/poplarshore/internal/peer"
)

// maxRequestBytes bounds an operator's request.
const maxRequestBytes = 17 << 20

// Options set up a Server.
type Options struct {
	Token     []byte
	Node      *revision.Node
	Publisher *revision.Publisher
	// Ready tells whether the balancer should send callers here, or why not.
	Ready func() (reason string, ok bool)
	// Status returns what this VM shows, encoded as JSON.
	Status   func() any
	Registry prometheus.Gatherer
	Clock    clockwork.Clock
	// Promotion signs or verifies documents.
	Promotion Promotion
	// History returns the newest revisions, oldest first.
	History func(ctx context.Context) ([]revision.Revision, error)
	// Totals returns the ledger's totals of a client account.
	Totals func(ctx context.Context, id account.ID) (any, error)
}

// Server answers operators.
type Server struct {
	opts Options
	mux  *http.ServeMux
}

// New returns a server.
func New(opts Options) *Server {
	s := &Server{opts: opts, mux: http.NewServeMux()}
	s.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	s.mux.HandleFunc("GET /readyz", s.ready)
	s.mux.Handle("GET /metrics", promhttp.HandlerFor(opts.Registry, promhttp.HandlerOpts{}))
	s.mux.HandleFunc("GET /operator/v1/status", s.authorized(s.status))
	s.mux.HandleFunc("GET /operator/v1/document", s.authorized(s.document))
	s.mux.HandleFunc("POST /operator/v1/document", s.authorized(s.propose))
	s.mux.HandleFunc("GET /operator/v1/in-force/{number}", s.authorized(s.inForce))
	s.mux.HandleFunc("POST /operator/v1/edit", s.authorized(s.edit))
	s.mux.HandleFunc("GET /operator/v1/history", s.authorized(s.history))
	s.mux.HandleFunc("GET /operator/v1/ledger/{account}", s.authorized(s.ledger))
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

func (s *Server) authorized(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !peer.Authorized(r, s.opts.Token) {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeError(w, http.StatusUnauthorized, Problem{Code: "unauthorized", Message: "The operator token is missing or wrong."})
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxRequestBytes)
		h(w, r)
	}
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	reason, ok := s.opts.Ready()
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = w.Write([]byte(reason + "\n"))
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	peer.WriteJSON(w, s.opts.Status())
}

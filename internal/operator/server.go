// Package operator implements the HTTP API for operators on an entry VM: health, metrics,
// the status of the VM, the ledger's totals, and reads and changes of the configuration
// document. All paths under /operator/v1 require the operator token.
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

// maxRequestBytes is the maximum size of a request body.
const maxRequestBytes = 17 << 20

// Options configures a Server. All fields but Promotion are required.
type Options struct {
	// Token is the bearer token of operators.
	Token []byte
	// Node provides the document in force on this VM.
	Node *revision.Node
	// Publisher publishes new revisions of the document.
	Publisher *revision.Publisher
	// Ready reports whether the load balancer should send callers to this VM. The reason
	// is the body of the response of /readyz in both cases.
	Ready func() (reason string, ok bool)
	// Status returns the status of this VM, which is encoded as JSON.
	Status func() any
	// Registry provides the metrics.
	Registry prometheus.Gatherer
	Clock    clockwork.Clock
	// Promotion signs or verifies documents. Default: neither.
	Promotion Promotion
	// History returns the newest revisions, oldest first.
	History func(ctx context.Context) ([]revision.Revision, error)
	// Totals returns the ledger's totals of a client account, which are encoded as JSON.
	Totals func(ctx context.Context, id account.ID) (any, error)
}

// Server is the HTTP handler of the operators' port. It is safe for concurrent use.
type Server struct {
	opts Options
	mux  *http.ServeMux
}

// New returns a server with the given options.
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

// authorized returns a handler that requires the operator token, limits the request body
// to maxRequestBytes and calls h.
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

// ready serves the readiness check of the load balancer: status 200 or 503.
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

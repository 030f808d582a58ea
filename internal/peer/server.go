package peer

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/jonboulle/clockwork"

	"github.com/poplarshore/poplarshore/coord/revision"
	"github.com/poplarshore/poplarshore/limit"
)

// Server answers other entry VMs.
type Server struct {
	token    []byte
	node     *revision.Node
	spreader *revision.Spreader
	limiter  *limit.Limiter
	clock    clockwork.Clock
	mux      *http.ServeMux
	packed   packed
}

// NewServer returns a server.
func NewServer(token []byte, node *revision.Node, spreader *revision.Spreader, limiter *limit.Limiter, clock clockwork.Clock) *Server {
	s := &Server{
		token: token, node: node, spreader: spreader, limiter: limiter, clock: clock,
		mux: http.NewServeMux(),
	}
	s.mux.HandleFunc("POST "+pathDigest, s.digest)
	s.mux.HandleFunc("GET "+pathBody+"{hash}", s.body)
	s.mux.HandleFunc("POST "+pathLimits, s.limits)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !Authorized(r, s.token) {
		w.WriteHeader(http.StatusUnauthorized)
		return
	}
	r.Body = http.MaxBytesReader(w, r.Body, maxMessageBytes)
	s.mux.ServeHTTP(w, r)
}

// Handle adds a handler for another message.
func (s *Server) Handle(pattern string, h http.HandlerFunc) {
	s.mux.HandleFunc(pattern, h)
}

// Authorized tells whether the request bears the token. Hashes are compared,
// so that the time taken does not depend on the token.
func Authorized(r *http.Request, token []byte) bool {
	shown, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	a := sha256.Sum256([]byte(shown))
	b := sha256.Sum256(token)
	return ok && subtle.ConstantTimeCompare(a[:], b[:]) == 1
}

func (s *Server) digest(w http.ResponseWriter, r *http.Request) {
	var d revision.Digest
	if !ReadJSON(w, r, &d) {
		return
	}
	WriteJSON(w, s.spreader.Answer(d))
}

func (s *Server) body(w http.ResponseWriter, r *http.Request) {
	body, ok := s.node.Body(revision.Hash(r.PathValue("hash")))
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.writeBody(w, r, revision.Hash(r.PathValue("hash")), body)
}

func (s *Server) limits(w http.ResponseWriter, r *http.Request) {
	var report limit.Report
	if !ReadJSON(w, r, &report) {
		return
	}
	s.limiter.Observe(report, s.clock.Now())
	w.WriteHeader(http.StatusNoContent)
}

// ReadJSON reads a message; false tells that it was refused.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return false
	}
	return true
}

// WriteJSON writes an answer.
func WriteJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

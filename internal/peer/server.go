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

// Server serves the requests of other entry VMs. It implements http.Handler.
type Server struct {
	token   []byte
	node    *revision.Node
	syncer  *revision.Syncer
	limiter *limit.Limiter
	clock   clockwork.Clock
	mux     *http.ServeMux
	packed  packedCache
}

// NewServer returns a server that requires the token in each request. It serves
// the documents of the node, answers digests through the syncer and passes limit
// reports to the limiter. Handle adds further messages.
func NewServer(token []byte, node *revision.Node, syncer *revision.Syncer, limiter *limit.Limiter,
	clock clockwork.Clock) *Server {
	s := &Server{
		token: token, node: node, syncer: syncer, limiter: limiter, clock: clock,
		mux: http.NewServeMux(),
	}
	s.mux.HandleFunc("POST "+pathDigest, s.handleDigest)
	s.mux.HandleFunc("GET "+pathBody+"{hash}", s.handleBody)
	s.mux.HandleFunc("POST "+pathLimits, s.handleLimits)
	return s
}

// ServeHTTP implements http.Handler. It answers 401 to a request without the token
// and bounds the bodies of requests to maxMessageBytes.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !Authorized(r, s.token) {
		w.WriteHeader(http.StatusUnauthorized)
		return
	}
	r.Body = http.MaxBytesReader(w, r.Body, maxMessageBytes)
	s.mux.ServeHTTP(w, r)
}

// Handle adds a handler for an http.ServeMux pattern. Call it before the server
// serves.
func (s *Server) Handle(pattern string, h http.HandlerFunc) {
	s.mux.HandleFunc(pattern, h)
}

// Authorized reports whether the request has the bearer token. It compares hashes,
// so that the duration of the comparison doesn't depend on the token.
func Authorized(r *http.Request, token []byte) bool {
	presented, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	presentedHash := sha256.Sum256([]byte(presented))
	expectedHash := sha256.Sum256(token)
	return ok && subtle.ConstantTimeCompare(presentedHash[:], expectedHash[:]) == 1
}

func (s *Server) handleDigest(w http.ResponseWriter, r *http.Request) {
	var d revision.Digest
	if !ReadJSON(w, r, &d) {
		return
	}
	WriteJSON(w, s.syncer.HandleExchange(d))
}

func (s *Server) handleBody(w http.ResponseWriter, r *http.Request) {
	body, ok := s.node.Body(revision.Hash(r.PathValue("hash")))
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.writeBody(w, r, revision.Hash(r.PathValue("hash")), body)
}

func (s *Server) handleLimits(w http.ResponseWriter, r *http.Request) {
	var report limit.Report
	if !ReadJSON(w, r, &report) {
		return
	}
	s.limiter.Observe(report, s.clock.Now())
	w.WriteHeader(http.StatusNoContent)
}

// ReadJSON decodes the body of a request. If that fails, it answers 400 and returns
// false.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return false
	}
	return true
}

// WriteJSON writes v as the JSON body of a response. It ignores errors.
func WriteJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

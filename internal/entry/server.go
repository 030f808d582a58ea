package entry

import (
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/poplarshore/poplarshore/cascade"
	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/internal/engineclient"
	"github.com/poplarshore/poplarshore/internal/ring"
	"github.com/poplarshore/poplarshore/internal/transport"
	"github.com/poplarshore/poplarshore/refusal"
	"github.com/poplarshore/poplarshore/retry"
)

// Options bound what callers may send and how long things may take.
type Options struct {
	// Region is the region of this VM.
	Region domain.Region
	// Hop names this router in the loop guard header.
	Hop string
	// MaxBodyBytes bounds a request body. Default 4 MiB.
	MaxBodyBytes int64
	// BodyTimeout is the longest time for a request body to arrive. Default 10 s.
	BodyTimeout time.Duration
	// MaxTokens bounds max_tokens. Default 32768.
	MaxTokens int64
	// DefaultTokens is the estimate of an answer without max_tokens. Default 256.
	DefaultTokens int64
	// MaxResumes bounds how often one attempt is resumed. Default 3.
	MaxResumes int
	// MaxHeldBytes bounds an answer that is held whole. Default 8 MiB.
	MaxHeldBytes int64
	// ServiceIdle is the longest wait for the headers of a plain service's or
	// the older router's answer, and between its parts. Default 10 s.
	ServiceIdle time.Duration
	// WriteTimeout is the longest time for a caller to take what it was sent.
	// Default 30 s.
	WriteTimeout time.Duration
	// BillTimeout is the longest wait for a billing record. Default 5 s.
	BillTimeout time.Duration
}

func (o Options) withDefaults() Options {
	setDefault(&o.MaxBodyBytes, 4<<20)
	setDefault(&o.BodyTimeout, 10*time.Second)
	setDefault(&o.MaxTokens, 32768)
	setDefault(&o.DefaultTokens, 256)
	setDefault(&o.MaxResumes, 3)
	setDefault(&o.MaxHeldBytes, 8<<20)
	setDefault(&o.ServiceIdle, 10*time.Second)
	setDefault(&o.WriteTimeout, 30*time.Second)
	setDefault(&o.BillTimeout, 5*time.Second)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Deps are the parts that the entry works with.
type Deps struct {
	Config    Config
	Versions  Versions
	Placement Placement
	Retry     *retry.Policy
	Limits    Limits
	Cascades  *cascade.Decider
	Ratings   Ratings
	Biller    Biller
	Claims    Claims
	Sessions  Sessions
	Addresses Addresses
	Engines   *engineclient.Client
	Pools     *transport.Pools
	Clock     clockwork.Clock
	// NewID returns an id that is unique everywhere.
	NewID func() string
	// NewRequestID returns a request id that is unique everywhere.
	NewRequestID func(issued time.Time) string
	// NewSessionID returns the hexadecimal id of a new session.
	NewSessionID func() string
	// Draw returns a random number in [0, 1).
	Draw func() float64
	// ResumeKey signs resume tokens; it is the same on all VMs.
	ResumeKey []byte
	// Registry takes the entry's metrics.
	Registry prometheus.Registerer
}

// Server answers callers.
type Server struct {
	Deps
	opts    Options
	metrics *metrics
	mux     *http.ServeMux
	drain   drain
	cancels *ring.Ring[cancel]
	// learners carries work for the cascades' estimates.
	learners *ring.Ring[lesson]
}

// New returns a server.
func New(deps Deps, opts Options) *Server {
	s := &Server{
		Deps:     deps,
		opts:     opts.withDefaults(),
		metrics:  newMetrics(deps.Registry),
		cancels:  ring.New[cancel](cancelRing),
		learners: ring.New[lesson](learnRing),
	}
	s.mux = http.NewServeMux()
	s.mux.HandleFunc("POST /v1/chat/completions", s.handle(s.chat))
	s.mux.HandleFunc("POST /v1/completions", s.handle(s.plain))
	s.mux.HandleFunc("GET /v1/models", s.handle(s.listModels))
	s.mux.HandleFunc("GET /v1/streams/{token}", s.handle(s.resumeStream))
	s.mux.HandleFunc("/services/{service}/{path...}", s.handle(s.callService))
	s.mux.HandleFunc("/v1/", s.handle(wrongMethod))
	s.mux.HandleFunc("/", s.handle(unknownPath))
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// Drain refuses new requests from now on.
func (s *Server) Drain() {
	s.drain.begin()
}

// Idle returns a channel that is closed once no request is in flight. Call
// Drain first.
func (s *Server) Idle() <-chan struct{} {
	return s.drain.idle()
}

// InFlight returns the number of requests in flight.
func (s *Server) InFlight() int {
	return s.drain.count()
}

// handler serves one exchange; an error is told to the caller.
type handler func(x *Exchange, w http.ResponseWriter, r *http.Request) error

func (s *Server) handle(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		x := s.newExchange(r)
		w.Header().Set(headerRequestID, x.ID)
		if !s.drain.enter() {
			s.refuse(x, w, refusal.New(refusal.Draining))
			return
		}
		defer s.drain.leave()
		answer := &responseWriter{ResponseWriter: w, limit: s.opts.WriteTimeout}
		err := s.admitCaller(x, r)
		if err == nil {
			err = h(x, answer, r)
		}
		s.finish(x, answer, err)
	}
}

// finish tells the caller of an error: by a refusal where nothing was sent
// yet, else by breaking the answer off.
func (s *Server) finish(x *Exchange, w *responseWriter, err error) {
	if err == nil {
		s.metrics.answers.Inc()
		return
	}
	if !w.begun {
		s.refuse(x, w, refusal.FromError(err))
		return
	}
	s.metrics.cut.WithLabelValues(string(refusal.FromError(err).Reason)).Inc()
	panic(http.ErrAbortHandler)
}

func wrongMethod(_ *Exchange, _ http.ResponseWriter, r *http.Request) error {
	switch r.URL.Path {
	case "/v1/chat/completions", "/v1/completions", "/v1/models":
		return refusal.New(refusal.MethodNotAllowed)
	}
	return refusal.New(refusal.PathUnknown)
}

func unknownPath(_ *Exchange, _ http.ResponseWriter, _ *http.Request) error {
	return refusal.New(refusal.PathUnknown)
}

// responseWriter remembers whether anything was sent to the caller.
type responseWriter struct {
	http.ResponseWriter
	begun bool
	// limit bounds each write to the caller.
	limit time.Duration
}

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	w.begun = true
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *responseWriter) Write(b []byte) (int, error) {
	w.begun = true
	w.bound()
	return w.ResponseWriter.Write(b)
}

// FlushError implements the flushing of http.ResponseController.
func (w *responseWriter) FlushError() error {
	w.bound()
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// bound sets the time by which the next write must be taken. A caller that
// stops reading is given up then.
func (w *responseWriter) bound() {
	_ = http.NewResponseController(w.ResponseWriter).SetWriteDeadline(time.Now().Add(w.limit))
}

// Unwrap lets http.ResponseController find the connection.
func (w *responseWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

// drain counts requests in flight and refuses new ones once begun.
type drain struct {
	mu      sync.Mutex
	begun   bool
	flights int
	done    chan struct{}
}

func (d *drain) enter() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.begun {
		return false
	}
	d.flights++
	return true
}

func (d *drain) leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.flights--
	d.signal()
}

func (d *drain) begin() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.begun {
		return
	}
	d.begun = true
	if d.done == nil {
		d.done = make(chan struct{})
	}
	d.signal()
}

// signal closes done once draining has begun and nothing is in flight.
func (d *drain) signal() {
	if !d.begun || d.flights > 0 {
		return
	}
	select {
	case <-d.done:
	default:
		close(d.done)
	}
}

func (d *drain) idle() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.done == nil {
		d.done = make(chan struct{})
	}
	return d.done
}

func (d *drain) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.flights
}

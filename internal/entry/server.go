package entry

import (
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/poplarshore/poplarshore/cascade"
	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/internal/engineclient"
	"github.com/poplarshore/poplarshore/internal/membudget"
	"github.com/poplarshore/poplarshore/internal/ring"
	"github.com/poplarshore/poplarshore/internal/transport"
	"github.com/poplarshore/poplarshore/refusal"
	"github.com/poplarshore/poplarshore/retry"
)

// Options limits what callers may send and how long a request may take. Zero
// limits select the defaults.
type Options struct {
	// Region is the region of this VM.
	Region domain.Region
	// Hop identifies this router in the Poplarshore-Hop header, by which loops
	// between routers are detected.
	Hop string
	// MaxBodyBytes is the largest request body. Default 4 MiB.
	MaxBodyBytes int64
	// BodyTimeout is how long a request body may take to arrive. Default 10 s.
	BodyTimeout time.Duration
	// MaxTokens is the largest max_tokens that callers may request. Default 32768.
	MaxTokens int64
	// DefaultTokens is the estimated number of tokens of an answer if the request
	// has no max_tokens. Default 256.
	DefaultTokens int64
	// MaxResumes is how often the stream of one attempt may be resumed. Default 3.
	MaxResumes int
	// MaxBufferedBytes is the largest answer that is buffered. Default 8 MiB.
	MaxBufferedBytes int64
	// ServiceIdleTimeout is the idle timeout of plain services and of the older router:
	// how long to wait for the response header and for each read of the body.
	// Default 10 s.
	ServiceIdleTimeout time.Duration
	// WriteTimeout is how long a write to a caller may block. Default 30 s.
	WriteTimeout time.Duration
	// BillTimeout is how long to wait until a billing record is stored. Default 5 s.
	BillTimeout time.Duration
}

func (o Options) withDefaults() Options {
	setDefault(&o.MaxBodyBytes, 4<<20)
	setDefault(&o.BodyTimeout, 10*time.Second)
	setDefault(&o.MaxTokens, 32768)
	setDefault(&o.DefaultTokens, 256)
	setDefault(&o.MaxResumes, 3)
	setDefault(&o.MaxBufferedBytes, 8<<20)
	setDefault(&o.ServiceIdleTimeout, 10*time.Second)
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

// Deps are the dependencies of a Server. All of them are required.
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
	// NewID returns a globally unique id of an attempt.
	NewID func() string
	// NewRequestID returns a globally unique request id issued at the given time.
	NewRequestID func(issued time.Time) string
	// NewSessionID returns the hexadecimal id of a new session.
	NewSessionID func() string
	// Draw returns a random number, uniform in [0, 1).
	Draw func() float64
	// ResumeKey is the key that signs resume tokens. It must be the same on all
	// VMs, as a stream may be resumed at any of them.
	ResumeKey []byte
	// Memory bounds the request bodies and answers that are kept.
	Memory *membudget.Budget
	// Log receives what is not expected to happen, such as panics.
	Log *slog.Logger
	// Registry is where the server registers its metrics.
	Registry prometheus.Registerer
}

// Server is the HTTP handler for callers. It is safe for concurrent use.
type Server struct {
	Deps
	opts    Options
	metrics *metrics
	mux     *http.ServeMux
	// refuseTarget answers requests whose target can be read in more than one way.
	refuseTarget  http.Handler
	requests      requestTracker
	stop          *stopState
	cancellations *ring.Ring[cancellation]
	// evaluations queues work that improves the cascades' estimates.
	evaluations *ring.Ring[evaluation]
}

// New returns a Server. It panics if its metrics are registered already.
func New(deps Deps, opts Options) *Server {
	s := &Server{
		Deps:          deps,
		opts:          opts.withDefaults(),
		metrics:       newMetrics(deps.Registry),
		stop:          newStopState(),
		cancellations: ring.New[cancellation](cancelQueueSize),
		evaluations:   ring.New[evaluation](evaluationQueueSize),
	}
	s.mux = http.NewServeMux()
	s.mux.HandleFunc("POST /v1/chat/completions", s.handle(s.serveChatCompletion))
	s.mux.HandleFunc("POST /v1/completions", s.handle(s.serveTextCompletion))
	s.mux.HandleFunc("GET /v1/models", s.handle(s.listModels))
	s.mux.HandleFunc("GET /v1/streams/{token}", s.handle(s.resumeStream))
	s.mux.HandleFunc("/services/{service}/{path...}", s.handle(s.callService))
	s.mux.HandleFunc("/v1/", s.handle(wrongMethod))
	s.mux.HandleFunc("/", s.handle(unknownPath))
	s.refuseTarget = s.handle(ambiguousTarget)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if checkTarget(r) != nil {
		s.refuseTarget.ServeHTTP(w, r)
		return
	}
	s.mux.ServeHTTP(w, r)
}

// handler serves one exchange. An error that it returns is reported to the caller.
type handler func(x *Exchange, w http.ResponseWriter, r *http.Request) error

func (s *Server) handle(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		x := s.newExchange(r)
		w.Header().Set(headerRequestID, x.ID)
		if !s.requests.tryAdd() {
			s.refuse(x, w, refusal.New(refusal.Draining))
			return
		}
		defer s.requests.remove()
		ctx, cancel := s.abortableContext(r.Context())
		defer cancel()
		r = r.WithContext(ctx)
		writer := &responseWriter{ResponseWriter: w, writeTimeout: s.opts.WriteTimeout}
		defer x.releaseKept()
		defer s.answerPanic(x, writer)
		err := s.admitCaller(x, r)
		if err == nil {
			err = h(x, writer, r)
		}
		s.finish(x, writer, err)
	}
}

// finish reports an error to the caller: by a refusal if nothing was sent yet,
// otherwise by aborting the connection, so that the caller can tell that the
// answer is truncated.
func (s *Server) finish(x *Exchange, w *responseWriter, err error) {
	if err == nil {
		s.metrics.answers.Inc()
		return
	}
	if !w.started {
		s.refuse(x, w, refusal.FromError(err))
		return
	}
	s.metrics.answersCut.WithLabelValues(string(refusal.FromError(err).Reason)).Inc()
	panic(http.ErrAbortHandler)
}

func wrongMethod(_ *Exchange, _ http.ResponseWriter, r *http.Request) error {
	switch r.URL.Path {
	case "/v1/chat/completions", "/v1/completions", "/v1/models":
		return refusal.New(refusal.MethodNotAllowed)
	}
	return refusal.New(refusal.PathUnknown)
}

func ambiguousTarget(_ *Exchange, _ http.ResponseWriter, r *http.Request) error {
	return refusal.Wrap(refusal.AmbiguousRequest, checkTarget(r))
}

func unknownPath(_ *Exchange, _ http.ResponseWriter, _ *http.Request) error {
	return refusal.New(refusal.PathUnknown)
}

// responseWriter records whether anything was sent to the caller and limits how
// long each write may take.
type responseWriter struct {
	http.ResponseWriter
	started      bool
	writeTimeout time.Duration
}

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	w.started = true
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *responseWriter) Write(b []byte) (int, error) {
	w.started = true
	w.setWriteDeadline()
	return w.ResponseWriter.Write(b)
}

// FlushError flushes buffered data to the caller; http.ResponseController calls it.
func (w *responseWriter) FlushError() error {
	w.setWriteDeadline()
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// setWriteDeadline sets the deadline of the next write. The connection of a caller
// that stops reading fails then.
func (w *responseWriter) setWriteDeadline() {
	_ = http.NewResponseController(w.ResponseWriter).SetWriteDeadline(time.Now().Add(w.writeTimeout))
}

// Unwrap gives http.ResponseController access to the connection.
func (w *responseWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

// requestTracker counts the requests in flight and rejects new ones once draining.
type requestTracker struct {
	mu       sync.Mutex
	draining bool
	inFlight int
	done     chan struct{}
}

func (t *requestTracker) tryAdd() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.draining {
		return false
	}
	t.inFlight++
	return true
}

func (t *requestTracker) remove() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
	t.closeIfIdle()
}

func (t *requestTracker) startDraining() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.draining {
		return
	}
	t.draining = true
	if t.done == nil {
		t.done = make(chan struct{})
	}
	t.closeIfIdle()
}

// closeIfIdle closes done if the server drains and no request is in flight. The
// caller must hold mu.
func (t *requestTracker) closeIfIdle() {
	if !t.draining || t.inFlight > 0 {
		return
	}
	select {
	case <-t.done:
	default:
		close(t.done)
	}
}

func (t *requestTracker) idle() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.done == nil {
		t.done = make(chan struct{})
	}
	return t.done
}

func (t *requestTracker) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.inFlight
}

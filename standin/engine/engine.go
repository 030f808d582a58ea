// Package engine is a stand-in of a model engine over HTTP. It batches
// continuously, caches prompt prefixes, honours priorities, streams by
// server-sent events that can be resumed and cancelled, reports its load with a
// lag, and takes orders to load versions. It is for development and tests only.
//
// # Model
//
// A request waits, by priority, for one of Capacity slots, pays a prefill time
// for each prompt token outside the prefix cache, and then makes one token
// every TokenTime plus TokenTimePerRunning for each running request. All
// durations may be zero. The text of an answer follows from the prompt, the
// model and the version alone (see Answer), so a test can tell whether a
// caller's answer is its own and whole.
package engine

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/poplarshore/poplarshore/standin/fault"
	"github.com/poplarshore/poplarshore/standin/host"
)

// The kinds of faults.
const (
	// Refuse answers 503 with X-Not-Started.
	Refuse fault.Kind = "refuse"
	// ResetBefore resets the connection before the request is read.
	ResetBefore fault.Kind = "reset_before"
	// ResetAfterRead starts the run and resets the connection.
	ResetAfterRead fault.Kind = "reset_after_read"
	// Silent keeps the connection open and sends nothing more.
	Silent fault.Kind = "silent"
	// Slow delays the answer, or each piece of a stream.
	Slow fault.Kind = "slow"
	// HalfAnswer cuts the connection in the middle of the answer.
	HalfAnswer fault.Kind = "half_answer"
	// DuplicatePiece sends one piece of a stream twice.
	DuplicatePiece fault.Kind = "duplicate_piece"
	// ReorderPieces swaps two neighbouring pieces of a stream.
	ReorderPieces fault.Kind = "reorder_pieces"
	// ForeignPiece sends a piece of another attempt.
	ForeignPiece fault.Kind = "foreign_piece"
	// ErrorStatus answers an error without running the request.
	ErrorStatus fault.Kind = "error_status"
	// BadQuality makes the answer one of poor quality.
	BadQuality fault.Kind = "bad_quality"
	// NoLoad answers an error in place of the load report.
	NoLoad fault.Kind = "no_load"
	// Crash cuts all connections and stops listening.
	Crash fault.Kind = "crash"
)

const (
	defaultCapacity     = 32
	defaultWaiting      = 64
	defaultMinTokens    = 8
	defaultMaxTokens    = 64
	defaultPrefixBlocks = 4096
	defaultStreamKeep   = 30 * time.Second
)

// Options configure a stand-in. Durations default to zero, which means no delay.
type Options struct {
	// Clock is the time source. Nil means the real clock.
	Clock clockwork.Clock
	// Seed seeds faults and the quality of answers.
	Seed uint64
	// Versions are loaded from the start.
	Versions []VersionRef
	// Quality is the share of good answers by "model@version"; absent means 1.
	Quality map[string]float64
	// Fencing makes the engine refuse orders with an old fencing number.
	Fencing bool
	// Capacity is the number of requests that run at once.
	Capacity int
	// Waiting is the number of requests that may wait for a slot.
	Waiting int
	// TokenTime is the time per generated token of a lone request.
	TokenTime time.Duration
	// TokenTimePerRunning is added to TokenTime for each running request.
	TokenTimePerRunning time.Duration
	// PrefillTime is the time per prompt token outside the prefix cache.
	PrefillTime time.Duration
	// LoadTime is how long loading one version takes.
	LoadTime time.Duration
	// ReportLag is the greatest age of a load report.
	ReportLag time.Duration
	// EventLag is how late cache events are published.
	EventLag time.Duration
	// EventGap leaves out every n-th cache event; 0 leaves out none.
	EventGap uint64
	// PrefixBlocks is the size of the prefix cache in blocks of 16 tokens.
	PrefixBlocks int
	// MinTokens and MaxTokens bound the natural length of an answer.
	MinTokens, MaxTokens int
	// StreamKeep is how long a finished stream can be resumed.
	StreamKeep time.Duration
}

func (o Options) withDefaults() Options {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	setDefault(&o.Capacity, defaultCapacity)
	setDefault(&o.Waiting, defaultWaiting)
	setDefault(&o.MinTokens, defaultMinTokens)
	setDefault(&o.MaxTokens, max(defaultMaxTokens, o.MinTokens))
	setDefault(&o.PrefixBlocks, defaultPrefixBlocks)
	setDefault(&o.StreamKeep, defaultStreamKeep)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Server is a running stand-in.
type Server struct {
	// Faults are the switches.
	Faults *fault.Set

	options  Options
	clock    clockwork.Clock
	batch    *batch
	prefixes *prefixCache
	streams  *streams
	counts   *counter
	state    *state
	report   reporter
	host     *host.Host

	ctx    context.Context
	cancel context.CancelFunc
	work   sync.WaitGroup
}

// Start serves a stand-in on l.
func Start(l net.Listener, o Options) *Server {
	o = o.withDefaults()
	s := &Server{
		Faults: fault.NewSet(o.Seed, Refuse, ResetBefore, ResetAfterRead, Silent, Slow, HalfAnswer,
			DuplicatePiece, ReorderPieces, ForeignPiece, ErrorStatus, BadQuality, NoLoad, Crash),
		options:  o,
		clock:    o.Clock,
		batch:    newBatch(o.Capacity, o.Waiting),
		prefixes: newPrefixCache(o.PrefixBlocks, o.EventLag, o.EventGap),
		streams:  newStreams(o.StreamKeep),
		counts:   newCounter(),
		state:    newState(o),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.host = host.Start(l, s.routes())
	return s
}

// URL returns the base URL of the stand-in.
func (s *Server) URL() string { return s.host.URL() }

// Close stops the stand-in, its running requests and its connections.
func (s *Server) Close() error {
	s.cancel()
	err := s.host.Close()
	s.work.Wait()
	return err
}

// Drain makes the stand-in refuse new work; running requests end normally.
func (s *Server) Drain() { s.state.drain() }

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", s.complete)
	mux.HandleFunc("POST /v1/completions", s.complete)
	mux.HandleFunc("GET /v1/streams/{attempt}", s.resume)
	mux.HandleFunc("DELETE /v1/streams/{attempt}", s.cancelStream)
	mux.HandleFunc("GET /load", s.getLoad)
	mux.HandleFunc("GET /cache-events", s.getCacheEvents)
	mux.HandleFunc("GET /state", s.getState)
	mux.HandleFunc("PUT /state", s.putState)
	mux.HandleFunc("POST /drain", func(w http.ResponseWriter, _ *http.Request) {
		s.Drain()
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET /counts", s.getCounts)
	s.Faults.Register(mux)
	return mux
}

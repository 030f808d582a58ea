// Package engine is a stand-in for a model engine with an HTTP API, for development and
// tests only. It supports continuous batching, a prompt prefix cache, request priorities,
// server-sent event streams that can be resumed and cancelled, load reports with a lag,
// and orders that set which versions are loaded. Faults can be injected; see Server.Faults.
//
// # Timing
//
// A request waits, by priority, for one of Options.Capacity slots. It then spends
// PrefillTime for each prompt token outside the prefix cache, and generates one token
// every TokenTime plus TokenTimePerRunning for each running request. All of these
// durations may be zero.
//
// # Answers
//
// The words of an answer depend on the prompt, the model and the version only (see
// Answer), apart from the first word, which shows the quality. A test can therefore check
// with IsAnswer that a caller received a complete answer to its own prompt.
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

// The kinds of faults that an engine can inject.
const (
	// Refuse responds with status 503 and X-Not-Started, before the body is read.
	Refuse fault.Kind = "refuse"
	// ResetBeforeRead resets the connection before the body is read.
	ResetBeforeRead fault.Kind = "reset_before"
	// ResetAfterRead starts the run and resets the connection.
	ResetAfterRead fault.Kind = "reset_after_read"
	// Stall keeps the connection open but sends no response, or no more of a stream after
	// Rule.AfterPieces pieces.
	Stall fault.Kind = "silent"
	// Slow delays the response, or each piece of a stream, by Rule.DelayMs.
	Slow fault.Kind = "slow"
	// TruncatedResponse resets the connection in the middle of the response: after
	// Rule.AfterPieces pieces of a stream if that is set, otherwise after half.
	TruncatedResponse fault.Kind = "half_answer"
	// DuplicatePiece sends one piece of a stream twice.
	DuplicatePiece fault.Kind = "duplicate_piece"
	// ReorderPieces swaps two consecutive pieces of a stream.
	ReorderPieces fault.Kind = "reorder_pieces"
	// WrongAttemptPiece inserts a piece with another attempt's ID into a stream, or responds
	// with another attempt's answer.
	WrongAttemptPiece fault.Kind = "foreign_piece"
	// ErrorStatus responds with Rule.Status, or 500 if that is 0, without running the
	// request.
	ErrorStatus fault.Kind = "error_status"
	// BadQuality generates an answer of poor quality.
	BadQuality fault.Kind = "bad_quality"
	// LoadReportError responds to GET /load with status 503.
	LoadReportError fault.Kind = "no_load"
	// Crash cancels all runs, closes all connections and stops listening.
	Crash fault.Kind = "crash"
)

// The defaults of Options.
const (
	defaultCapacity        = 32 // requests
	defaultMaxWaiting      = 64 // requests
	defaultMinTokens       = 8
	defaultMaxTokens       = 64
	defaultPrefixBlocks    = 4096
	defaultStreamRetention = 30 * time.Second
)

// Options configure a stand-in. Durations default to 0, which means no delay, unless the
// field says otherwise.
type Options struct {
	// Clock is the time source. Default: the real clock.
	Clock clockwork.Clock
	// Seed seeds the draws of faults with a probability and of the quality of answers.
	Seed uint64
	// Versions are the versions that are loaded at the start.
	Versions []VersionRef
	// Quality is the share of good answers, from 0 to 1, by "model@version". The default
	// for a missing version is 1.
	Quality map[string]float64
	// Fencing makes the engine refuse orders with a fencing token lower than the last one.
	Fencing bool
	// Capacity is the maximum number of requests that run at the same time. Default: 32.
	Capacity int
	// MaxWaiting is the maximum number of requests that wait for a slot. Default: 64.
	MaxWaiting int
	// TokenTime is the part of the time per generated token that doesn't depend on how many
	// requests run.
	TokenTime time.Duration
	// TokenTimePerRunning is added to TokenTime for each running request, including the
	// request itself.
	TokenTimePerRunning time.Duration
	// PrefillTime is the time per prompt token outside the prefix cache.
	PrefillTime time.Duration
	// LoadTime is the time that it takes to load one version.
	LoadTime time.Duration
	// ReportLag is the age at which a load report is replaced by a new one.
	ReportLag time.Duration
	// EventLag is the delay between a change of the prefix cache and its event.
	EventLag time.Duration
	// EventGap omits every n-th cache event. Default: 0, which omits none.
	EventGap uint64
	// PrefixBlocks is the size of the prefix cache, in blocks of 16 tokens. Default: 4096.
	PrefixBlocks int
	// MinTokens and MaxTokens are the bounds of the length of an answer, in tokens, before
	// the request's limit is applied. Defaults: 8, and 64 or MinTokens if that is larger.
	MinTokens, MaxTokens int
	// StreamRetention is how long, at least, a finished stream can be resumed. Default: 30 s.
	StreamRetention time.Duration
}

func (o Options) withDefaults() Options {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	setDefault(&o.Capacity, defaultCapacity)
	setDefault(&o.MaxWaiting, defaultMaxWaiting)
	setDefault(&o.MinTokens, defaultMinTokens)
	setDefault(&o.MaxTokens, max(defaultMaxTokens, o.MinTokens))
	setDefault(&o.PrefixBlocks, defaultPrefixBlocks)
	setDefault(&o.StreamRetention, defaultStreamRetention)
	return o
}

// setDefault sets a field that has its zero value.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Server is a running stand-in. It is safe for concurrent use.
type Server struct {
	// Faults holds the rules for injected faults.
	Faults *fault.Set

	options     Options
	clock       clockwork.Clock
	scheduler   *scheduler
	prefixes    *prefixCache
	streams     *streams
	counts      *counter
	state       *state
	loadReports loadReportCache
	host        *host.Server

	// ctx is cancelled when the stand-in stops; all runs end with it.
	ctx    context.Context
	cancel context.CancelFunc
	// generators tracks the goroutines that generate tokens.
	generators sync.WaitGroup
}

// Start serves a stand-in on l until Close or the fault Crash.
func Start(l net.Listener, o Options) *Server {
	o = o.withDefaults()
	s := &Server{
		Faults: fault.NewSet(o.Seed, Refuse, ResetBeforeRead, ResetAfterRead, Stall, Slow, TruncatedResponse,
			DuplicatePiece, ReorderPieces, WrongAttemptPiece, ErrorStatus, BadQuality, LoadReportError, Crash),
		options:   o,
		clock:     o.Clock,
		scheduler: newScheduler(o.Capacity, o.MaxWaiting),
		prefixes:  newPrefixCache(o.PrefixBlocks, o.EventLag, o.EventGap),
		streams:   newStreams(o.StreamRetention),
		counts:    newCounter(),
		state:     newState(o),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.host = host.Start(l, s.routes())
	return s
}

// URL returns the base URL of the stand-in.
func (s *Server) URL() string { return s.host.URL() }

// Close cancels all runs, closes all connections and stops listening. It waits until the
// runs have ended.
func (s *Server) Close() error {
	s.cancel()
	err := s.host.Close()
	s.generators.Wait()
	return err
}

// Drain makes the stand-in refuse new completions. Running and waiting requests continue.
func (s *Server) Drain() { s.state.drain() }

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", s.serveCompletion)
	mux.HandleFunc("POST /v1/completions", s.serveCompletion)
	mux.HandleFunc("GET /v1/streams/{attempt}", s.serveResume)
	mux.HandleFunc("DELETE /v1/streams/{attempt}", s.serveCancel)
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

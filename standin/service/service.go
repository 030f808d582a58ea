// Package service is a stand-in for an ordinary service without a model: an application
// that issues permits. POST /issue records a permit and responds with status 201 and its
// number; GET /status/{number} returns the state of a permit.
//
// POST /issue is a non-idempotent call, so the stand-in counts how often each attempt and
// each request body ran (GET /counts). It is for development and tests only.
package service

import (
	"cmp"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"sync"

	"github.com/jonboulle/clockwork"

	"github.com/poplarshore/poplarshore/standin/fault"
	"github.com/poplarshore/poplarshore/standin/host"
)

// HeaderAttempt is the header field with the attempt ID that the router sends. Responses repeat it.
const HeaderAttempt = "X-Attempt-Id"

// headerNotStarted is "true" in the response to a request that was refused without any
// effect.
const headerNotStarted = "X-Not-Started"

// The kinds of faults that a service can inject.
const (
	// Refuse responds with status 503 and X-Not-Started.
	Refuse fault.Kind = "refuse"
	// ResetBeforeRead resets the connection before the body is read.
	ResetBeforeRead fault.Kind = "reset_before"
	// ResetAfterRead runs the request and resets the connection without a response.
	ResetAfterRead fault.Kind = "reset_after_read"
	// Stall runs the request, sends no response and keeps the connection open.
	Stall fault.Kind = "silent"
	// Slow delays the request by Rule.DelayMs before it runs.
	Slow fault.Kind = "slow"
	// TruncatedResponse runs the request and resets the connection in the middle of the response
	// body.
	TruncatedResponse fault.Kind = "half_answer"
	// ErrorStatus responds with Rule.Status, or 500 if that is lower, without running the
	// request.
	ErrorStatus fault.Kind = "error_status"
	// FailAfterRun runs the request and responds with Rule.Status, or 503 if that is unset.
	FailAfterRun fault.Kind = "fail_after_run"
	// Redirect responds with status 307 and the same path, without running the request.
	Redirect fault.Kind = "redirect"
	// Crash runs the request, then closes all connections and stops listening.
	Crash fault.Kind = "crash"
)

// Options configure a stand-in.
type Options struct {
	// Clock is the time source. Default: the real clock.
	Clock clockwork.Clock
	// Seed seeds the draws of faults with a probability.
	Seed uint64
}

// IssueResponse is the response to POST /issue.
type IssueResponse struct {
	Number string `json:"number"`
}

// StatusResponse is the response to GET /status/{number}.
type StatusResponse struct {
	Number string `json:"number"`
	// State is always "issued"; an unknown number gets status 404.
	State string `json:"state"`
}

// Counts is the response to GET /counts.
type Counts struct {
	// Runs is the number of POST /issue requests that ran.
	Runs uint64 `json:"runs"`
	// RunsByAttempt is the number of runs by attempt ID.
	RunsByAttempt map[string]int `json:"attempts"`
	// RunsByBody is the number of runs by request body.
	RunsByBody map[string]int `json:"contents"`
}

// Server is a running stand-in. It is safe for concurrent use.
type Server struct {
	// Faults holds the rules for injected faults.
	Faults *fault.Set

	clock clockwork.Clock
	host  *host.Server

	mu     sync.Mutex
	counts Counts
	// lastTarget is the target of the last request as it was received.
	lastTarget string
	// permits holds the request bodies by permit number.
	permits map[string]string
}

// Start serves a stand-in on l until Close or the fault Crash.
func Start(l net.Listener, o Options) *Server {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	s := &Server{
		Faults: fault.NewSet(o.Seed, Refuse, ResetBeforeRead, ResetAfterRead, Stall, Slow, TruncatedResponse,
			ErrorStatus, FailAfterRun, Redirect, Crash),
		clock:   o.Clock,
		counts:  Counts{RunsByAttempt: make(map[string]int), RunsByBody: make(map[string]int)},
		permits: make(map[string]string),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /issue", s.serveIssue)
	mux.HandleFunc("GET /status/{number}", s.serveStatus)
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) {
		host.WriteJSON(w, http.StatusOK, s.Counts())
	})
	s.Faults.Register(mux)
	s.host = host.Start(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.recordTarget(r.RequestURI)
		mux.ServeHTTP(w, r)
	}))
	return s
}

// URL returns the base URL of the stand-in.
func (s *Server) URL() string { return s.host.URL() }

// Close closes all connections and stops listening.
func (s *Server) Close() error { return s.host.Close() }

func (s *Server) recordTarget(target string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastTarget = target
}

// LastTarget returns the target of the last request as it was received.
func (s *Server) LastTarget() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastTarget
}

// Counts returns the counts since the start.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Counts{Runs: s.counts.Runs, RunsByAttempt: maps.Clone(s.counts.RunsByAttempt), RunsByBody: maps.Clone(s.counts.RunsByBody)}
}

func (s *Server) serveIssue(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(HeaderAttempt, r.Header.Get(HeaderAttempt))
	if s.injectBeforeRun(w, r) {
		return
	}
	content, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	number := s.recordRun(r.Header.Get(HeaderAttempt), string(content))
	if s.injectAfterRun(w, r) {
		return
	}
	host.WriteJSON(w, http.StatusCreated, IssueResponse{Number: number})
}

func (s *Server) serveStatus(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(HeaderAttempt, r.Header.Get(HeaderAttempt))
	if s.injectBeforeRun(w, r) || s.injectAfterRun(w, r) {
		return
	}
	number := r.PathValue("number")
	s.mu.Lock()
	_, ok := s.permits[number]
	s.mu.Unlock()
	if !ok {
		http.Error(w, "no such permit", http.StatusNotFound)
		return
	}
	host.WriteJSON(w, http.StatusOK, StatusResponse{Number: number, State: "issued"})
}

// recordRun counts a run, stores a permit and returns its number.
func (s *Server) recordRun(attempt, content string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Runs++
	s.counts.RunsByAttempt[attempt]++
	s.counts.RunsByBody[content]++
	number := "P-" + strconv.FormatUint(s.counts.Runs, 10)
	s.permits[number] = content
	return number
}

// injectBeforeRun applies the faults that delay a request or keep it from running. It reports
// whether the request must not run.
func (s *Server) injectBeforeRun(w http.ResponseWriter, r *http.Request) bool {
	if rule, ok := s.Faults.Trigger(r, Slow); ok && !fault.Wait(r.Context(), s.clock, rule.Delay()) {
		return true
	}
	rule, ok := s.Faults.Trigger(r, Refuse, ResetBeforeRead, ErrorStatus, Redirect)
	if !ok {
		return false
	}
	switch rule.Kind {
	case Refuse:
		w.Header().Set(headerNotStarted, "true")
		http.Error(w, "refused", http.StatusServiceUnavailable)
	case ErrorStatus:
		http.Error(w, "injected error", max(rule.Status, http.StatusInternalServerError))
	case Redirect:
		http.Redirect(w, r, r.URL.Path, http.StatusTemporaryRedirect)
	default:
		host.ResetConnection(w)
	}
	return true
}

// injectAfterRun applies the faults that keep the caller from receiving the response of a
// run, and reports whether it did.
func (s *Server) injectAfterRun(w http.ResponseWriter, r *http.Request) bool {
	rule, ok := s.Faults.Trigger(r, ResetAfterRead, Stall, TruncatedResponse, FailAfterRun, Crash)
	if !ok {
		return false
	}
	switch rule.Kind {
	case Stall:
		<-r.Context().Done()
	case Crash:
		s.host.Crash()
	case FailAfterRun:
		http.Error(w, "failed after the run", cmp.Or(rule.Status, http.StatusServiceUnavailable))
	case TruncatedResponse:
		w.Header().Set("Content-Length", "64")
		w.WriteHeader(http.StatusCreated)
		_, _ = io.WriteString(w, `{"number":`)
		_ = http.NewResponseController(w).Flush()
		host.ResetConnection(w)
	default:
		host.ResetConnection(w)
	}
	return true
}

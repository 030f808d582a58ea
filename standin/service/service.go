// Package service is a stand-in of a plain service, an application that issues
// permits: POST /issue records a permit and answers 201 with its number, GET
// /status/{number} reads it back. Some of its calls must not be repeated, so it
// counts what ran. It is for development and tests only.
package service

import (
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

// HeaderAttempt names the router's attempt.
const HeaderAttempt = "X-Attempt-Id"

// headerNotStarted tells that a refused request had no effect.
const headerNotStarted = "X-Not-Started"

// The kinds of faults.
const (
	// Refuse answers 503 with X-Not-Started.
	Refuse fault.Kind = "refuse"
	// ResetBefore resets the connection before the request is read.
	ResetBefore fault.Kind = "reset_before"
	// ResetAfterRead runs the request and resets the connection.
	ResetAfterRead fault.Kind = "reset_after_read"
	// Silent runs the request and never answers.
	Silent fault.Kind = "silent"
	// Slow delays the request.
	Slow fault.Kind = "slow"
	// HalfAnswer runs the request and cuts the answer in the middle.
	HalfAnswer fault.Kind = "half_answer"
	// ErrorStatus answers an error without running the request.
	ErrorStatus fault.Kind = "error_status"
	// Redirect answers 307 to the same path without running the request.
	Redirect fault.Kind = "redirect"
	// Crash cuts all connections and stops listening.
	Crash fault.Kind = "crash"
)

// Options configure a stand-in.
type Options struct {
	// Clock is the time source. Nil means the real clock.
	Clock clockwork.Clock
	// Seed seeds the faults.
	Seed uint64
}

// Issued is the answer to POST /issue.
type Issued struct {
	Number string `json:"number"`
}

// Status is the answer to GET /status/{number}.
type Status struct {
	Number string `json:"number"`
	State  string `json:"state"`
}

// Counts is the answer to GET /counts.
type Counts struct {
	Runs uint64 `json:"runs"`
	// Attempts counts the runs by attempt id.
	Attempts map[string]int `json:"attempts"`
	// Contents counts the runs by request body.
	Contents map[string]int `json:"contents"`
}

// Server is a running stand-in.
type Server struct {
	// Faults are the switches.
	Faults *fault.Set

	clock clockwork.Clock
	host  *host.Host

	mu      sync.Mutex
	counts  Counts
	permits map[string]string
}

// Start serves a stand-in on l.
func Start(l net.Listener, o Options) *Server {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	s := &Server{
		Faults: fault.NewSet(o.Seed, Refuse, ResetBefore, ResetAfterRead, Silent, Slow, HalfAnswer,
			ErrorStatus, Redirect, Crash),
		clock:   o.Clock,
		counts:  Counts{Attempts: make(map[string]int), Contents: make(map[string]int)},
		permits: make(map[string]string),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /issue", s.issue)
	mux.HandleFunc("GET /status/{number}", s.status)
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) {
		host.WriteJSON(w, http.StatusOK, s.Counts())
	})
	s.Faults.Register(mux)
	s.host = host.Start(l, mux)
	return s
}

// URL returns the base URL of the stand-in.
func (s *Server) URL() string { return s.host.URL() }

// Close stops the stand-in.
func (s *Server) Close() error { return s.host.Close() }

// Counts returns what ran so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Counts{Runs: s.counts.Runs, Attempts: maps.Clone(s.counts.Attempts), Contents: maps.Clone(s.counts.Contents)}
}

func (s *Server) issue(w http.ResponseWriter, r *http.Request) {
	if s.faultBefore(w, r) {
		return
	}
	content, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	number := s.record(r.Header.Get(HeaderAttempt), string(content))
	if s.faultAfter(w, r) {
		return
	}
	host.WriteJSON(w, http.StatusCreated, Issued{Number: number})
}

func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	if s.faultBefore(w, r) || s.faultAfter(w, r) {
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
	host.WriteJSON(w, http.StatusOK, Status{Number: number, State: "issued"})
}

func (s *Server) record(attempt, content string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Runs++
	s.counts.Attempts[attempt]++
	s.counts.Contents[content]++
	number := "P-" + strconv.FormatUint(s.counts.Runs, 10)
	s.permits[number] = content
	return number
}

// faultBefore applies the faults that keep a request from running.
func (s *Server) faultBefore(w http.ResponseWriter, r *http.Request) bool {
	if rule, ok := s.Faults.Trigger(r, Slow); ok && !fault.Wait(r.Context(), s.clock, rule.Delay()) {
		return true
	}
	rule, ok := s.Faults.Trigger(r, Refuse, ResetBefore, ErrorStatus, Redirect)
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

// faultAfter applies the faults that hide the result of a run.
func (s *Server) faultAfter(w http.ResponseWriter, r *http.Request) bool {
	rule, ok := s.Faults.Trigger(r, ResetAfterRead, Silent, HalfAnswer, Crash)
	if !ok {
		return false
	}
	switch rule.Kind {
	case Silent:
		<-r.Context().Done()
	case Crash:
		s.host.Crash()
	case HalfAnswer:
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

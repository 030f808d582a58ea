// Package oldrouter is a stand-in of the older router that shares the engines
// and services: it offers the same API to callers, chooses upstreams in turn,
// and counts and bills what it served. Its answers bear "Via: old-router". It
// is for development and tests only.
package oldrouter

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/poplarshore/poplarshore/standin/host"
)

// Name is the value of the Via header.
const Name = "old-router"

const maxLineBytes = 1 << 20

// Options configure a stand-in.
type Options struct {
	// Models maps a model that callers ask for to the "model@version" that
	// engines know.
	Models map[string]string
	// Engines are the base URLs of the model engines.
	Engines []string
	// EnginesOf narrows the engines of a model.
	EnginesOf map[string][]string
	// Services maps the names of plain services to their base URLs.
	Services map[string]string
}

// Bill is what one client account, named by its key, was served.
type Bill struct {
	Requests uint64 `json:"requests"`
	Tokens   uint64 `json:"tokens"`
}

// Counts is the answer to GET /counts.
type Counts struct {
	Requests uint64          `json:"requests"`
	Loops    uint64          `json:"loops"`
	Bills    map[string]Bill `json:"bills"`
}

// Server is a running stand-in.
type Server struct {
	options Options
	client  *http.Client
	host    *host.Host
	turn    atomic.Uint64

	mu     sync.Mutex
	counts Counts
}

// Start serves a stand-in on l.
func Start(l net.Listener, o Options) *Server {
	s := &Server{
		options: o,
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		counts:  Counts{Bills: make(map[string]Bill)},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", s.guard(s.complete))
	mux.HandleFunc("POST /v1/completions", s.guard(s.complete))
	mux.HandleFunc("GET /v1/models", s.models)
	mux.HandleFunc("/services/{service}/{path...}", s.guard(s.service))
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) {
		host.WriteJSON(w, http.StatusOK, s.Counts())
	})
	s.host = host.Start(l, mux)
	return s
}

// URL returns the base URL of the stand-in.
func (s *Server) URL() string { return s.host.URL() }

// Close stops the stand-in.
func (s *Server) Close() error {
	s.client.CloseIdleConnections()
	return s.host.Close()
}

// Counts returns what was served and billed so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Counts{Requests: s.counts.Requests, Loops: s.counts.Loops, Bills: maps.Clone(s.counts.Bills)}
}

// guard marks answers and refuses requests that passed here before.
func (s *Server) guard(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Via", Name)
		if strings.Contains(strings.Join(r.Header.Values("Via"), ","), Name) {
			s.mu.Lock()
			s.counts.Loops++
			s.mu.Unlock()
			http.Error(w, "loop", http.StatusLoopDetected)
			return
		}
		next(w, r)
	}
}

func (s *Server) models(w http.ResponseWriter, _ *http.Request) {
	type model struct {
		ID string `json:"id"`
	}
	var listed struct {
		Data []model `json:"data"`
	}
	for _, name := range slices.Sorted(maps.Keys(s.options.Models)) {
		listed.Data = append(listed.Data, model{ID: name})
	}
	host.WriteJSON(w, http.StatusOK, listed)
}

func (s *Server) complete(w http.ResponseWriter, r *http.Request) {
	var body map[string]json.RawMessage
	if !host.ReadJSON(w, r, &body) {
		return
	}
	var model string
	_ = json.Unmarshal(body["model"], &model)
	target, ok := s.options.Models[model]
	engines := s.options.Engines
	if own := s.options.EnginesOf[model]; own != nil {
		engines = own
	}
	if !ok || len(engines) == 0 {
		http.Error(w, "no such model", http.StatusNotFound)
		return
	}
	body["model"], _ = json.Marshal(target)
	sent, err := json.Marshal(body)
	if err != nil {
		http.Error(w, "malformed body", http.StatusBadRequest)
		return
	}
	turn := s.turn.Add(1)
	engine := engines[turn%uint64(len(engines))]
	s.forward(w, r, engine+r.URL.Path, Name+"-"+strconv.FormatUint(turn, 10), bytes.NewReader(sent))
}

func (s *Server) service(w http.ResponseWriter, r *http.Request) {
	base, ok := s.options.Services[r.PathValue("service")]
	if !ok {
		http.Error(w, "no such service", http.StatusNotFound)
		return
	}
	attempt := Name + "-" + strconv.FormatUint(s.turn.Add(1), 10)
	s.forward(w, r, base+"/"+r.PathValue("path"), attempt, r.Body)
}

// forward sends the request on and bills the answer once it is whole.
func (s *Server) forward(w http.ResponseWriter, r *http.Request, url, attempt string, body io.Reader) {
	request, err := http.NewRequestWithContext(r.Context(), r.Method, url, body)
	if err != nil {
		http.Error(w, "malformed target", http.StatusBadGateway)
		return
	}
	request.GetBody = nil
	request.Header.Set("Content-Type", r.Header.Get("Content-Type"))
	request.Header.Set("X-Attempt-Id", attempt)
	request.Header.Set("Via", Name)
	response, err := s.client.Do(request)
	if err != nil {
		http.Error(w, "upstream failed", http.StatusBadGateway)
		return
	}
	defer func() { _ = response.Body.Close() }()
	w.Header().Set("Content-Type", response.Header.Get("Content-Type"))
	w.WriteHeader(response.StatusCode)
	tokens, whole := copyCounting(w, response.Body)
	if !whole {
		panic(http.ErrAbortHandler)
	}
	if response.StatusCode < http.StatusBadRequest {
		s.bill(strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer "), tokens)
	}
}

// copyCounting copies lines and returns the completion tokens that they report.
func copyCounting(w http.ResponseWriter, from io.Reader) (tokens uint64, whole bool) {
	control := http.NewResponseController(w)
	reader := bufio.NewReaderSize(from, maxLineBytes)
	for {
		line, err := reader.ReadSlice('\n')
		if _, failed := w.Write(line); failed != nil {
			return tokens, false
		}
		tokens = max(tokens, reported(line))
		if reader.Buffered() == 0 {
			_ = control.Flush()
		}
		if err == io.EOF {
			return tokens, true
		}
		if err != nil && err != bufio.ErrBufferFull {
			return tokens, false
		}
	}
}

func reported(line []byte) uint64 {
	if !bytes.Contains(line, []byte(`"usage"`)) {
		return 0
	}
	var body struct {
		Usage struct {
			CompletionTokens uint64 `json:"completion_tokens"`
		} `json:"usage"`
	}
	_ = json.Unmarshal(bytes.TrimPrefix(line, []byte("data: ")), &body)
	return body.Usage.CompletionTokens
}

func (s *Server) bill(account string, tokens uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Requests++
	b := s.counts.Bills[account]
	b.Requests++
	b.Tokens += tokens
	s.counts.Bills[account] = b
}

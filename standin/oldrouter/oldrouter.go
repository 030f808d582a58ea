// Package oldrouter is a stand-in of the older router, which uses the same engines and services as
// poplarshore. It serves the same API to callers, selects engines round-robin, and counts and bills the
// requests that it served. Its responses have the header "Via: old-router". It is for development and
// tests only.
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

// Name is the value of the Via header of requests that the router forwards and of its responses.
const Name = "old-router"

// maxLineBytes is the maximum length of a response line whose usage is read. Longer lines are forwarded
// in parts and not billed for tokens.
const maxLineBytes = 1 << 20

// Options configure a Server.
type Options struct {
	// Models maps the model name that callers request to the "model@version" that the router sends to
	// engines.
	Models map[string]string
	// Engines are the base URLs of the engines of all models that EnginesByModel doesn't contain.
	Engines []string
	// EnginesByModel holds the base URLs of a model's engines, by the name that callers request.
	EnginesByModel map[string][]string
	// Services holds the base URLs of plain services by service name.
	Services map[string]string
}

// Bill is the usage billed to one client account: complete responses with a status below 400, and
// completion tokens.
type Bill struct {
	Requests uint64 `json:"requests"`
	Tokens   uint64 `json:"tokens"`
}

// Counts is the response to GET /counts.
type Counts struct {
	// Requests is the number of billed requests.
	Requests uint64 `json:"requests"`
	// Loops is the number of requests refused because they had passed through this router before.
	Loops uint64 `json:"loops"`
	// Bills holds the bill of each client account by the account's key.
	Bills map[string]Bill `json:"bills"`
}

// Server is a running stand-in.
type Server struct {
	options  Options
	client   *http.Client
	host     *host.Server
	sequence atomic.Uint64

	mu     sync.Mutex
	counts Counts
}

// Start serves a stand-in on l until Close is called.
func Start(l net.Listener, o Options) *Server {
	s := &Server{
		options: o,
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		counts:  Counts{Bills: make(map[string]Bill)},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", s.rejectLoops(s.handleCompletion))
	mux.HandleFunc("POST /v1/completions", s.rejectLoops(s.handleCompletion))
	mux.HandleFunc("GET /v1/models", s.handleModels)
	mux.HandleFunc("/services/{service}/{path...}", s.rejectLoops(s.handleService))
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) {
		host.WriteJSON(w, http.StatusOK, s.Counts())
	})
	s.host = host.Start(l, mux)
	return s
}

// URL returns the base URL of the stand-in.
func (s *Server) URL() string { return s.host.URL() }

// Close stops the stand-in and closes its idle connections to upstreams.
func (s *Server) Close() error {
	s.client.CloseIdleConnections()
	return s.host.Close()
}

// Counts returns a copy of the current counts.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Counts{Requests: s.counts.Requests, Loops: s.counts.Loops, Bills: maps.Clone(s.counts.Bills)}
}

// rejectLoops sets the Via header of responses, and answers 508 to requests that have passed through
// this router before, according to their Via header.
func (s *Server) rejectLoops(next http.HandlerFunc) http.HandlerFunc {
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

// handleModels lists the models that callers may request.
func (s *Server) handleModels(w http.ResponseWriter, _ *http.Request) {
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

// handleCompletion replaces the model of a completion request by the model version that engines know,
// and forwards the request to the model's engines round-robin.
func (s *Server) handleCompletion(w http.ResponseWriter, r *http.Request) {
	var body map[string]json.RawMessage
	if !host.ReadJSON(w, r, &body) {
		return
	}
	var modelName string
	_ = json.Unmarshal(body["model"], &modelName)
	target, ok := s.options.Models[modelName]
	engines := s.options.Engines
	if modelEngines := s.options.EnginesByModel[modelName]; modelEngines != nil {
		engines = modelEngines
	}
	if !ok || len(engines) == 0 {
		http.Error(w, "no such model", http.StatusNotFound)
		return
	}
	body["model"], _ = json.Marshal(target)
	forwardedBody, err := json.Marshal(body)
	if err != nil {
		http.Error(w, "malformed body", http.StatusBadRequest)
		return
	}
	sequence := s.sequence.Add(1)
	engine := engines[sequence%uint64(len(engines))]
	s.forward(w, r, engine+r.URL.Path, Name+"-"+strconv.FormatUint(sequence, 10), bytes.NewReader(forwardedBody))
}

// handleService forwards a call of a plain service to its base URL.
func (s *Server) handleService(w http.ResponseWriter, r *http.Request) {
	baseURL, ok := s.options.Services[r.PathValue("service")]
	if !ok {
		http.Error(w, "no such service", http.StatusNotFound)
		return
	}
	attemptID := Name + "-" + strconv.FormatUint(s.sequence.Add(1), 10)
	s.forward(w, r, baseURL+"/"+r.PathValue("path"), attemptID, r.Body)
}

// forward sends the request to url and copies the response. A complete response with a status below 400
// is billed; after a truncated one the connection to the caller is aborted.
func (s *Server) forward(w http.ResponseWriter, r *http.Request, url, attemptID string, body io.Reader) {
	request, err := http.NewRequestWithContext(r.Context(), r.Method, url, body)
	if err != nil {
		http.Error(w, "malformed target", http.StatusBadGateway)
		return
	}
	request.GetBody = nil
	request.Header.Set("Content-Type", r.Header.Get("Content-Type"))
	request.Header.Set("X-Attempt-Id", attemptID)
	request.Header.Set("Via", Name)
	response, err := s.client.Do(request)
	if err != nil {
		http.Error(w, "upstream failed", http.StatusBadGateway)
		return
	}
	defer func() { _ = response.Body.Close() }()
	w.Header().Set("Content-Type", response.Header.Get("Content-Type"))
	w.WriteHeader(response.StatusCode)
	tokens, complete := copyResponse(w, response.Body)
	if !complete {
		panic(http.ErrAbortHandler)
	}
	if response.StatusCode < http.StatusBadRequest {
		s.recordUsage(strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer "), tokens)
	}
}

// copyResponse copies a response line by line. It returns the maximum of the completion tokens that the
// lines report, and whether the response was copied completely.
func copyResponse(w http.ResponseWriter, source io.Reader) (tokens uint64, complete bool) {
	controller := http.NewResponseController(w)
	reader := bufio.NewReaderSize(source, maxLineBytes)
	for {
		line, err := reader.ReadSlice('\n')
		if _, writeErr := w.Write(line); writeErr != nil {
			return tokens, false
		}
		tokens = max(tokens, reportedCompletionTokens(line))
		if reader.Buffered() == 0 {
			_ = controller.Flush()
		}
		if err == io.EOF {
			return tokens, true
		}
		if err != nil && err != bufio.ErrBufferFull {
			return tokens, false
		}
	}
}

// reportedCompletionTokens returns the completion tokens in the "usage" of a response line, or 0 if
// there are none. The line is a JSON object or the data line of an event.
func reportedCompletionTokens(line []byte) uint64 {
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

// recordUsage bills one request and its tokens to the account with the key.
func (s *Server) recordUsage(account string, tokens uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Requests++
	usage := s.counts.Bills[account]
	usage.Requests++
	usage.Tokens += tokens
	s.counts.Bills[account] = usage
}

package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/poplarshore/poplarshore/standin/host"
)

// The header fields between the router and an engine.
const (
	// HeaderAttempt holds the attempt ID, of at most 128 bytes. A request with a known
	// attempt ID is refused.
	HeaderAttempt = "X-Attempt-Id"
	// HeaderPriority holds the priority of a request, an integer. Requests of a higher
	// priority get a slot first. Default: 0.
	HeaderPriority = "X-Priority"
	// HeaderDeadline holds how long a request may wait for a slot, in milliseconds.
	// Default: 0, which means without limit.
	HeaderDeadline = "X-Deadline-Ms"
	// HeaderNotStarted is "true" in the response to a request that was refused without
	// any effect.
	HeaderNotStarted = "X-Not-Started"
	// HeaderDraining is "true" in the responses of a draining engine to completion requests.
	HeaderDraining = "X-Draining"
)

// maxAttemptIDBytes is the maximum length of an attempt ID, in bytes.
const maxAttemptIDBytes = 128

// message is a message of a chat completion request.
type message struct {
	Content json.RawMessage `json:"content"`
}

// requestBody is the part of a completion request's body that the stand-in uses.
type requestBody struct {
	Model               string          `json:"model"`
	Messages            []message       `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
}

// completionRequest is a decoded completion request.
type completionRequest struct {
	attemptID string
	// generatedID reports whether the attempt ID was generated because the request had none.
	generatedID bool
	version     VersionRef
	prompt      string
	chat        bool
	stream      bool
	// maxTokens is the request's limit of generated tokens; 0 means no limit.
	maxTokens int
	priority  int
	// deadline is the maximum wait for a slot; 0 means no limit.
	deadline time.Duration
}

// decodeRequest reads a completion request. generateID provides the attempt ID of a
// request without one. If the request is malformed, decodeRequest responds with status 400
// and returns false.
func decodeRequest(w http.ResponseWriter, r *http.Request, generateID func() string) (completionRequest, bool) {
	var b requestBody
	if !host.ReadJSON(w, r, &b) {
		return completionRequest{}, false
	}
	model, version, ok := strings.Cut(b.Model, "@")
	attemptID, hasID := r.Header.Get(HeaderAttempt), true
	if attemptID == "" {
		attemptID, hasID = generateID(), false
	}
	if !ok || !validAttemptID(attemptID) || b.MaxTokens < 0 || b.MaxCompletionTokens < 0 {
		writeError(w, http.StatusBadRequest, "invalid_request_error", "model must be model@version")
		return completionRequest{}, false
	}
	priority, _ := strconv.Atoi(r.Header.Get(HeaderPriority))
	deadlineMs, _ := strconv.ParseInt(r.Header.Get(HeaderDeadline), 10, 64)
	return completionRequest{
		attemptID: attemptID, generatedID: !hasID, version: VersionRef{Model: model, Version: version},
		prompt: b.promptText(), chat: strings.HasSuffix(r.URL.Path, "/chat/completions"),
		stream: b.Stream, maxTokens: max(b.MaxTokens, b.MaxCompletionTokens), priority: priority,
		deadline: time.Duration(deadlineMs) * time.Millisecond,
	}, true
}

// promptText returns the contents of the messages joined by newlines, or the prompt if
// there are no messages.
func (b requestBody) promptText() string {
	if len(b.Messages) == 0 {
		return stringOrRaw(b.Prompt)
	}
	parts := make([]string, 0, len(b.Messages))
	for _, m := range b.Messages {
		parts = append(parts, stringOrRaw(m.Content))
	}
	return strings.Join(parts, "\n")
}

// stringOrRaw returns the value of a JSON string, or the JSON text of any other value.
func stringOrRaw(raw json.RawMessage) string {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text
	}
	return string(raw)
}

// validAttemptID reports whether an ID is short enough and has only characters that can be
// written into event IDs and JSON strings without escaping: printable ASCII except space,
// quotation mark, backslash and slash.
func validAttemptID(id string) bool {
	if len(id) > maxAttemptIDBytes {
		return false
	}
	for _, c := range id {
		if c <= ' ' || c >= 0x7f || c == '"' || c == '\\' || c == '/' {
			return false
		}
	}
	return true
}

// errorBody is the body of a response with an error.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Type    string `json:"type"`
	Message string `json:"message"`
}

// writeError responds with an error in JSON.
func writeError(w http.ResponseWriter, status int, errorType, message string) {
	host.WriteJSON(w, status, errorBody{Error: errorDetail{Type: errorType, Message: message}})
}

package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/poplarshore/poplarshore/standin/host"
)

// The headers between router and engine.
const (
	HeaderAttempt    = "X-Attempt-Id"
	HeaderPriority   = "X-Priority"
	HeaderDeadline   = "X-Deadline-Ms"
	HeaderNotStarted = "X-Not-Started"
	HeaderDraining   = "X-Draining"
)

const maxAttemptID = 128

type message struct {
	Content json.RawMessage `json:"content"`
}

type body struct {
	Model     string          `json:"model"`
	Messages  []message       `json:"messages"`
	Prompt    json.RawMessage `json:"prompt"`
	MaxTokens int             `json:"max_tokens"`
	MaxAnswer int             `json:"max_completion_tokens"`
	Stream    bool            `json:"stream"`
}

// job is one decoded request.
type job struct {
	attempt  string
	own      bool
	ref      VersionRef
	prompt   string
	chat     bool
	stream   bool
	limit    int
	priority int
	deadline time.Duration
}

// decode reads a request; it answers 400 and reports false if it is malformed.
func decode(w http.ResponseWriter, r *http.Request, newID func() string) (job, bool) {
	var b body
	if !host.ReadJSON(w, r, &b) {
		return job{}, false
	}
	model, version, ok := strings.Cut(b.Model, "@")
	attempt, named := r.Header.Get(HeaderAttempt), true
	if attempt == "" {
		attempt, named = newID(), false
	}
	if !ok || !validAttempt(attempt) || b.MaxTokens < 0 || b.MaxAnswer < 0 {
		writeError(w, http.StatusBadRequest, "invalid_request_error", "model must be model@version")
		return job{}, false
	}
	priority, _ := strconv.Atoi(r.Header.Get(HeaderPriority))
	deadline, _ := strconv.ParseInt(r.Header.Get(HeaderDeadline), 10, 64)
	return job{
		attempt: attempt, own: !named, ref: VersionRef{Model: model, Version: version},
		prompt: b.text(), chat: strings.HasSuffix(r.URL.Path, "/chat/completions"),
		stream: b.Stream, limit: max(b.MaxTokens, b.MaxAnswer), priority: priority,
		deadline: time.Duration(deadline) * time.Millisecond,
	}, true
}

// text returns the contents of the messages, or the prompt, joined by newlines.
func (b body) text() string {
	if len(b.Messages) == 0 {
		return plain(b.Prompt)
	}
	parts := make([]string, 0, len(b.Messages))
	for _, m := range b.Messages {
		parts = append(parts, plain(m.Content))
	}
	return strings.Join(parts, "\n")
}

// plain returns the string that raw holds, or raw itself if it is no string.
func plain(raw json.RawMessage) string {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text
	}
	return string(raw)
}

func validAttempt(id string) bool {
	if len(id) > maxAttemptID {
		return false
	}
	for _, c := range id {
		if c <= ' ' || c >= 0x7f || c == '"' || c == '\\' || c == '/' {
			return false
		}
	}
	return true
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Type    string `json:"type"`
	Message string `json:"message"`
}

func writeError(w http.ResponseWriter, status int, kind, message string) {
	host.WriteJSON(w, status, errorBody{Error: errorDetail{Type: kind, Message: message}})
}

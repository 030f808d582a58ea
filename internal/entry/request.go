package entry

import (
	"encoding/json"
	"errors"
	"io"
	"maps"
	"net/http"
	"os"
	"time"
	"unicode/utf8"

	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/refusal"
)

// bytesPerToken is the usual ratio for estimates of prompt tokens.
const bytesPerToken = 4

// completionRequest is a decoded completion request.
type completionRequest struct {
	Chat   bool
	Model  model.Name
	Stream bool
	// MaxTokens is the caller's bound on the answer, or the default estimate.
	MaxTokens int64
	// User is the caller's name for its end user; may be empty.
	User string
	// Prompt is the raw JSON of messages or prompt.
	Prompt json.RawMessage

	fields map[string]json.RawMessage
}

// readBody reads a bounded body within a bounded time.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	ctl := http.NewResponseController(w)
	_ = ctl.SetReadDeadline(s.Clock.Now().Add(s.opts.BodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.opts.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, refusal.New(refusal.BodyTooLarge).With("The limit is %d bytes.", s.opts.MaxBodyBytes)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, refusal.Wrap(refusal.BodyTimeout, err)
	case err != nil:
		return nil, refusal.Wrap(refusal.MalformedRequest, err).With("The body broke off.")
	}
	_ = ctl.SetReadDeadline(time.Time{})
	return body, nil
}

// decodeCompletion reads a completion request. Errors are *refusal.Refusal.
func decodeCompletion(body []byte, chat bool, opts Options) (*completionRequest, error) {
	if !utf8.Valid(body) {
		return nil, refusal.New(refusal.NotUTF8)
	}
	q := &completionRequest{Chat: chat, MaxTokens: opts.DefaultTokens}
	if err := json.Unmarshal(body, &q.fields); err != nil {
		return nil, refusal.Wrap(refusal.MalformedRequest, err).With("%v", err)
	}
	if q.fields == nil {
		return nil, refusal.New(refusal.MalformedRequest).With("The body must be an object.")
	}
	if err := q.decodeFields(opts.MaxTokens); err != nil {
		return nil, err
	}
	return q, nil
}

func (q *completionRequest) decodeFields(maxTokens int64) error {
	promptField := "prompt"
	if q.Chat {
		promptField = "messages"
	}
	for field, dst := range map[string]any{"model": &q.Model, "stream": &q.Stream, "user": &q.User} {
		if err := q.field(field, dst); err != nil {
			return err
		}
	}
	q.Prompt = q.fields[promptField]
	if len(q.Prompt) == 0 || string(q.Prompt) == "null" {
		return refusal.New(refusal.MalformedRequest).With("Field %q is missing.", promptField)
	}
	if q.Model == "" {
		return refusal.New(refusal.MalformedRequest).With("Field \"model\" is missing.")
	}
	return q.decodeMaxTokens(maxTokens)
}

func (q *completionRequest) decodeMaxTokens(limit int64) error {
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		raw, ok := q.fields[name]
		if !ok || string(raw) == "null" {
			continue
		}
		if err := json.Unmarshal(raw, &q.MaxTokens); err != nil || q.MaxTokens < 1 || q.MaxTokens > limit {
			return refusal.New(refusal.BadMaxTokens).With("The limit is %d.", limit)
		}
	}
	return nil
}

func (q *completionRequest) field(name string, dst any) error {
	raw, ok := q.fields[name]
	if !ok {
		return nil
	}
	if err := json.Unmarshal(raw, dst); err != nil {
		return refusal.Wrap(refusal.MalformedRequest, err).With("Field %q has the wrong type.", name)
	}
	return nil
}

// PromptTokens estimates the prompt's tokens.
func (q *completionRequest) PromptTokens() int64 {
	return int64(len(q.Prompt))/bytesPerToken + 1
}

// Body returns the request for an engine: the version named in the model
// field, streamed, with usage.
func (q *completionRequest) Body(ref model.Ref) ([]byte, error) {
	fields := maps.Clone(q.fields)
	fields["model"], _ = json.Marshal(ref.String())
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	body, err := json.Marshal(fields)
	if err != nil {
		return nil, refusal.Wrap(refusal.InternalFault, err)
	}
	return body, nil
}

// clone returns a copy whose model may be changed.
func (q *completionRequest) clone() *completionRequest {
	c := *q
	return &c
}

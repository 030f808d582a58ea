package entry

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"net/http"
	"time"
	"unicode/utf8"

	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/refusal"
)

// bytesPerToken is the typical number of bytes per token, by which the number of prompt
// tokens is estimated.
const bytesPerToken = 4

// completionRequest is a decoded request to the chat or text completion API.
type completionRequest struct {
	Chat   bool
	Model  model.Name
	Stream bool
	// MaxTokens is the caller's limit for the answer, or Options.DefaultTokens.
	MaxTokens int64
	// User identifies the caller's end user; may be empty.
	User string
	// Prompt is the raw JSON of the field "messages" or "prompt".
	Prompt json.RawMessage

	fields map[string]json.RawMessage
}

// readBody reads the request body, up to MaxBodyBytes and for at most BodyTimeout, or
// until a drain begins that can't hold the exchange. Errors are *refusal.Refusal.
func (s *Server) readBody(x *Exchange, w http.ResponseWriter, r *http.Request) ([]byte, error) {
	// The context of the request ends with any failure of a read.
	abortable, end := s.abortableContext(context.WithoutCancel(r.Context()))
	defer end()
	ctx, cancel := s.waitContext(abortable, x)
	defer cancel()
	controller := http.NewResponseController(w)
	readBy := s.Clock.Now().Add(s.opts.BodyTimeout)
	_ = controller.SetReadDeadline(readBy)
	interrupted := s.interruptRead(ctx, controller)
	body, err := readAll(s.requestBuffer(x), http.MaxBytesReader(w, r.Body, s.opts.MaxBodyBytes))
	if interrupted() {
		return nil, s.contextError(ctx, x)
	}
	if refused := noMemory(err); refused != nil {
		return nil, refused
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, refusal.New(refusal.BodyTooLarge).With("The limit is %d bytes.", s.opts.MaxBodyBytes)
	// The error doesn't tell: net/http replaces that of a read within the end of a chunked body.
	case err != nil && !s.Clock.Now().Before(readBy):
		return nil, refusal.Wrap(refusal.BodyTimeout, err)
	case err != nil:
		return nil, refusal.Wrap(refusal.MalformedRequest, err).With("The body broke off.")
	}
	_ = controller.SetReadDeadline(time.Time{})
	return body, nil
}

// decodeCompletion decodes and validates a completion request. Errors are
// *refusal.Refusal.
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
		if err := q.decodeField(field, dst); err != nil {
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

func (q *completionRequest) decodeField(name string, dst any) error {
	raw, ok := q.fields[name]
	if !ok {
		return nil
	}
	if err := json.Unmarshal(raw, dst); err != nil {
		return refusal.Wrap(refusal.MalformedRequest, err).With("Field %q has the wrong type.", name)
	}
	return nil
}

// PromptTokens returns the estimated number of tokens of the prompt.
func (q *completionRequest) PromptTokens() int64 {
	return int64(len(q.Prompt))/bytesPerToken + 1
}

// Body returns the JSON request for an engine: with the version as the model, and with
// streaming and the report of token usage enabled.
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

// clone returns a shallow copy, whose Model may be changed.
func (q *completionRequest) clone() *completionRequest {
	c := *q
	return &c
}

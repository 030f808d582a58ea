// Package caller is a small client of the callers' API of an entry VM, for tests and measurements.
// Create a Caller and use Chat for completions, Do for any other request and Resume for interrupted streams.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/joomcode/errorx"
	sse "github.com/tmaxmax/go-sse"
)

var namespace = errorx.NewNamespace("caller")

// ErrSend is the error type of requests that could not be sent or got no response header.
var ErrSend = namespace.NewType("send")

// Caller sends requests to one entry address.
type Caller struct {
	// Address is the host:port of the entry.
	Address string
	// Key is the key of the client account, sent as a bearer token.
	Key string
	// Client sends the requests. Nil means http.DefaultClient.
	Client *http.Client
	// OnPiece, if set, is called after each piece of a streamed answer with the number of pieces
	// received so far.
	OnPiece func(pieces int)
}

// Answer is the response to a request, complete or truncated.
type Answer struct {
	Status int
	Header http.Header
	// Body is the body as received or, for a stream, the data of its last piece.
	Body []byte
	// Text is the generated text of a completion.
	Text string
	// Pieces is the number of pieces of a streamed answer, and LastEventID the event id of the last
	// one.
	Pieces      int
	LastEventID string
	// Complete reports whether the answer was received completely: the body without a read error, the
	// stream with its final [DONE] event.
	Complete bool
	// Reason is the code of a refusal, and Ran whether the refused request was executed: "yes", "no"
	// or "unknown". Both are empty for other answers.
	Reason string
	Ran    string
}

// Request is the body of a chat completion request.
type Request struct {
	Model     string    `json:"model"`
	Stream    bool      `json:"stream,omitempty"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	User      string    `json:"user,omitempty"`
	Messages  []Message `json:"messages"`
}

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// NewRequest returns a request with a single message, of the role "user".
func NewRequest(model, prompt string, stream bool) Request {
	return Request{Model: model, Stream: stream, Messages: []Message{{Role: "user", Content: prompt}}}
}

// Chat sends a chat completion request with additional headers. Errors: ErrSend.
func (c *Caller) Chat(ctx context.Context, r Request, headers map[string]string) (Answer, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return Answer{}, ErrSend.Wrap(err, "encode request")
	}
	return c.Do(ctx, http.MethodPost, "/v1/chat/completions", body, headers)
}

// Resume resumes the stream with the given resume token after the event lastEventID. The answer contains
// only the rest of the stream. Errors: ErrSend.
func (c *Caller) Resume(ctx context.Context, token, lastEventID string) (Answer, error) {
	return c.Do(ctx, http.MethodGet, "/v1/streams/"+token, nil, map[string]string{"Last-Event-ID": lastEventID})
}

// Do sends any request with additional headers and reads the answer up to its end or up to the point
// where it is truncated, which is not an error. Errors: ErrSend.
func (c *Caller) Do(ctx context.Context, method, path string, body []byte, headers map[string]string) (Answer, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path, bytes.NewReader(body))
	if err != nil {
		return Answer{}, ErrSend.Wrap(err, "create request")
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	client := c.Client
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return Answer{}, ErrSend.Wrap(err, "send request")
	}
	defer func() { _ = resp.Body.Close() }()
	answer := Answer{Status: resp.StatusCode, Header: resp.Header}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		answer.readStream(resp.Body, c.OnPiece)
		return answer, nil
	}
	answer.readBody(resp.Body)
	return answer, nil
}

// completionBody is the body of a completion, of a chunk of a streamed one, or of a refusal.
type completionBody struct {
	Choices []struct {
		Message Message `json:"message"`
		Delta   Message `json:"delta"`
		Text    string  `json:"text"`
	} `json:"choices"`
	Error struct {
		Code string `json:"code"`
		Ran  string `json:"ran"`
	} `json:"error"`
}

// readBody reads an answer that is not streamed.
func (a *Answer) readBody(body io.Reader) {
	content, err := io.ReadAll(body)
	a.Body = content
	a.Complete = err == nil
	var parsed completionBody
	if json.Unmarshal(content, &parsed) != nil {
		return
	}
	a.Reason, a.Ran = parsed.Error.Code, parsed.Error.Ran
	if len(parsed.Choices) > 0 {
		a.Text = parsed.Choices[0].Message.Content + parsed.Choices[0].Text
	}
}

// readStream reads a stream of server-sent events up to [DONE] or the first error.
func (a *Answer) readStream(body io.Reader, onPiece func(int)) {
	var text strings.Builder
	for ev, err := range sse.Read(body, nil) {
		if err != nil {
			break
		}
		if ev.Data == "[DONE]" {
			a.Complete = true
			break
		}
		a.Pieces++
		a.Body = []byte(ev.Data)
		a.LastEventID = ev.LastEventID
		var parsed completionBody
		if json.Unmarshal([]byte(ev.Data), &parsed) == nil && len(parsed.Choices) > 0 {
			text.WriteString(parsed.Choices[0].Delta.Content + parsed.Choices[0].Text)
		}
		if onPiece != nil {
			onPiece(a.Pieces)
		}
	}
	a.Text = text.String()
}

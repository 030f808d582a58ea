// Package caller is a small client of the entry for tests and measurements.
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

var (
	// ErrSend reports a request that got no answer.
	ErrSend = namespace.NewType("send")
	// ErrCut reports an answer that broke off.
	ErrCut = namespace.NewType("cut")
)

// Caller sends requests to one entry address.
type Caller struct {
	// Address is host:port of the entry.
	Address string
	Key     string
	Client  *http.Client
	// OnPiece, if set, is called after each piece of a streamed answer.
	OnPiece func(pieces int)
}

// Answer is what came back.
type Answer struct {
	Status int
	Header http.Header
	// Body is the whole body, or the data of a stream's last piece.
	Body []byte
	// Text is the answer's text, of completions.
	Text string
	// Pieces counts the pieces of a streamed answer; LastID is the id of the last.
	Pieces int
	LastID string
	// Whole tells that the answer came to its end.
	Whole bool
	// Reason and Ran are those of a refusal.
	Reason string
	Ran    string
}

// Request is a completion request.
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

// Ask returns a request with one message of a user.
func Ask(model, prompt string, stream bool) Request {
	return Request{Model: model, Stream: stream, Messages: []Message{{Role: "user", Content: prompt}}}
}

// Chat sends a completion request.
func (c *Caller) Chat(ctx context.Context, r Request, headers map[string]string) (Answer, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return Answer{}, ErrSend.Wrap(err, "request")
	}
	return c.Do(ctx, http.MethodPost, "/v1/chat/completions", body, headers)
}

// Resume goes on with a stream after the piece with the id last.
func (c *Caller) Resume(ctx context.Context, token, last string) (Answer, error) {
	return c.Do(ctx, http.MethodGet, "/v1/streams/"+token, nil, map[string]string{"Last-Event-ID": last})
}

// Do sends any request and reads the answer to its end or to where it broke
// off. Errors: ErrSend.
func (c *Caller) Do(ctx context.Context, method, path string, body []byte, headers map[string]string) (Answer, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path, bytes.NewReader(body))
	if err != nil {
		return Answer{}, ErrSend.Wrap(err, "request")
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
		return Answer{}, ErrSend.Wrap(err, "send")
	}
	defer func() { _ = resp.Body.Close() }()
	a := Answer{Status: resp.StatusCode, Header: resp.Header}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		a.readStream(resp.Body, c.OnPiece)
		return a, nil
	}
	a.readWhole(resp.Body)
	return a, nil
}

type completion struct {
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

func (a *Answer) readWhole(body io.Reader) {
	text, err := io.ReadAll(body)
	a.Body = text
	a.Whole = err == nil
	var c completion
	if json.Unmarshal(text, &c) != nil {
		return
	}
	a.Reason, a.Ran = c.Error.Code, c.Error.Ran
	if len(c.Choices) > 0 {
		a.Text = c.Choices[0].Message.Content + c.Choices[0].Text
	}
}

func (a *Answer) readStream(body io.Reader, onPiece func(int)) {
	var text strings.Builder
	for ev, err := range sse.Read(body, nil) {
		if err != nil {
			break
		}
		if ev.Data == "[DONE]" {
			a.Whole = true
			break
		}
		a.Pieces++
		a.Body = []byte(ev.Data)
		a.LastID = ev.LastEventID
		var c completion
		if json.Unmarshal([]byte(ev.Data), &c) == nil && len(c.Choices) > 0 {
			text.WriteString(c.Choices[0].Delta.Content + c.Choices[0].Text)
		}
		if onPiece != nil {
			onPiece(a.Pieces)
		}
	}
	a.Text = text.String()
}

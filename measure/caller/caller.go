// Package caller is a client of the caller API, or of an engine itself, that
// tells what became of each request and whether an answer is whole.
package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("caller")

var (
	// ErrBroken reports an answer that did not come whole.
	ErrBroken = namespace.NewType("broken")
	// ErrRefused reports a refusal; Answer tells its status and code.
	ErrRefused = namespace.NewType("refused")
)

const (
	chatPath        = "/v1/chat/completions"
	connectionsKept = 256
	lineBytes       = 1 << 16
)

// Caller sends requests to one address.
type Caller struct {
	url    string
	key    string
	client *http.Client
}

// New returns a caller with connections of its own. The key is sent as a bearer
// key unless empty.
func New(url, key string) *Caller {
	transport := &http.Transport{MaxIdleConnsPerHost: connectionsKept, MaxIdleConns: connectionsKept}
	return &Caller{url: url, key: key, client: &http.Client{Transport: transport}}
}

// Close closes the unused connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Question is one completion request.
type Question struct {
	Model  string
	Prompt string
	Stream bool
	// MaxTokens bounds the answer; 0 sets no bound.
	MaxTokens int
	// Attempt names the attempt to an engine; empty for the caller API.
	Attempt string
	// Session is the session token to send, or empty.
	Session string
	// FirstEvent, if set, is called when the first event of a stream came.
	FirstEvent func()
}

// Answer is what came back.
type Answer struct {
	Status int
	Header http.Header
	Text   string
	// Events counts the events of a stream with a piece of text.
	Events int
	// Code and Ran are those of a refusal.
	Code string
	Ran  string
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatBody struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	Stream    bool          `json:"stream,omitempty"`
	MaxTokens int           `json:"max_tokens,omitempty"`
}

// Ask sends a chat completion and reads the answer. Errors: ErrBroken, ErrRefused.
func (c *Caller) Ask(ctx context.Context, q Question) (Answer, error) {
	body, err := json.Marshal(chatBody{
		Model: q.Model, Messages: []chatMessage{{Role: "user", Content: q.Prompt}}, Stream: q.Stream, MaxTokens: q.MaxTokens,
	})
	if err != nil {
		return Answer{}, ErrBroken.Wrap(err, "question")
	}
	header := http.Header{"Content-Type": {"application/json"}}
	if q.Attempt != "" {
		header.Set("X-Attempt-Id", q.Attempt)
	}
	if q.Session != "" {
		header.Set("Poplarshore-Session", q.Session)
	}
	response, err := c.send(ctx, http.MethodPost, chatPath, header, body)
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	answer := Answer{Status: response.StatusCode, Header: response.Header}
	switch {
	case response.StatusCode != http.StatusOK:
		return answer, answer.readRefusal(response.Body)
	case q.Stream:
		return answer, answer.readStream(response.Body, q.FirstEvent)
	default:
		return answer, answer.readWhole(response.Body)
	}
}

// Call sends a request to a plain service. Errors: ErrBroken, ErrRefused.
func (c *Caller) Call(ctx context.Context, method, path string, header http.Header, body string) (Answer, error) {
	response, err := c.send(ctx, method, path, header, []byte(body))
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	answer := Answer{Status: response.StatusCode, Header: response.Header}
	if response.StatusCode >= http.StatusBadRequest {
		return answer, answer.readRefusal(response.Body)
	}
	text, err := io.ReadAll(response.Body)
	answer.Text = string(text)
	if err != nil {
		return answer, ErrBroken.Wrap(err, "answer")
	}
	return answer, nil
}

func (c *Caller) send(ctx context.Context, method, path string, header http.Header, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.url+path, bytes.NewReader(body))
	if err != nil {
		return nil, ErrBroken.Wrap(err, "request")
	}
	request.GetBody = nil
	for name, values := range header {
		request.Header[name] = values
	}
	if c.key != "" {
		request.Header.Set("Authorization", "Bearer "+c.key)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil, ErrBroken.Wrap(err, "send")
	}
	return response, nil
}

func (a *Answer) readRefusal(body io.Reader) error {
	var refusal struct {
		Error struct {
			Code string `json:"code"`
			Ran  string `json:"ran"`
		} `json:"error"`
	}
	text, err := io.ReadAll(body)
	if err != nil {
		return ErrBroken.Wrap(err, "refusal")
	}
	_ = json.Unmarshal(text, &refusal)
	a.Code, a.Ran = refusal.Error.Code, refusal.Error.Ran
	return ErrRefused.New("status %d, code %q, ran %q", a.Status, a.Code, a.Ran)
}

func (a *Answer) readWhole(body io.Reader) error {
	var answer struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	text, err := io.ReadAll(body)
	if err == nil {
		err = json.Unmarshal(text, &answer)
	}
	if err != nil || len(answer.Choices) != 1 {
		return ErrBroken.New("answer of %d bytes: %v", len(text), err)
	}
	a.Text = answer.Choices[0].Message.Content
	return nil
}

// readStream reads events up to the end mark.
func (a *Answer) readStream(body io.Reader, first func()) error {
	reader := bufio.NewReaderSize(body, lineBytes)
	var text strings.Builder
	defer func() { a.Text = text.String() }()
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return ErrBroken.Wrap(err, "stream after %d events", a.Events)
		}
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		if !ok {
			continue
		}
		if bytes.HasPrefix(data, []byte("[DONE]")) {
			return nil
		}
		piece, ok := content(data)
		if !ok {
			return ErrBroken.New("malformed event")
		}
		if a.Events == 0 && first != nil {
			first()
		}
		if piece != "" {
			a.Events++
		}
		text.WriteString(piece)
	}
}

// content returns the text of a chunk. Stand-ins write it as the first string
// after its name, so no whole decoding is needed to keep the load light.
func content(data []byte) (string, bool) {
	_, rest, ok := bytes.Cut(data, []byte(`"content":`))
	if !ok {
		return "", true
	}
	end := bytes.IndexByte(rest[1:], '"')
	if rest[0] != '"' || end < 0 {
		return "", false
	}
	piece, err := strconv.Unquote(string(rest[:end+2]))
	return piece, err == nil
}

// WithTimeout returns a copy whose requests end after d.
func (c *Caller) WithTimeout(d time.Duration) *Caller {
	limited := *c
	client := *c.client
	client.Timeout = d
	limited.client = &client
	return &limited
}

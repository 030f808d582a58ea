// Package caller is a client of the caller API, or of an engine directly, that
// distinguishes complete responses, refusals and incomplete responses.
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
	// ErrBroken reports a request that could not be sent, or an incomplete or
	// malformed response.
	ErrBroken = namespace.NewType("broken")
	// ErrRefused reports a refusal. Response contains its status and code.
	ErrRefused = namespace.NewType("refused")
)

const (
	chatPath           = "/v1/chat/completions"
	maxIdleConnections = 256
	// lineBufferBytes is the maximum length of a line of a stream.
	lineBufferBytes = 1 << 16
)

// Client sends requests to one base URL. It is safe for concurrent use.
type Client struct {
	url    string
	key    string
	client *http.Client
}

// New returns a client for the base URL, with a separate pool of connections. A
// key that isn't empty is sent as a bearer token.
func New(url, key string) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnections, MaxIdleConns: maxIdleConnections}
	return &Client{url: url, key: key, client: &http.Client{Transport: transport}}
}

// Close closes the idle connections.
func (c *Client) Close() { c.client.CloseIdleConnections() }

// Request is one completion request.
type Request struct {
	Model  string
	Prompt string
	// Stream requests a streamed answer.
	Stream bool
	// MaxTokens is the maximum number of tokens of the answer. 0 sends no maximum.
	MaxTokens int
	// AttemptID identifies the attempt in a direct request to an engine. It is
	// empty for the caller API.
	AttemptID string
	// Session is the session token to send. Empty means no session.
	Session string
	// OnFirstEvent, if set, is called when the first event of a stream arrives.
	OnFirstEvent func()
}

// Response is the response to a request. After an error it contains what was
// received.
type Response struct {
	// Status is the HTTP status, or 0 if no response header was received.
	Status int
	Header http.Header
	Text   string
	// Events is the number of events of a stream that contain text.
	Events int
	// Code and Ran are the code of a refusal and its statement of whether the
	// request was run. They are empty for other responses.
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

// Complete sends a chat completion request and reads the response. Errors:
// ErrBroken, ErrRefused.
func (c *Client) Complete(ctx context.Context, q Request) (Response, error) {
	body, err := json.Marshal(chatBody{
		Model: q.Model, Messages: []chatMessage{{Role: "user", Content: q.Prompt}}, Stream: q.Stream, MaxTokens: q.MaxTokens,
	})
	if err != nil {
		return Response{}, ErrBroken.Wrap(err, "could not encode the request")
	}
	header := http.Header{"Content-Type": {"application/json"}}
	if q.AttemptID != "" {
		header.Set("X-Attempt-Id", q.AttemptID)
	}
	if q.Session != "" {
		header.Set("Poplarshore-Session", q.Session)
	}
	httpResponse, err := c.send(ctx, http.MethodPost, chatPath, header, body)
	if err != nil {
		return Response{}, err
	}
	defer func() { _ = httpResponse.Body.Close() }()
	response := Response{Status: httpResponse.StatusCode, Header: httpResponse.Header}
	switch {
	case httpResponse.StatusCode != http.StatusOK:
		return response, response.readRefusal(httpResponse.Body)
	case q.Stream:
		return response, response.readStream(httpResponse.Body, q.OnFirstEvent)
	default:
		return response, response.readComplete(httpResponse.Body)
	}
}

// CallService sends a request to a plain service and reads the response. A status
// of 400 or above is a refusal. Errors: ErrBroken, ErrRefused.
func (c *Client) CallService(ctx context.Context, method, path string, header http.Header, body string) (Response, error) {
	httpResponse, err := c.send(ctx, method, path, header, []byte(body))
	if err != nil {
		return Response{}, err
	}
	defer func() { _ = httpResponse.Body.Close() }()
	response := Response{Status: httpResponse.StatusCode, Header: httpResponse.Header}
	if httpResponse.StatusCode >= http.StatusBadRequest {
		return response, response.readRefusal(httpResponse.Body)
	}
	text, err := io.ReadAll(httpResponse.Body)
	response.Text = string(text)
	if err != nil {
		return response, ErrBroken.Wrap(err, "could not read the response")
	}
	return response, nil
}

// send sends one request. It unsets GetBody, so that the transport does not repeat
// the request on another connection.
func (c *Client) send(ctx context.Context, method, path string, header http.Header, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.url+path, bytes.NewReader(body))
	if err != nil {
		return nil, ErrBroken.Wrap(err, "could not create the request")
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
		return nil, ErrBroken.Wrap(err, "could not send the request")
	}
	return response, nil
}

// readRefusal reads a refusal and returns it as ErrRefused. Code and Ran stay
// empty if the body is not JSON.
func (r *Response) readRefusal(body io.Reader) error {
	var refusal struct {
		Error struct {
			Code string `json:"code"`
			Ran  string `json:"ran"`
		} `json:"error"`
	}
	text, err := io.ReadAll(body)
	if err != nil {
		return ErrBroken.Wrap(err, "could not read the refusal")
	}
	_ = json.Unmarshal(text, &refusal)
	r.Code, r.Ran = refusal.Error.Code, refusal.Error.Ran
	return ErrRefused.New("request refused with status %d, code %q, ran %q", r.Status, r.Code, r.Ran)
}

// readComplete reads a completion that is not streamed.
func (r *Response) readComplete(body io.Reader) error {
	var completion struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	text, err := io.ReadAll(body)
	if err == nil {
		err = json.Unmarshal(text, &completion)
	}
	if err != nil || len(completion.Choices) != 1 {
		return ErrBroken.New("malformed or truncated completion of %d bytes: %v", len(text), err)
	}
	r.Text = completion.Choices[0].Message.Content
	return nil
}

// readStream reads events until the end marker [DONE]. A stream that ends without
// it is incomplete.
func (r *Response) readStream(body io.Reader, onFirst func()) error {
	reader := bufio.NewReaderSize(body, lineBufferBytes)
	var text strings.Builder
	defer func() { r.Text = text.String() }()
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return ErrBroken.Wrap(err, "stream truncated after %d events", r.Events)
		}
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		if !ok {
			continue
		}
		if bytes.HasPrefix(data, []byte("[DONE]")) {
			return nil
		}
		piece, ok := chunkContent(data)
		if !ok {
			return ErrBroken.New("malformed event in stream")
		}
		if r.Events == 0 && onFirst != nil {
			onFirst()
		}
		if piece != "" {
			r.Events++
		}
		text.WriteString(piece)
	}
}

// chunkContent returns the text of a chunk. It extracts the string that directly
// follows the name "content", as stand-ins write it, and doesn't decode the whole
// chunk, to keep the CPU time of the client low.
func chunkContent(data []byte) (string, bool) {
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

// WithTimeout returns a copy of the client with the timeout d for each request,
// which includes reading the response. Both share their connections.
func (c *Client) WithTimeout(d time.Duration) *Client {
	limited := *c
	client := *c.client
	client.Timeout = d
	limited.client = &client
	return &limited
}

package engineclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/internal/membudget"
	"github.com/poplarshore/poplarshore/internal/transport"
)

// Header names of the engine protocol.
const (
	headerAttempt    = transport.HeaderAttempt
	headerPriority   = "X-Priority"
	headerDeadline   = "X-Deadline-Ms"
	headerNotStarted = "X-Not-Started"
	headerDraining   = "X-Draining"
)

// maxReportBytes is the largest response body that is read from /load and /state.
const maxReportBytes = 1 << 20

// Limits holds the time limits of a call. Zero values select the defaults.
type Limits struct {
	// Headers is how long to wait for the response header, and for the whole
	// response of Cancel and Load. Default 2 s.
	Headers time.Duration
	// Idle is how long a stream may go on without a new piece. Default 2 s.
	Idle time.Duration
}

func (l Limits) withDefaults() Limits {
	if l.Headers == 0 {
		l.Headers = 2 * time.Second
	}
	if l.Idle == 0 {
		l.Idle = 2 * time.Second
	}
	return l
}

// Client calls engines. It is safe for concurrent use.
type Client struct {
	pools  *transport.Pools
	limits Limits
	memory *membudget.Budget
}

// New returns a client that uses the connections of pools, and keeps parts of responses
// within the memory budget.
func New(pools *transport.Pools, limits Limits, memory *membudget.Budget) *Client {
	return &Client{pools: pools, limits: limits.withDefaults(), memory: memory}
}

// Call is one attempt at a completion.
type Call struct {
	// Address is the engine's base URL.
	Address string
	// Path is the API path, such as "/v1/chat/completions".
	Path string
	// Model is the model that answers; it shares the VM's memory with other models.
	Model string
	// Attempt is the id of the attempt; it must be unique.
	Attempt string
	// Body is the JSON request, with the version in its "model" field and "stream"
	// set.
	Body []byte
	// Priority is sent to the engine; higher values are served first.
	Priority int
	// TimeLeft is the time until the request's deadline; it is sent to the
	// engine in milliseconds.
	TimeLeft time.Duration
	// WaitOn is called when the engine has sent nothing of the body for the time limit. It
	// reports whether to wait for that time once more. It may be called from any goroutine,
	// until Open or Stream.Pieces has returned. Nil never waits on.
	WaitOn func() bool
}

// Open sends the call and waits for the response header. Errors: ErrConnect,
// ErrNotStarted, ErrRejected, ErrStatus, ErrGone, ErrBroken, ErrSilent,
// ErrMalformed.
func (c *Client) Open(ctx context.Context, call Call) (*Stream, error) {
	req, err := http.NewRequest(http.MethodPost, call.Address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, ErrMalformed.Wrap(err, "address %q", call.Address)
	}
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(headerAttempt, call.Attempt)
	req.Header.Set(headerPriority, strconv.Itoa(call.Priority))
	req.Header.Set(headerDeadline, strconv.FormatInt(call.TimeLeft.Milliseconds(), 10))
	return c.start(ctx, req, streamOptions{address: call.Address, model: call.Model, attempt: call.Attempt, last: -1, waitOn: call.WaitOn})
}

// Resume requests the pieces of an attempt of a model after index last as a new stream,
// which doesn't use the broken connection. Errors: those of Open; ErrGone means that the
// engine no longer has the stream.
func (c *Client) Resume(ctx context.Context, address, model, attempt string, last int) (*Stream, error) {
	req, err := http.NewRequest(http.MethodGet, address+"/v1/streams/"+attempt, nil)
	if err != nil {
		return nil, ErrMalformed.Wrap(err, "address %q", address)
	}
	req.Header.Set(headerAttempt, attempt)
	req.Header.Set("Last-Event-ID", attempt+"/"+strconv.Itoa(last))
	return c.start(ctx, req, streamOptions{address: address, model: model, attempt: attempt, last: last})
}

// Cancel requests that the engine stop an attempt. The status of the response is
// ignored. Errors: ErrBroken, ErrMalformed.
func (c *Client) Cancel(ctx context.Context, address, attempt string) error {
	ctx, cancel := context.WithTimeout(ctx, c.limits.Headers)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, address+"/v1/streams/"+attempt, nil)
	if err != nil {
		return ErrMalformed.Wrap(err, "address %q", address)
	}
	resp, err := c.pools.For(address).NonIdempotent().RoundTrip(req)
	if err != nil {
		return ErrBroken.Wrap(err, "cancel attempt")
	}
	return resp.Body.Close()
}

// streamOptions are what a stream needs beside its request.
type streamOptions struct {
	address, model, attempt string
	// last is the index of the last piece that was received before.
	last   int
	waitOn func() bool
}

// start sends the request and waits for the response header up to Limits.Headers, or
// longer if waitOn says so.
func (c *Client) start(ctx context.Context, req *http.Request, o streamOptions) (*Stream, error) {
	pool := c.pools.For(o.address)
	ctx, cancel := context.WithCancelCause(ctx)
	memory := c.memory.Reserve(membudget.Holder{Kind: membudget.Upstream, ID: o.address}, membudget.Holder{Kind: membudget.Service, ID: o.model})
	s := &Stream{cancel: cancel, ctx: ctx, idleTimeout: c.limits.Idle, pool: pool,
		progress: progress{attempt: o.attempt, highest: o.last, memory: memory}}
	s.silence = newSilenceTimer(c.limits.Headers, o.waitOn, s.onSilence)
	s.silence.begin()
	resp, err := pool.Idempotent().RoundTrip(req.WithContext(ctx))
	s.silence.end()
	if err != nil {
		cancel(nil)
		return nil, s.requestError(err)
	}
	s.resp = resp
	s.Draining = resp.Header.Get(headerDraining) != ""
	if resp.StatusCode == http.StatusOK {
		return s, nil
	}
	defer s.Close()
	return nil, statusError(resp)
}

// onSilence aborts the stream after its time limit passed without a new piece, and
// closes the engine's unused connections, which may be dead too.
func (s *Stream) onSilence() {
	s.cancel(ErrSilent.New("nothing new received within the time limit"))
	s.pool.CloseIdle()
}

// requestError returns the error for a failed request.
func (s *Stream) requestError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return ErrConnect.Wrap(err, "connect to engine")
	}
	if s.silence.hasExpired() {
		return ErrSilent.Wrap(err, "no response header within the time limit")
	}
	return ErrBroken.Wrap(err, "send request or read response header")
}

// statusError returns the error for a response with a status other than 200.
func statusError(resp *http.Response) error {
	err := statusErrorType(resp).New("engine returned %s", resp.Status)
	if resp.Header.Get(headerDraining) != "" {
		return err.WithProperty(drainingProperty, true)
	}
	return err
}

// statusErrorType returns the error type for a response with a status other than
// 200.
func statusErrorType(resp *http.Response) *errorx.Type {
	switch {
	case resp.Header.Get(headerNotStarted) != "":
		return ErrNotStarted
	case resp.StatusCode == http.StatusNotFound, resp.StatusCode == http.StatusGone:
		return ErrGone
	case resp.StatusCode == http.StatusBadRequest, resp.StatusCode == http.StatusRequestEntityTooLarge,
		resp.StatusCode == http.StatusUnprocessableEntity:
		return ErrRejected
	default:
		return ErrStatus
	}
}

// Load is an engine's load report. It may be stale; AtUnixMS is the time of the
// report.
type Load struct {
	AtUnixMS int64 `json:"at_unix_ms"`
	Running  int   `json:"running"`
	Waiting  int   `json:"waiting"`
	Capacity int   `json:"capacity"`
	// KVUsed is the used share of the KV cache, 0 to 1.
	KVUsed   float64       `json:"kv_used"`
	Versions []VersionLoad `json:"versions"`
	Draining bool          `json:"draining"`
}

// VersionLoad reports whether a version is loaded and ready to serve.
type VersionLoad struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Loaded  bool   `json:"loaded"`
}

// Load reads an engine's load report. Errors: ErrBroken, ErrStatus, ErrMalformed.
func (c *Client) Load(ctx context.Context, address string) (Load, error) {
	ctx, cancel := context.WithTimeout(ctx, c.limits.Headers)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address+"/load", nil)
	if err != nil {
		return Load{}, ErrMalformed.Wrap(err, "address %q", address)
	}
	resp, err := c.pools.For(address).Idempotent().RoundTrip(req)
	if err != nil {
		return Load{}, ErrBroken.Wrap(err, "read load report")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return Load{}, ErrStatus.New("read load report: engine returned %s", resp.Status)
	}
	var load Load
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReportBytes)).Decode(&load); err != nil {
		return Load{}, ErrMalformed.Wrap(err, "decode load report")
	}
	return load, nil
}

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

	"github.com/poplarshore/poplarshore/internal/transport"
)

// Headers of the engines' protocol.
const (
	headerAttempt    = "X-Attempt-Id"
	headerPriority   = "X-Priority"
	headerDeadline   = "X-Deadline-Ms"
	headerNotStarted = "X-Not-Started"
	headerDraining   = "X-Draining"
)

// maxReportBytes bounds a load report.
const maxReportBytes = 1 << 20

// Limits bound each stage of a call.
type Limits struct {
	// Headers is the longest wait for the response's headers. Default 2 s.
	Headers time.Duration
	// Idle is the longest wait between pieces. Default 2 s.
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

// Client speaks to all engines.
type Client struct {
	pools  *transport.Pools
	limits Limits
}

// New returns a client that takes its connections from pools.
func New(pools *transport.Pools, limits Limits) *Client {
	return &Client{pools: pools, limits: limits.withDefaults()}
}

// Call is one attempt at a completion.
type Call struct {
	// Address is the engine's base URL.
	Address string
	// Path is the API path, such as "/v1/chat/completions".
	Path string
	// Attempt is unique to this dispatch.
	Attempt string
	// Body is the request with the version in its model field and stream set.
	Body []byte
	// Priority is passed on; higher goes first.
	Priority int
	// Deadline is passed on as the remaining time.
	Deadline time.Duration
}

// Open sends the call and waits for the answer's headers. Errors: ErrConnect,
// ErrNotStarted, ErrRejected, ErrStatus, ErrBroken, ErrSilent.
func (c *Client) Open(ctx context.Context, call Call) (*Stream, error) {
	req, err := http.NewRequest(http.MethodPost, call.Address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, ErrMalformed.Wrap(err, "address %q", call.Address)
	}
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(headerAttempt, call.Attempt)
	req.Header.Set(headerPriority, strconv.Itoa(call.Priority))
	req.Header.Set(headerDeadline, strconv.FormatInt(call.Deadline.Milliseconds(), 10))
	return c.start(ctx, call.Address, req)
}

// Resume asks the engine for the pieces of an attempt after index last, over a
// connection of its own. Errors: as Open, and ErrGone.
func (c *Client) Resume(ctx context.Context, address, attempt string, last int) (*Stream, error) {
	req, err := http.NewRequest(http.MethodGet, address+"/v1/streams/"+attempt, nil)
	if err != nil {
		return nil, ErrMalformed.Wrap(err, "address %q", address)
	}
	req.Header.Set("Last-Event-ID", attempt+"/"+strconv.Itoa(last))
	return c.start(ctx, address, req)
}

// Cancel tells the engine to stop working on an attempt.
func (c *Client) Cancel(ctx context.Context, address, attempt string) error {
	ctx, cancel := context.WithTimeout(ctx, c.limits.Headers)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, address+"/v1/streams/"+attempt, nil)
	if err != nil {
		return ErrMalformed.Wrap(err, "address %q", address)
	}
	resp, err := c.pools.For(address).Once().RoundTrip(req)
	if err != nil {
		return ErrBroken.Wrap(err, "cancel")
	}
	return resp.Body.Close()
}

// start sends the request and watches the wait for headers.
func (c *Client) start(ctx context.Context, address string, req *http.Request) (*Stream, error) {
	pool := c.pools.For(address)
	ctx, cancel := context.WithCancelCause(ctx)
	s := &Stream{cancel: cancel, ctx: ctx, idle: c.limits.Idle, pool: pool}
	s.quiet = time.AfterFunc(c.limits.Headers, s.onSilence)
	resp, err := pool.Repeatable().RoundTrip(req.WithContext(ctx))
	s.quiet.Stop()
	if err != nil {
		cancel(nil)
		return nil, s.sendError(err)
	}
	s.resp = resp
	s.Draining = resp.Header.Get(headerDraining) != ""
	if resp.StatusCode == http.StatusOK {
		return s, nil
	}
	defer s.Close()
	return nil, statusError(resp)
}

// onSilence ends a connection on which nothing came for too long, and drops
// the unused ones beside it.
func (s *Stream) onSilence() {
	s.silent.Store(true)
	s.cancel(ErrSilent.New("nothing came in time"))
	s.pool.Suspect()
}

func (s *Stream) sendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return ErrConnect.Wrap(err, "connect")
	}
	if s.silent.Load() {
		return ErrSilent.Wrap(err, "no headers in time")
	}
	return ErrBroken.Wrap(err, "send")
}

func statusError(resp *http.Response) error {
	err := statusKind(resp).New("engine answered %s", resp.Status)
	if resp.Header.Get(headerDraining) != "" {
		return err.WithProperty(drainingProperty, true)
	}
	return err
}

func statusKind(resp *http.Response) *errorx.Type {
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

// Load is an engine's report about itself. It lags behind.
type Load struct {
	AtUnixMS int64         `json:"at_unix_ms"`
	Running  int           `json:"running"`
	Waiting  int           `json:"waiting"`
	Capacity int           `json:"capacity"`
	KVUsed   float64       `json:"kv_used"`
	Versions []VersionLoad `json:"versions"`
	Draining bool          `json:"draining"`
}

// VersionLoad tells whether a version is ready to serve.
type VersionLoad struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Loaded  bool   `json:"loaded"`
}

// Load reads an engine's load report.
func (c *Client) Load(ctx context.Context, address string) (Load, error) {
	ctx, cancel := context.WithTimeout(ctx, c.limits.Headers)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address+"/load", nil)
	if err != nil {
		return Load{}, ErrMalformed.Wrap(err, "address %q", address)
	}
	resp, err := c.pools.For(address).Repeatable().RoundTrip(req)
	if err != nil {
		return Load{}, ErrBroken.Wrap(err, "load report")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return Load{}, ErrStatus.New("load report: %s", resp.Status)
	}
	var load Load
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReportBytes)).Decode(&load); err != nil {
		return Load{}, ErrMalformed.Wrap(err, "load report")
	}
	return load, nil
}

package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/internal/transport"
	"github.com/poplarshore/poplarshore/refusal"
	"github.com/poplarshore/poplarshore/service"
	"github.com/poplarshore/poplarshore/upstream"
)

// serviceCall is the state of a call of a plain service, or of a completion that is
// forwarded to the older router.
type serviceCall struct {
	exchange *Exchange
	service  *service.Service
	request  *http.Request
	// path is the path at the service as it is on the request line.
	path  string
	body  []byte
	tried []upstream.ID
	// viaOldRouter reports whether the older router serves and bills the call.
	viaOldRouter bool
}

// callService serves /services/{service}/...
func (s *Server) callService(x *Exchange, w http.ResponseWriter, r *http.Request) error {
	name := r.PathValue("service")
	svc := x.Index.Service(name)
	if svc == nil {
		return refusal.New(refusal.ServiceUnknown).With("The service is %q.", name)
	}
	if !x.Client.Contract.AllowsService(name) {
		return refusal.New(refusal.ServiceNotAllowed).With("The service is %q.", name)
	}
	body, err := s.readBody(x, w, r)
	if err != nil {
		return err
	}
	call := &serviceCall{exchange: x, service: svc, request: r, path: servicePath(r), body: body}
	if err := s.selectRouter(call); err != nil {
		return err
	}
	if !call.viaOldRouter && !s.Biller.CanBill() {
		return refusal.New(refusal.BillingUnavailable)
	}
	ticket, err := s.admit(r.Context(), x, Admission{Client: x.Client, Deadline: x.Deadline})
	if err != nil {
		return err
	}
	defer ticket.Settle(Usage{})
	if svc.Repeatable(r.Method, call.path) {
		return s.callIdempotent(call, w)
	}
	return s.callNonIdempotent(call, w)
}

// callIdempotent sends the call and relays the response. It retries if an upstream
// fails before its response header arrives.
func (s *Server) callIdempotent(call *serviceCall, w http.ResponseWriter) error {
	ctx, timer := s.deadlineContext(call.request.Context(), call.exchange)
	defer timer.stop()
	state := s.retryState(call.exchange, call.service.Name, true)
	for {
		u, address, err := s.placeService(call)
		if err != nil {
			return err
		}
		resp, err := s.send(ctx, call, u, address, (*transport.Pool).Idempotent)
		if err == nil {
			return s.relayService(call, w, resp)
		}
		if ctx.Err() != nil {
			return s.contextError(ctx, call.exchange)
		}
		if err := s.waitForRetry(ctx, call.exchange, state, err); err != nil {
			return err
		}
		call.tried = append(call.tried, u.ID)
	}
}

// placeService selects an upstream of the service, or the older router, and returns it
// with its base URL. If all upstreams have been tried, it starts over with all of them.
func (s *Server) placeService(call *serviceCall) (*upstream.Upstream, string, error) {
	if err := s.checkDrain(call.exchange); err != nil {
		return nil, "", err
	}
	index, client, err := s.currentConfig(call.exchange)
	if err != nil {
		return nil, "", refusal.FromError(err).WithRan(call.exchange.ran())
	}
	if call.viaOldRouter {
		return s.oldRouter(index)
	}
	if !client.Contract.AllowsService(call.service.Name) {
		return nil, "", refusal.New(refusal.ServiceNotAllowed).WithRan(call.exchange.ran())
	}
	requirements := Requirements{Client: client, Service: call.service.Name, Tried: call.tried}
	u := s.Placement.Choose(index, requirements)
	if u == nil && len(call.tried) > 0 {
		call.tried, requirements.Tried = nil, nil
		u = s.Placement.Choose(index, requirements)
	}
	if u == nil {
		return nil, "", refusal.New(refusal.NoUpstream).WithRan(call.exchange.ran())
	}
	address, ok := s.Addresses.Address(u.ID)
	if !ok {
		return nil, "", refusal.New(refusal.NoUpstream).WithRan(call.exchange.ran()).
			With("Upstream %q has no address in the settings.", u.ID)
	}
	return u, address, nil
}

// send sends the call to one upstream and waits for the response header. transportOf
// selects the transport of the upstream's connection pool, which decides whether a
// request may be resent.
func (s *Server) send(ctx context.Context, call *serviceCall, u *upstream.Upstream, address string,
	transportOf func(*transport.Pool) http.RoundTripper) (*http.Response, error) {
	req, err := call.newUpstreamRequest(ctx, address, s.opts.Hop)
	if err != nil {
		return nil, refusal.Wrap(refusal.MalformedRequest, err)
	}
	req.Header.Set(transport.HeaderAttempt, s.NewID())
	end := s.Placement.Begin(u, Requirements{Client: call.exchange.Client, Service: call.service.Name})
	startedAt := s.Clock.Now()
	resp, err := s.roundTrip(req, transportOf(s.Pools.For(address)))
	mayHaveStarted := err == nil || mayHaveRun(err)
	call.exchange.recordMayHaveRun(mayHaveStarted)
	end(Outcome{Err: upstreamError(ctx, err), Complete: err == nil, MayHaveStarted: mayHaveStarted,
		TimeToFirstPiece: s.Clock.Since(startedAt), Duration: s.Clock.Since(startedAt)})
	s.metrics.attempts.WithLabelValues(outcomeLabel(err)).Inc()
	return resp, err
}

// roundTrip sends a request with the idle timeout ServiceIdleTimeout for the response
// header and for each read of the body. It returns errConnect or errNotStarted if the
// request certainly did not run, otherwise errSilent or errBroken.
func (s *Server) roundTrip(req *http.Request, roundTripper http.RoundTripper) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(req.Context())
	idleTimer := time.AfterFunc(s.opts.ServiceIdleTimeout,
		func() { cancel(errSilent.New("upstream sent no response header or data within the idle timeout")) })
	resp, err := roundTripper.RoundTrip(req.WithContext(ctx))
	idleTimer.Stop()
	if err != nil {
		if cause := context.Cause(ctx); errorx.IsOfType(cause, errSilent) {
			return nil, cause
		}
		cancel(nil)
		return nil, sendError(err)
	}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("X-Not-Started") != "" {
		_ = resp.Body.Close()
		cancel(nil)
		return nil, errNotStarted.New("upstream rejected the request with status 503 before running it")
	}
	resp.Body = &idleTimeoutBody{ReadCloser: resp.Body, cancel: cancel, idleTimer: idleTimer,
		idleTimeout: s.opts.ServiceIdleTimeout}
	return resp, nil
}

// idleTimeoutBody is a response body that cancels the context of its request when it is
// closed, or when a Read waits longer than idleTimeout.
type idleTimeoutBody struct {
	io.ReadCloser
	cancel      context.CancelCauseFunc
	idleTimer   *time.Timer
	idleTimeout time.Duration
}

// Read implements io.Reader.
func (b *idleTimeoutBody) Read(p []byte) (int, error) {
	b.idleTimer.Reset(b.idleTimeout)
	n, err := b.ReadCloser.Read(p)
	b.idleTimer.Stop()
	return n, err
}

// Close implements io.Closer.
func (b *idleTimeoutBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel(nil)
	return err
}

func sendError(err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return errConnect.Wrap(err, "connect to upstream")
	}
	return errBroken.Wrap(err, "send request to upstream")
}

// mayHaveRun reports whether a request that failed with err may have been run by the
// upstream.
func mayHaveRun(err error) bool {
	return errorLabel(err) != errConnect.FullName() && errorLabel(err) != errNotStarted.FullName()
}

// relayService bills the call and streams the response to the caller. Each chunk is
// flushed as it arrives.
func (s *Server) relayService(call *serviceCall, w http.ResponseWriter, resp *http.Response) error {
	defer func() { _ = resp.Body.Close() }()
	copyResponseHeaders(w.Header(), resp.Header)
	if resp.ContentLength >= 0 {
		w.Header().Set("Content-Length", resp.Header.Get("Content-Length"))
	}
	if err := s.billService(call, call.exchange.ID); err != nil {
		return err
	}
	w.WriteHeader(resp.StatusCode)
	buf := make([]byte, 32<<10)
	controller := http.NewResponseController(w)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			if _, writeErr := w.Write(buf[:n]); writeErr != nil {
				return refusal.Wrap(refusal.CallerGone, writeErr)
			}
			_ = controller.Flush()
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return refusal.Wrap(refusal.AnswerCut, err)
		}
	}
}

// billService bills a service call under the request id, unless the older router bills
// it.
func (s *Server) billService(call *serviceCall, requestID string) error {
	if call.viaOldRouter {
		return nil
	}
	ctx, cancel := context.WithTimeout(s.stop.recording, s.opts.BillTimeout)
	defer cancel()
	err := s.Biller.Bill(ctx, Bill{RequestID: requestID, Account: call.exchange.Client.Account,
		Service: call.service.Name})
	if err != nil {
		return refusal.Wrap(refusal.BillingUnavailable, err).WithRan(call.exchange.ran())
	}
	return nil
}

// newUpstreamRequest returns the request for the upstream with the base URL address.
// hop identifies this router in the Poplarshore-Hop header.
func (c *serviceCall) newUpstreamRequest(ctx context.Context, address, hop string) (*http.Request, error) {
	base, err := url.Parse(address)
	if err != nil {
		return nil, errAddress.Wrap(err, "parse upstream address %q", address)
	}
	req, err := http.NewRequestWithContext(ctx, c.request.Method, address, bytes.NewReader(c.body))
	if err != nil {
		return nil, errAddress.Wrap(err, "create request to upstream address %q", address)
	}
	req.URL = withPath(base, c.upstreamPath(), c.request.URL)
	if len(c.body) == 0 {
		req.Body = http.NoBody
	}
	req.GetBody = nil
	copyRequestHeaders(req.Header, c.request.Header, c.service.IdempotencyHeader())
	if c.viaOldRouter {
		req.Header.Set("Authorization", c.request.Header.Get("Authorization"))
	}
	req.Header.Set(headerRequestID, c.exchange.ID)
	req.Header.Set(headerHop, hop)
	return req, nil
}

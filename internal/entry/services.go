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

// serviceCall is a call of a plain service in work.
type serviceCall struct {
	x       *Exchange
	service *service.Service
	request *http.Request
	path    string
	body    []byte
	tried   []upstream.ID
	// passed tells that the older router serves and bills the call.
	passed bool
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
	body, err := s.readBody(w, r)
	if err != nil {
		return err
	}
	call := &serviceCall{x: x, service: svc, request: r, path: "/" + r.PathValue("path"), body: body}
	if err := s.decideSide(call); err != nil {
		return err
	}
	if !call.passed && !s.Biller.Open() {
		return refusal.New(refusal.BillingUnavailable)
	}
	ticket, err := s.Limits.Admit(r.Context(), Admission{Client: x.Client, Deadline: x.Deadline})
	if err != nil {
		return s.admitError(r.Context(), x, err)
	}
	defer ticket.Settle(Use{})
	if svc.Repeatable(r.Method, call.path) {
		return s.callRepeatable(call, w)
	}
	return s.callOnce(call, w)
}

// callRepeatable sends the call, again where an upstream fails before its
// answer began.
func (s *Server) callRepeatable(call *serviceCall, w http.ResponseWriter) error {
	ctx, release := s.deadlineContext(call.request.Context(), call.x)
	defer release.stop()
	state := s.retryState(call.x, call.service.Name, true)
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
			return s.contextError(ctx, call.x)
		}
		if err := s.retry(ctx, call.x, state, err); err != nil {
			return err
		}
		call.tried = append(call.tried, u.ID)
	}
}

// placeService chooses an upstream of the service.
func (s *Server) placeService(call *serviceCall) (*upstream.Upstream, string, error) {
	x, client, err := s.current(call.x)
	if err != nil {
		return nil, "", refusal.FromError(err).WithRan(call.x.ran())
	}
	if call.passed {
		return s.oldRouter(x)
	}
	if !client.Contract.AllowsService(call.service.Name) {
		return nil, "", refusal.New(refusal.ServiceNotAllowed).WithRan(call.x.ran())
	}
	want := Want{Client: client, Service: call.service.Name, Tried: call.tried}
	u := s.Placement.Choose(x, want)
	if u == nil && len(call.tried) > 0 {
		call.tried, want.Tried = nil, nil
		u = s.Placement.Choose(x, want)
	}
	if u == nil {
		return nil, "", refusal.New(refusal.NoUpstream).WithRan(call.x.ran())
	}
	address, ok := s.Addresses.Address(u.ID)
	if !ok {
		return nil, "", refusal.New(refusal.NoUpstream).WithRan(call.x.ran()).With("Upstream %q has no address in the settings.", u.ID)
	}
	return u, address, nil
}

// send sends the call to one upstream and waits for the answer's headers.
func (s *Server) send(ctx context.Context, call *serviceCall, u *upstream.Upstream, address string, via func(*transport.Pool) http.RoundTripper) (*http.Response, error) {
	req, err := call.outbound(ctx, address, s.opts.Hop)
	if err != nil {
		return nil, refusal.Wrap(refusal.MalformedRequest, err)
	}
	req.Header.Set("X-Attempt-Id", s.NewID())
	end := s.Placement.Begin(u, Want{Client: call.x.Client, Service: call.service.Name})
	began := s.Clock.Now()
	resp, err := s.roundTrip(req, via(s.Pools.For(address)))
	ran := err == nil || sent(err)
	call.x.noteRun(ran)
	end(Outcome{Err: blame(ctx, err), Whole: err == nil, Begun: ran, FirstPiece: s.Clock.Since(began), Duration: s.Clock.Since(began)})
	s.metrics.attempts.WithLabelValues(outcomeLabel(err)).Inc()
	return resp, err
}

// roundTrip sends a request under the limit on each wait, and tells apart what
// certainly did not run.
func (s *Server) roundTrip(req *http.Request, via http.RoundTripper) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(req.Context())
	quiet := time.AfterFunc(s.opts.ServiceIdle, func() { cancel(errSilent.New("nothing came in time")) })
	resp, err := via.RoundTrip(req.WithContext(ctx))
	quiet.Stop()
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
		return nil, errNotStarted.New("upstream refused before it started")
	}
	resp.Body = &cancelBody{ReadCloser: resp.Body, cancel: cancel, quiet: quiet, idle: s.opts.ServiceIdle}
	return resp, nil
}

// cancelBody ends the request's context with the body, and when nothing came
// for too long.
type cancelBody struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
	quiet  *time.Timer
	idle   time.Duration
}

// Read implements io.Reader.
func (b *cancelBody) Read(p []byte) (int, error) {
	b.quiet.Reset(b.idle)
	n, err := b.ReadCloser.Read(p)
	b.quiet.Stop()
	return n, err
}

// Close implements io.Closer.
func (b *cancelBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel(nil)
	return err
}

func sendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errConnect.Wrap(err, "connect")
	}
	return errBroken.Wrap(err, "send")
}

// sent tells whether anything of the request may have reached the upstream and
// been run there.
func sent(err error) bool {
	return errorLabel(err) != errConnect.FullName() && errorLabel(err) != errNotStarted.FullName()
}

// relayService passes a service's answer on as it comes.
func (s *Server) relayService(call *serviceCall, w http.ResponseWriter, resp *http.Response) error {
	defer func() { _ = resp.Body.Close() }()
	copyAnswerHeaders(w.Header(), resp.Header)
	if resp.ContentLength >= 0 {
		w.Header().Set("Content-Length", resp.Header.Get("Content-Length"))
	}
	if err := s.billService(call, call.x.ID); err != nil {
		return err
	}
	w.WriteHeader(resp.StatusCode)
	buf := make([]byte, 32<<10)
	ctl := http.NewResponseController(w)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				return refusal.Wrap(refusal.CallerGone, werr)
			}
			_ = ctl.Flush()
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return refusal.Wrap(refusal.AnswerCut, err)
		}
	}
}

// billService keeps the record of a service call.
func (s *Server) billService(call *serviceCall, id string) error {
	if call.passed {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.opts.BillTimeout)
	defer cancel()
	err := s.Biller.Bill(ctx, Bill{RequestID: id, Account: call.x.Client.Account, Service: call.service.Name})
	if err != nil {
		return refusal.Wrap(refusal.BillingUnavailable, err).WithRan(call.x.ran())
	}
	return nil
}

// outbound builds the request for an upstream at address.
func (c *serviceCall) outbound(ctx context.Context, address, hop string) (*http.Request, error) {
	base, err := url.Parse(address)
	if err != nil {
		return nil, errAddress.Wrap(err, "address %q", address)
	}
	target := base.JoinPath(c.upstreamPath())
	target.RawQuery = c.request.URL.RawQuery
	req, err := http.NewRequestWithContext(ctx, c.request.Method, target.String(), bytes.NewReader(c.body))
	if err != nil {
		return nil, errAddress.Wrap(err, "request to %q", address)
	}
	if len(c.body) == 0 {
		req.Body = http.NoBody
	}
	req.GetBody = nil
	copyCallHeaders(req.Header, c.request.Header, c.service.IdempotencyHeader())
	if c.passed {
		req.Header.Set("Authorization", c.request.Header.Get("Authorization"))
	}
	req.Header.Set(headerRequestID, c.x.ID)
	req.Header.Set(headerHop, hop)
	return req, nil
}

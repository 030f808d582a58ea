package entry

import (
	"net/http"

	"github.com/poplarshore/poplarshore/document"
	"github.com/poplarshore/poplarshore/internal/transport"
	"github.com/poplarshore/poplarshore/refusal"
	"github.com/poplarshore/poplarshore/service"
	"github.com/poplarshore/poplarshore/takeover"
	"github.com/poplarshore/poplarshore/upstream"
)

// servedByOldRouter reports whether the older router serves the completion. A session
// stays on the router where it was started.
func (s *Server) servedByOldRouter(c *completion, r *http.Request) bool {
	if c.inSession && r.Header.Get(headerSession) != newSession {
		return c.pins.OnOldRouter
	}
	return !c.exchange.Index.Doc.Takeover.Serves(takeover.Request{
		Account: c.exchange.Client.Account, Model: c.request.Model, Region: s.opts.Region, Key: c.takeoverKey(),
	})
}

// takeoverKey returns the key that selects the router: the end user outside of
// sessions, if the caller names one, so that all requests of a user go to the same
// router; otherwise the key of the session or the request.
func (c *completion) takeoverKey() string {
	if !c.inSession && c.request.User != "" {
		return c.request.User
	}
	return c.sessionKey()
}

// selectRouter decides whether this system or the older router serves a service call.
// Non-idempotent calls with a key are claimed in both cases, so that a key that was
// used here before a change of the takeover rules is not run again after it. Keys that
// only the older router has seen are protected by the quiet period after the change,
// during which such calls are refused.
func (s *Server) selectRouter(call *serviceCall) error {
	config := call.exchange.Index.Doc.Takeover
	key := call.request.Header.Get(call.service.IdempotencyHeader())
	if key == "" {
		key = call.exchange.ID
	}
	call.viaOldRouter = !config.Serves(takeover.Request{
		Account: call.exchange.Client.Account, Service: call.service.Name, Region: s.opts.Region, Key: key,
	})
	if call.viaOldRouter || call.service.Repeatable(call.request.Method, call.path) {
		return nil
	}
	if timeLeft := config.QuietTimeLeft(s.Clock.Now()); timeLeft > 0 && config.OldRouter != "" {
		return refusal.New(refusal.TakeoverQuiet).WithRetryAfter(timeLeft)
	}
	return nil
}

// oldRouter returns the older router and its base URL.
func (s *Server) oldRouter(index *document.Index) (*upstream.Upstream, string, error) {
	u := index.Upstream(index.Doc.Takeover.OldRouter)
	if u == nil {
		return nil, "", refusal.New(refusal.NoUpstream).With("The older router is not declared.")
	}
	address, ok := s.Addresses.Address(u.ID)
	if !ok {
		return nil, "", refusal.New(refusal.NoUpstream).With("The older router has no address in the settings.")
	}
	return u, address, nil
}

// upstreamPath returns the path of the call at its upstream. The older router gets the
// path of the original request.
func (c *serviceCall) upstreamPath() string {
	if c.viaOldRouter {
		return rawPath(c.request)
	}
	return c.path
}

// forwardToOldRouter forwards the unchanged request to the older router and relays its
// answer. The older router bills it.
func (s *Server) forwardToOldRouter(c *completion, r *http.Request, body []byte) error {
	call := &serviceCall{exchange: c.exchange, service: &service.Service{}, request: r, body: body, viaOldRouter: true}
	if err := s.checkDrain(c.exchange); err != nil {
		return err
	}
	u, address, err := s.oldRouter(c.exchange.Index)
	if err != nil {
		return err
	}
	ctx, timer := s.deadlineContext(r.Context(), c.exchange)
	defer timer.stop()
	resp, err := s.send(ctx, call, u, address, (*transport.Pool).Idempotent)
	if err != nil {
		if ctx.Err() != nil {
			return s.contextError(ctx, c.exchange)
		}
		return refusal.Wrap(exhaustedReason(c.exchange), err).WithRan(c.exchange.ran())
	}
	if c.request.Stream {
		timer.stop()
	}
	if c.inSession {
		c.pins.OnOldRouter = true
		if token, err := s.Sessions.Sign(c.exchange.Index, c.exchange.Client.Account, c.pins); err == nil {
			c.w.Header().Set(headerSession, token)
		}
	}
	return s.relayService(call, c.w, resp)
}

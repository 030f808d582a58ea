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

// passes tells whether the older router serves the completion. A session stays
// on the side where it was begun.
func (s *Server) passes(c *completion, r *http.Request) bool {
	if c.inSession && r.Header.Get(headerSession) != newSession {
		return c.pins.Old
	}
	return !c.x.Index.Doc.Takeover.Taken(takeover.Request{
		Account: c.x.Client.Account, Model: c.request.Model, Region: s.opts.Region, Key: c.takeoverKey(),
	})
}

// takeoverKey keeps one end user on one side where the caller names it.
func (c *completion) takeoverKey() string {
	if !c.inSession && c.request.User != "" {
		return c.request.User
	}
	return c.sessionKey()
}

// decideSide decides which router serves a service call. Calls that run at
// most once are claimed on both sides, so that a key seen here before a move
// is not run again after it; keys that only the older router has seen are
// covered by the quiet time.
func (s *Server) decideSide(call *serviceCall) error {
	config := call.x.Index.Doc.Takeover
	key := call.request.Header.Get(call.service.IdempotencyHeader())
	if key == "" {
		key = call.x.ID
	}
	call.passed = !config.Taken(takeover.Request{
		Account: call.x.Client.Account, Service: call.service.Name, Region: s.opts.Region, Key: key,
	})
	if call.passed || call.service.Repeatable(call.request.Method, call.path) {
		return nil
	}
	if left := config.Quiet(s.Clock.Now()); left > 0 && config.OldRouter != "" {
		return refusal.New(refusal.TakeoverQuiet).WithRetryAfter(left)
	}
	return nil
}

// oldRouter returns the older router and its address.
func (s *Server) oldRouter(x *document.Index) (*upstream.Upstream, string, error) {
	u := x.Upstream(x.Doc.Takeover.OldRouter)
	if u == nil {
		return nil, "", refusal.New(refusal.NoUpstream).With("The older router is not declared.")
	}
	address, ok := s.Addresses.Address(u.ID)
	if !ok {
		return nil, "", refusal.New(refusal.NoUpstream).With("The older router has no address in the settings.")
	}
	return u, address, nil
}

// upstreamPath is the path of the call as its upstream knows it.
func (c *serviceCall) upstreamPath() string {
	if c.passed {
		return c.request.URL.Path
	}
	return c.path
}

// passCompletion hands the request to the older router as it came, and its
// answer back. The older router bills it.
func (s *Server) passCompletion(c *completion, r *http.Request, body []byte) error {
	call := &serviceCall{x: c.x, service: &service.Service{}, request: r, body: body, passed: true}
	u, address, err := s.oldRouter(c.x.Index)
	if err != nil {
		return err
	}
	ctx, release := s.deadlineContext(r.Context(), c.x)
	defer release.stop()
	resp, err := s.send(ctx, call, u, address, (*transport.Pool).Idempotent)
	if err != nil {
		if ctx.Err() != nil {
			return s.contextError(ctx, c.x)
		}
		return refusal.Wrap(exhausted(c.x), err).WithRan(c.x.ran())
	}
	release.stop()
	if c.inSession {
		c.pins.Old = true
		if token, err := s.Sessions.Sign(c.x.Index, c.x.Client.Account, c.pins); err == nil {
			c.w.Header().Set(headerSession, token)
		}
	}
	return s.relayService(call, c.w, resp)
}

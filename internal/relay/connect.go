package relay

import (
	"context"
	"slices"
	"time"

	"github.com/poplarshore/poplarshore/internal/engines"
	"github.com/poplarshore/poplarshore/reachability"
	"github.com/poplarshore/poplarshore/upstream"
)

const (
	// connectPoll is the interval at which it is decided again whether an attempt is given up while a connection to
	// the upstream of the next one is opened.
	connectPoll = 20 * time.Millisecond
	// connectedFor is the time after the connection was opened in which the attempt may be given up for that upstream.
	// It is shorter than the time for which the connection is kept.
	connectedFor = time.Second
)

// replacement is the search for an upstream that takes the request in place of a running attempt. That an upstream is
// not known as unreached doesn't show that it takes a connection.
type replacement struct {
	// opening is the connection to the upstream that is considered; nil for none.
	opening *openingConn
	// pending reports whether the last decision waits for that connection.
	pending bool
	// unconnected holds the upstreams that took no connection since all were considered last.
	unconnected []upstream.ID
	// ownChecked reports whether a connection to the attempt's own upstream was opened, or failed.
	ownChecked bool
}

// poll returns the time until it is decided again whether the attempt is given up.
func (r *replacement) poll() time.Duration {
	if r.pending {
		return connectPoll
	}
	return silencePoll
}

// openingConn is a connection that is opened to an upstream and then kept for the next request. err and endedAt are
// valid once done is closed.
type openingConn struct {
	engine  *engines.Engine
	done    chan struct{}
	err     error
	endedAt time.Time
}

// openConn begins to open a connection, and records whether the upstream took it. It goes on if the attempt ends
// meanwhile: the connection and the contact serve other requests as well.
func (a *attempt) openConn(e *engines.Engine) *openingConn {
	s, service := a.exchange.server, a.exchange.service
	c := &openingConn{engine: e, done: make(chan struct{})}
	go func() {
		defer close(c.done)
		contact := reachability.Connected
		if c.err = s.Pool.Connect(context.Background(), e.Address()); c.err != nil {
			contact = reachability.NotConnected
		}
		c.endedAt = s.Clock.Now()
		s.Reach.Record(service, e.ID(), contact)
	}()
	return c
}

// ended reports whether the connection has been opened, or has failed.
func (c *openingConn) ended() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// chooseConnected selects an upstream that suits and to which a connection is kept that works, or has just been
// opened, as the next attempt needs one. While there is none it returns nil and opens a connection to the best one.
func (a *attempt) chooseConnected(req engines.Requirements, suits func(*engines.Choice) bool) *engines.Choice {
	r, placement := &a.replacement, a.exchange.server.Placement
	if r.pending = r.opening != nil && !r.opening.ended(); r.pending {
		return nil
	}
	if choice := a.chooseOpened(req, suits); choice != nil {
		return choice
	}
	req.Tried = slices.Concat(req.Tried, r.unconnected)
	choice := placement.Choose(req)
	if choice.Engine == nil || !suits(&choice) {
		// All are considered again next time.
		r.unconnected = nil
		return nil
	}
	if a.isConnected(choice.Engine) {
		return &choice
	}
	r.opening, r.pending = a.openConn(choice.Engine), true
	return nil
}

// chooseOpened selects the upstream to which a connection was opened, if it still suits, and drops that connection
// from the search otherwise.
func (a *attempt) chooseOpened(req engines.Requirements, suits func(*engines.Choice) bool) *engines.Choice {
	r, s := &a.replacement, a.exchange.server
	opened := r.opening
	r.opening = nil
	switch {
	case opened == nil:
		return nil
	case opened.err != nil:
		r.unconnected = append(r.unconnected, opened.engine.ID())
		a.checkOwn()
		return nil
	case s.Clock.Since(opened.endedAt) >= connectedFor:
		return nil
	}
	req.Only = []upstream.ID{opened.engine.ID()}
	choice := s.Placement.Choose(req)
	if choice.Engine != opened.engine || !suits(&choice) {
		return nil
	}
	r.opening = opened
	return &choice
}

// isConnected reports whether a connection to another upstream is kept, and something came from it since this attempt
// fell silent.
func (a *attempt) isConnected(e *engines.Engine) bool {
	return e.SinceLastReceived() < a.sinceReceived() && a.exchange.server.Pool.HasIdle(e.Address())
}

// checkOwn opens a connection to the attempt's own upstream, once, after another one took none: the way to the upstreams
// may be lost, and another VM is asked only if it is lost to this one as well.
func (a *attempt) checkOwn() {
	if a.replacement.ownChecked {
		return
	}
	a.replacement.ownChecked = true
	a.openConn(a.engine)
}

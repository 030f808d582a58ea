package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/internal/peerrelay"
	"github.com/poplarshore/poplarshore/internal/upconn"
	"github.com/poplarshore/poplarshore/refusal"
	"github.com/poplarshore/poplarshore/vm"
)

// peerRefusedError reports that another VM did not relay the request, which has not run there,
// and that a further one may.
type peerRefusedError struct {
	// reason is that of the VM, empty if it gave none that is known.
	reason refusal.Reason
	status int
}

// Error implements error.
func (e *peerRefusedError) Error() string {
	return fmt.Sprintf("another VM did not relay the request: status %d, %q", e.status, e.reason)
}

// isForOthers reports whether an attempt through another VM failed in a way that leaves the
// request to a further VM: it has not run.
func isForOthers(err error) bool {
	var refused *peerRefusedError
	return errorx.IsOfType(err, upconn.ErrNotSent) || errors.As(err, &refused)
}

// mayHaveRunAtPeer reports whether the request may have run after an attempt through another
// VM. The status of a refusal may state that it has not.
func mayHaveRunAtPeer(err error) bool {
	var refused *refusal.Refusal
	if errors.As(err, &refused) && refusal.StatesNotRun(refused.Status) {
		return false
	}
	return !isForOthers(err)
}

const (
	// maxPeersAsked is the number of VMs that are asked to relay a request.
	maxPeersAsked = 3
	// A request is relayed once maxNotConnected attempts found no connection, or one of them
	// waited for it in vain and nothing comes from other upstreams, even if the way to the
	// service does not count as lost.
	maxNotConnected = 2
	// maxNotRunIfScarce replaces maxNotRun while the way to the service is lost, if its
	// upstreams must not be filled, and for requests of other VMs.
	maxNotRunIfScarce = 1
)

// mayAskPeers reports whether other VMs may be asked to relay the request: once, and not
// for one that this VM relays itself.
func (x *exchange) mayAskPeers() bool {
	return x.hop == nil && !x.peersAsked && x.attemptsLeft() >= 1 && !x.olderBuildsTakeOtherRoute()
}

// olderBuildsTakeOtherRoute reports whether builds that match the decoded path would take another route than
// this one, and might run a request again that may run once only. No VM is asked to relay such a request.
func (x *exchange) olderBuildsTakeOtherRoute() bool {
	if !strings.Contains(x.request.Path, "%") {
		return false
	}
	decoded, err := url.PathUnescape(x.request.Path)
	return err != nil || x.table.Match(x.request.Host, decoded) != x.route
}

// shouldAskPeers reports whether other VMs are to be asked to relay the request. They are not while an
// upstream has been chosen that is reached.
func (x *exchange) shouldAskPeers() bool {
	if !x.mayAskPeers() || x.successor.choice != nil {
		return false
	}
	status := x.server.Reach.Status(x.service)
	return status.CutOff || x.notConnected >= maxNotConnected || x.connectTimedOut && status.Quiet
}

// attemptsLeft returns how many further attempts the request may have.
func (x *exchange) attemptsLeft() int { return x.retryState.MaxAttempts - x.retryState.Attempts }

// askPeers asks other VMs to relay the request until one does. It returns false if none did:
// the request has not run there and is not going to. Otherwise the error is the result of
// the exchange; nil means that a response has been sent.
func (x *exchange) askPeers(ctx context.Context) (bool, error) {
	x.peersAsked = true
	var tried []vm.ID
	for range maxPeersAsked {
		if refused := x.refuseUnfinishable(); refused != nil {
			return true, x.fail(refused)
		}
		peer, ok := x.server.Peers.Choose(x.service, x.regions(), tried)
		if !ok {
			x.server.Metrics.peerAttempts.WithLabelValues("no_peer").Inc()
			return false, nil
		}
		tried = append(tried, peer.ID)
		err := x.askPeer(ctx, peer)
		if err == nil {
			return true, nil
		}
		if ended, endErr := x.ended(ctx); ended {
			return true, endErr
		}
		if !isForOthers(err) {
			return true, x.peerFailure(err)
		}
		if wasRejectedThere(err) && !x.server.Retry.AllowRepeat(&x.retryState, x.server.Clock.Now()) {
			return false, nil
		}
	}
	return false, nil
}

// wasRejectedThere reports whether another VM sent the request to upstreams, which rejected it.
func wasRejectedThere(err error) bool {
	var refused *peerRefusedError
	return errors.As(err, &refused) && refused.reason == refusal.RetriesExhausted
}

// peerFailure returns the result of the exchange after a VM that was asked failed.
func (x *exchange) peerFailure(err error) error {
	var refused *refusal.Refusal
	if errors.As(err, &refused) {
		if refused.Reason == refusal.CallerGone {
			return err
		}
		return x.fail(refused)
	}
	return x.fail(refusal.Wrap(refusal.UpstreamFailed, err))
}

// askPeer asks a VM to relay the request, and forwards its response. Errors: ErrNotSent if
// the request has not run there, a refusal, and those of upconn.
func (x *exchange) askPeer(ctx context.Context, peer *peerrelay.Peer) error {
	s := x.server
	startedAt := s.Clock.Now()
	left := x.attemptsLeft()
	// The first attempt is counted once, where the first one is made.
	moves := x.firstCounted && x.retryState.Attempts == 0
	err := x.exchangeWithPeer(ctx, peer, !moves)
	if moves && !refusedBeforeAttempts(err) {
		s.Retry.Withdraw(&x.retryState, s.Clock.Now())
		x.firstCounted = false
	}
	if err != nil && mayHaveRunAtPeer(err) {
		// How many attempts the VM made is not known.
		x.retryState.Attempts += left
	}
	if err == nil && x.succeeded() {
		x.observeDuration(s.Clock.Since(startedAt), x.events)
	}
	peer.End(peerResult(ctx, err))
	x.logPeerAttempt(ctx, peer, err, startedAt)
	return err
}

// refusedBeforeAttempts reports whether an attempt through another VM failed before that VM counted the request.
func refusedBeforeAttempts(err error) bool {
	var refused *peerRefusedError
	if !errors.As(err, &refused) {
		return errorx.IsOfType(err, upconn.ErrNotSent)
	}
	switch refused.reason {
	case "", refusal.PeerBusy, refusal.PeerBehind, refusal.OutOfReach, refusal.Draining, refusal.ConfigurationStale:
		return true
	}
	return false
}

// exchangeWithPeer sends the request to a VM and forwards its response. firstCounted reports whether the first attempt of
// the request stays counted here.
func (x *exchange) exchangeWithPeer(ctx context.Context, peer *peerrelay.Peer, firstCounted bool) error {
	s := x.server
	header := s.Protocol.PeerHeader(x.attemptThroughPeer())
	peerRequest{
		from: s.VM, attemptsLeft: x.attemptsLeft(), config: x.requiredConfig(),
		keepsConfig: peer.KeepsConfigs, admittedBy: x.table.Version(), age: s.Clock.Since(x.startedAt),
		firstCounted: firstCounted,
	}.addTo(header)
	resp, err := s.PeerPool.Do(ctx, upconn.Call{
		Address: peer.Address,
		Request: upconn.Request{
			Method: x.request.Method, Target: x.request.Target, Host: x.request.Host, Header: header, Body: x.body,
		},
		Withdrawn:     func() bool { return x.refuseUnfinishable() != nil },
		ID:            x.request.ID,
		ResponseID:    x.peerResponseID,
		HeaderTimeout: max(x.timeLeft(), minWait),
	})
	if err != nil {
		return err
	}
	defer resp.Close()
	if refused := x.refusalOf(resp); refused != nil {
		return refused
	}
	if !x.mayForward(resp.Status) {
		// An older build passes on what its upstream sent.
		return refusal.New(refusal.UpstreamFailed).With("VM %s passed on status %d, which states that the request has not run.", peer.ID, resp.Status)
	}
	if x.headerSent && !x.continuesStream(resp) {
		return upconn.ErrBroken.New("expected an event stream to resume from VM %s, got status %d", peer.ID, resp.Status)
	}
	if isEventStream(resp.Header) {
		return x.forwardPeerStream(resp, peer.ID)
	}
	body, err := x.readWhole(resp, x.reserveForPeer(peer.ID), "VM "+string(peer.ID), nil)
	if err != nil {
		return err
	}
	x.keepUntilEnd(body)
	return body.writeTo(x)
}

// peerResponseID returns the ID of the request that a response of another VM answers. Refusals of
// older builds name none. A VM writes each of its refusals once, so that one is the answer.
func (x *exchange) peerResponseID(h http.Header) string {
	if id := x.server.Protocol.ResponseID(h); id != "" || h.Get(headerRefusal) == "" {
		return id
	}
	return x.request.ID
}

// attemptThroughPeer describes the attempt for the header sent to another VM. A stream that
// the caller has a part of goes on with the same model.
func (x *exchange) attemptThroughPeer() UpstreamAttempt {
	a := UpstreamAttempt{Request: x.request, LastEvent: x.lastEvent, TimeLeft: x.timeLeft()}
	if x.headerSent {
		a.Model = x.model()
	}
	return a
}

// refusalOf returns the refusal that a response of another VM states, or nil. It is a
// peerRefusedError if a further VM may serve the request.
func (x *exchange) refusalOf(resp *upconn.Response) error {
	reason := refusal.Reason(resp.Header.Get(headerRefusal))
	switch {
	case reason == "":
		return nil
	case reason == refusedAtDoor, !refusal.Known(reason) && resp.Status == http.StatusServiceUnavailable:
		return &peerRefusedError{status: resp.Status}
	case !refusal.Known(reason):
		// A newer build has more reasons. Without a status that promises it, the request may have run.
		return refusal.New(refusal.UpstreamFailed).With("The VM that was asked to relay the request refused it: %s.", reason)
	}
	refused := refusal.New(reason).With("The VM that was asked to relay the request refused it.")
	// The VM knows whether the request ran, and answers with another status than usual then.
	refused.Status = resp.Status
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		refused = refused.WithRetryAfter(time.Duration(seconds * float64(time.Second)))
	}
	if resp.Status == http.StatusServiceUnavailable && !isFinalFor(reason) {
		return &peerRefusedError{reason: reason, status: resp.Status}
	}
	return refused
}

// isFinalFor reports whether every VM would refuse a request for the reason.
func isFinalFor(reason refusal.Reason) bool {
	switch reason {
	case refusal.Quarantined, refusal.Overloaded, refusal.UpstreamsPaused, refusal.UpstreamsLimited, refusal.UpstreamsFull,
		refusal.UpstreamsEvacuated, refusal.UpstreamsCold:
		return true
	}
	return false
}

// peerResult returns what the end of an attempt says about the VM that was asked.
func peerResult(ctx context.Context, err error) peerrelay.Result {
	var refused *refusal.Refusal
	var elsewhere *peerRefusedError
	switch {
	case err == nil:
		return peerrelay.Relayed
	case errors.As(err, &elsewhere):
		return resultOfRefusal(elsewhere.reason)
	case errors.As(err, &refused):
		return peerrelay.Inconclusive
	case ctx.Err() != nil, errorx.IsOfType(err, errNoMemory):
		return peerrelay.Inconclusive
	}
	return peerrelay.Unavailable
}

// resultOfRefusal returns what a refusal says about the VM that refused.
func resultOfRefusal(reason refusal.Reason) peerrelay.Result {
	switch {
	case reason == refusal.OutOfReach, reason == refusal.RetriesExhausted, reason == refusal.NoUpstream,
		reason == refusal.NoUpstreamInRegion:
		return peerrelay.RefusedService
	case reason == refusal.PeerBusy, reason == refusal.PeerBehind, reason == refusal.Draining, reason == refusal.ConfigurationStale, reason == "":
		return peerrelay.Unavailable
	}
	return peerrelay.Inconclusive
}

// forwardPeerStream forwards complete events of a stream of another VM as they arrive.
func (x *exchange) forwardPeerStream(resp *upconn.Response, peer vm.ID) error {
	pending := newEventBuffer(x.reserveForPeer(peer))
	defer pending.release()
	sender := "VM " + string(peer)
	buf := make([]byte, streamBufferBytes)
	for events := 0; ; {
		n, err := resp.Read(buf, max(x.timeLeft(), minWait), nil)
		if keepErr := pending.append(buf[:n]); keepErr != nil {
			return keepError(keepErr, sender)
		}
		for event := pending.next(events > 0); event != nil; event = pending.next(events > 0) {
			if forwardErr := x.forwardEvent(resp, event, sender); forwardErr != nil {
				return forwardErr
			}
			if !isComment(event) {
				events++
			}
		}
		pending.compact()
		switch {
		case err == nil:
			continue
		case !errors.Is(err, io.EOF) || resp.EndsWithConnection():
			return upconn.ErrConnectionLost.Wrap(err, "stream of another VM ended early")
		}
		return x.endStream(resp, pending, events, sender)
	}
}

// logPeerAttempt counts an attempt through another VM and appends it to the log of the
// exchange.
func (x *exchange) logPeerAttempt(ctx context.Context, peer *peerrelay.Peer, err error, startedAt time.Time) {
	outcome := x.outcomeOf(ctx, err)
	x.server.Metrics.peerAttempts.WithLabelValues(outcome).Inc()
	x.attemptLog = append(x.attemptLog, attemptRecord{
		VM: string(peer.ID), Outcome: outcome, At: startedAt.Sub(x.startedAt).Milliseconds(),
		MS: x.server.Clock.Since(startedAt).Milliseconds(),
	})
}

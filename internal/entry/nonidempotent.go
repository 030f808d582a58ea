package entry

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/coord/once"
	"github.com/poplarshore/poplarshore/internal/httphead"
	"github.com/poplarshore/poplarshore/internal/membudget"
	"github.com/poplarshore/poplarshore/internal/transport"
	"github.com/poplarshore/poplarshore/refusal"
	"github.com/poplarshore/poplarshore/upstream"
)

// maxStoredBodyBytes is the largest body of a response that is stored with a claim. If
// it is larger, later requests with the key are refused because the outcome is unknown.
const maxStoredBodyBytes = 128 << 10

// claimWriteTimeout limits a write that records how a claimed call ended.
const claimWriteTimeout = 5 * time.Second

// maxNonIdempotentTime limits the duration of a non-idempotent call. It is shorter than
// the time after which the outcome of a claim without result is considered unknown.
const maxNonIdempotentTime = 100 * time.Second

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// storedResponse is the response of a non-idempotent call, as stored with its claim.
type storedResponse struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body,omitempty"`
	// Request is the id of the request that ran the call.
	Request string `json:"request"`
	// Oversize reports whether the body was too large to be stored.
	Oversize bool `json:"oversize,omitempty"`
}

// callNonIdempotent serves a call that must run at most once. The idempotency key, if
// there is one, is claimed before the call is sent. Without a key every request is a
// new call, which this VM sends once.
func (s *Server) callNonIdempotent(call *serviceCall, w http.ResponseWriter) error {
	call.exchange.Deadline = earlier(call.exchange.Deadline, s.Clock.Now().Add(maxNonIdempotentTime))
	keys := call.request.Header.Values(call.service.IdempotencyHeader())
	if len(keys) > 1 || (len(keys) == 1 && keys[0] == "") {
		return refusal.New(refusal.KeyInvalid)
	}
	if len(keys) == 0 {
		return s.sendAtMostOnce(call, w, nil)
	}
	key := once.Key{Account: string(call.exchange.Client.Account), ID: call.service.Name + "/" + keys[0]}
	if err := s.checkDrain(call.exchange); err != nil {
		return err
	}
	ctx := call.request.Context()
	// A claim whose write is cancelled would keep the key in use though the call is never sent.
	outcome, err := s.Claims.Claim(context.WithoutCancel(ctx), key, call.fingerprint())
	if err != nil {
		return s.claimError(err)
	}
	s.metrics.claims.WithLabelValues(outcome.Status.String()).Inc()
	switch outcome.Status {
	case once.Claimed:
		if ctx.Err() != nil {
			s.abandonClaim(outcome.Claim)
			return s.contextError(ctx, call.exchange)
		}
		return s.sendAtMostOnce(call, w, outcome.Claim)
	case once.Done:
		return s.sendStored(call, w, outcome.Result)
	case once.InProgress:
		return refusal.New(refusal.KeyInProgress)
	default:
		return refusal.New(refusal.OutcomeUnknown)
	}
}

func (s *Server) claimError(err error) error {
	switch {
	case errorx.IsOfType(err, once.ErrFingerprintMismatch):
		return refusal.Wrap(refusal.KeyReused, err)
	case errorx.IsOfType(err, once.ErrInvalidKey):
		return refusal.Wrap(refusal.KeyInvalid, err)
	default:
		return refusal.Wrap(refusal.ClaimsUnavailable, err)
	}
}

// fingerprint returns a hash of the method, path, query, content type and body. It
// detects the reuse of an idempotency key for a different request.
func (c *serviceCall) fingerprint() string {
	h := sha256.New()
	for _, part := range []string{c.request.Method, fingerprintPath(c.path), c.request.URL.RawQuery, c.request.Header.Get("Content-Type")} {
		_, _ = io.WriteString(h, part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(c.body)
	return hex.EncodeToString(h.Sum(nil))
}

// sendAtMostOnce sends the call. It retries on another upstream only if it is certain
// that no upstream has run the call. The call continues if the caller disconnects, so
// that its outcome becomes known. claim is nil if the call has no idempotency key.
func (s *Server) sendAtMostOnce(call *serviceCall, w http.ResponseWriter, claim *once.Claim) error {
	abortable, end := s.abortableContext(context.WithoutCancel(call.request.Context()))
	defer end()
	ctx, cancel := s.withDeadline(abortable, call.exchange)
	defer cancel()
	state := s.retryState(call.exchange, call.service.Name, false)
	for {
		u, address, err := s.placeService(call)
		if err != nil {
			s.abandonClaim(claim)
			return err
		}
		resp, err := s.send(ctx, call, u, address, (*transport.Pool).NonIdempotent)
		if err == nil {
			return s.storeAndSend(call, w, claim, u.ID, resp)
		}
		if mayHaveRun(err) {
			s.markUnknown(claim)
			return refusal.Wrap(refusal.OutcomeUnknown, err)
		}
		call.tried = append(call.tried, u.ID)
		if err := s.waitForRetry(ctx, call.exchange, state, err); err != nil {
			s.abandonClaim(claim)
			return err
		}
	}
}

// readResponse reads the body of a response into the buffer. A body whose length is known to exceed it is not read.
// Errors: membudget.ErrTooLarge, and those of membudget.Buffer.ReadFrom.
func (s *Server) readResponse(buffer *membudget.Buffer, resp *http.Response) error {
	if resp.ContentLength > s.opts.MaxBufferedBytes {
		s.metrics.responsesNotKept.WithLabelValues(notKeptTooLarge).Inc()
		return membudget.ErrTooLarge.New("response of %d bytes", resp.ContentLength)
	}
	_, err := buffer.ReadFrom(resp.Body)
	switch {
	case errorx.IsOfType(err, membudget.ErrTooLarge):
		s.metrics.responsesNotKept.WithLabelValues(notKeptTooLarge).Inc()
	case errorx.IsOfType(err, membudget.ErrExhausted):
		s.metrics.responsesNotKept.WithLabelValues(notKeptNoMemory).Inc()
	}
	return err
}

// storeAndSend reads the response, stores it with the claim, bills the call and sends
// the response to the caller. The outcome is unknown if the response is truncated,
// larger than MaxBufferedBytes or more than the VM has memory for, and if its status
// states that the call has not run.
func (s *Server) storeAndSend(call *serviceCall, w http.ResponseWriter, claim *once.Claim, u upstream.ID, resp *http.Response) error {
	defer func() { _ = resp.Body.Close() }()
	if refusal.StatesNotRun(resp.StatusCode) {
		s.markUnknown(claim)
		return unknownOutcome(u, resp.StatusCode)
	}
	buffer := s.responseBuffer(call, u)
	if err := s.readResponse(buffer, resp); err != nil {
		s.markUnknown(claim)
		return refusal.Wrap(refusal.OutcomeUnknown, err)
	}
	body := buffer.Bytes()
	response := storedResponse{Status: resp.StatusCode, Header: make(http.Header), Body: body, Request: call.exchange.ID}
	copyResponseHeaders(response.Header, resp.Header)
	s.completeClaim(claim, response)
	if err := s.billService(call, call.exchange.ID); err != nil {
		return err
	}
	return response.send(call.exchange, w)
}

// unknownOutcome returns the refusal in place of an upstream's response whose status states that the call has not run, although
// no field confirms it: a caller that got it would send the call again.
func unknownOutcome(u upstream.ID, status int) *refusal.Refusal {
	return refusal.New(refusal.OutcomeUnknown).With("Upstream %q answered with status %d.", u, status)
}

// sendStored sends the stored response of an earlier request with the same key. It is
// billed under the id of that request, so that the call is billed only once.
func (s *Server) sendStored(call *serviceCall, w http.ResponseWriter, result []byte) error {
	var stored storedResponse
	if err := json.Unmarshal(result, &stored); err != nil {
		return refusal.Wrap(refusal.OutcomeUnknown, err)
	}
	if stored.Oversize {
		return refusal.New(refusal.OutcomeUnknown).With("The call has run; its answer was too large to be kept.")
	}
	if err := httphead.Check(stored.Status, stored.Header); err != nil {
		// An older build stored what its upstream sent.
		return refusal.Wrap(refusal.OutcomeUnknown, err)
	}
	if refusal.StatesNotRun(stored.Status) {
		return refusal.New(refusal.OutcomeUnknown).With("An earlier request with the key was answered with status %d.", stored.Status)
	}
	if err := s.billService(call, stored.Request); err != nil {
		return err
	}
	return stored.send(call.exchange, w)
}

func (r storedResponse) send(x *Exchange, w http.ResponseWriter) error {
	h := w.Header()
	for name, values := range r.Header {
		h[name] = values
	}
	h.Set(headerRequestID, r.Request)
	w.WriteHeader(r.Status)
	if _, err := io.Copy(w, bytes.NewReader(r.Body)); err != nil {
		return refusal.Wrap(refusal.CallerGone, err)
	}
	return nil
}

// completeClaim stores the response with the claim. If that fails, later requests with
// the key are refused because the outcome is unknown.
func (s *Server) completeClaim(claim *once.Claim, response storedResponse) {
	if claim == nil {
		return
	}
	if len(response.Body) > maxStoredBodyBytes {
		response.Body = nil
		response.Oversize = true
	}
	result, err := json.Marshal(response)
	if err == nil {
		err = s.writeClaim(func(ctx context.Context) error { return claim.Complete(ctx, result) })
	}
	s.countClaimWrite("complete", err)
}

func (s *Server) markUnknown(claim *once.Claim) {
	if claim != nil {
		s.countClaimWrite("mark_unknown", s.writeClaim(claim.MarkUnknown))
	}
}

func (s *Server) abandonClaim(claim *once.Claim) {
	if claim != nil {
		s.countClaimWrite("abandon", s.writeClaim(claim.Abandon))
	}
}

// writeClaim runs a write that ends a claim. Its context is independent of the caller's
// request, which may be cancelled.
func (s *Server) writeClaim(write func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(s.stop.recording, claimWriteTimeout)
	defer cancel()
	return write(ctx)
}

func (s *Server) countClaimWrite(step string, err error) {
	if err != nil {
		step += "_failed"
	}
	s.metrics.claims.WithLabelValues(step).Inc()
}

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
	"github.com/poplarshore/poplarshore/internal/transport"
	"github.com/poplarshore/poplarshore/refusal"
)

// maxKeptBody bounds the body of an answer that is kept for later callers.
const maxKeptBody = 128 << 10

// settleTimeout is the longest time for recording how a claimed call ended.
const settleTimeout = 5 * time.Second

// maxOnceRun bounds a call that runs at most once. It is shorter than the time
// after which a claim without result counts as unknown.
const maxOnceRun = 100 * time.Second

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// keptAnswer is the answer of a call that ran once.
type keptAnswer struct {
	Status  int         `json:"status"`
	Header  http.Header `json:"header"`
	Body    []byte      `json:"body,omitempty"`
	Request string      `json:"request"`
	// Oversize tells that the body was too large to be kept.
	Oversize bool `json:"oversize,omitempty"`
}

// callOnce serves a call that must run at most once. With an idempotency key
// the claim comes first; without one every request counts as a new call, which
// this VM sends once.
func (s *Server) callOnce(call *serviceCall, w http.ResponseWriter) error {
	keys := call.request.Header.Values(call.service.IdempotencyHeader())
	if len(keys) > 1 || (len(keys) == 1 && keys[0] == "") {
		return refusal.New(refusal.KeyInvalid)
	}
	if len(keys) == 0 {
		return s.runOnce(call, w, nil)
	}
	key := once.Key{Account: string(call.x.Client.Account), ID: call.service.Name + "/" + keys[0]}
	outcome, err := s.Claims.Claim(call.request.Context(), key, call.fingerprint())
	if err != nil {
		return s.claimError(err)
	}
	s.metrics.claims.WithLabelValues(outcome.Status.String()).Inc()
	switch outcome.Status {
	case once.Claimed:
		return s.runOnce(call, w, outcome.Claim)
	case once.Done:
		return s.sendKept(call, w, outcome.Result)
	case once.InProgress:
		return refusal.New(refusal.KeyInProgress)
	default:
		return refusal.New(refusal.OutcomeUnknown)
	}
}

func (s *Server) claimError(err error) error {
	switch {
	case errorx.IsOfType(err, once.ErrFingerprint):
		return refusal.Wrap(refusal.KeyReused, err)
	case errorx.IsOfType(err, once.ErrKey):
		return refusal.Wrap(refusal.KeyInvalid, err)
	default:
		return refusal.Wrap(refusal.ClaimsUnavailable, err)
	}
}

// fingerprint stands for the whole request.
func (c *serviceCall) fingerprint() string {
	h := sha256.New()
	for _, part := range []string{c.request.Method, c.path, c.request.URL.RawQuery, c.request.Header.Get("Content-Type")} {
		_, _ = io.WriteString(h, part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(c.body)
	return hex.EncodeToString(h.Sum(nil))
}

// runOnce sends the call. Another upstream is tried only while it is certain
// that none has run it. The call goes on when the caller goes away, so that
// its outcome becomes known.
func (s *Server) runOnce(call *serviceCall, w http.ResponseWriter, claim *once.Claim) error {
	call.x.Deadline = earlier(call.x.Deadline, s.Clock.Now().Add(maxOnceRun))
	ctx, cancel := s.withDeadline(context.WithoutCancel(call.request.Context()), call.x)
	defer cancel()
	state := s.retryState(call.x, call.service.Name, false)
	for {
		u, address, err := s.placeService(call)
		if err != nil {
			s.free(claim)
			return err
		}
		resp, err := s.send(ctx, call, u, address, (*transport.Pool).NonIdempotent)
		if err == nil {
			return s.keepAndSend(call, w, claim, resp)
		}
		if sent(err) {
			s.markUnknown(claim)
			return refusal.Wrap(refusal.OutcomeUnknown, err)
		}
		call.tried = append(call.tried, u.ID)
		if err := s.retry(ctx, call.x, state, err); err != nil {
			s.free(claim)
			return err
		}
	}
}

// keepAndSend reads the whole answer, keeps it with the claim and sends it.
func (s *Server) keepAndSend(call *serviceCall, w http.ResponseWriter, claim *once.Claim, resp *http.Response) error {
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, s.opts.MaxHeldBytes+1))
	if err != nil || int64(len(body)) > s.opts.MaxHeldBytes {
		s.markUnknown(claim)
		return refusal.Wrap(refusal.OutcomeUnknown, err)
	}
	kept := keptAnswer{Status: resp.StatusCode, Header: make(http.Header), Body: body, Request: call.x.ID}
	copyAnswerHeaders(kept.Header, resp.Header)
	s.keep(claim, kept)
	if err := s.billService(call, call.x.ID); err != nil {
		return err
	}
	return kept.send(call.x, w)
}

// sendKept sends the answer that an earlier request with the same key got. It
// is billed under that request's id, so once in all.
func (s *Server) sendKept(call *serviceCall, w http.ResponseWriter, result []byte) error {
	var kept keptAnswer
	if err := json.Unmarshal(result, &kept); err != nil {
		return refusal.Wrap(refusal.OutcomeUnknown, err)
	}
	if kept.Oversize {
		return refusal.New(refusal.OutcomeUnknown).With("The call has run; its answer was too large to be kept.")
	}
	if err := s.billService(call, kept.Request); err != nil {
		return err
	}
	return kept.send(call.x, w)
}

func (k keptAnswer) send(x *Exchange, w http.ResponseWriter) error {
	h := w.Header()
	for name, values := range k.Header {
		h[name] = values
	}
	h.Set(headerRequestID, k.Request)
	w.WriteHeader(k.Status)
	if _, err := io.Copy(w, bytes.NewReader(k.Body)); err != nil {
		return refusal.Wrap(refusal.CallerGone, err)
	}
	return nil
}

// keep records the answer with the claim. Where that fails, later callers with
// the key are told that the outcome is unknown.
func (s *Server) keep(claim *once.Claim, kept keptAnswer) {
	if claim == nil {
		return
	}
	if len(kept.Body) > maxKeptBody {
		kept.Body = nil
		kept.Oversize = true
	}
	result, err := json.Marshal(kept)
	if err == nil {
		err = settle(func(ctx context.Context) error { return claim.Complete(ctx, result) })
	}
	s.countSettled("complete", err)
}

func (s *Server) markUnknown(claim *once.Claim) {
	if claim != nil {
		s.countSettled("mark_unknown", settle(claim.MarkUnknown))
	}
}

func (s *Server) free(claim *once.Claim) {
	if claim != nil {
		s.countSettled("abandon", settle(claim.Abandon))
	}
}

// settle runs a write about a claim's end, which outlives the caller's request.
func settle(write func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	return write(ctx)
}

func (s *Server) countSettled(step string, err error) {
	if err != nil {
		step += "_failed"
	}
	s.metrics.claims.WithLabelValues(step).Inc()
}

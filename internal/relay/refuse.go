package relay

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/poplarshore/poplarshore/limit"
	"github.com/poplarshore/poplarshore/refusal"
)

// writeRefusal sends a refusal to the caller. ctx is that of the caller's request.
func (x *exchange) writeRefusal(ctx context.Context, refused *refusal.Refusal, status int) {
	// Once answered, the caller may close its connection, which ends ctx as well.
	gone := ctx.Err() != nil && !x.readCut
	h, body := x.w.Header(), string(refused.Reason)+"\n"
	if x.hop != nil {
		h.Set(headerRefusal, string(refused.Reason))
		x.server.Protocol.SetResponseID(h, x.request.ID)
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if refused.RetryAfter > 0 && status == http.StatusServiceUnavailable {
		h.Set("Retry-After", strconv.FormatFloat(x.returnAfter(refused).Seconds(), 'f', 3, 64))
	}
	x.askToClose()
	if x.readCut {
		// The http.Server would wait for the rest of the body before it sends the response.
		h.Set("Connection", "close")
	}
	x.limitWrite()
	x.w.WriteHeader(status)
	_, err := x.w.Write([]byte(body))
	if err == nil && x.server.aborting() {
		// The connection may be closed soon, and the log tells whether the caller was answered.
		err = x.control.Flush()
	}
	if err != nil {
		x.server.Log.Debug("failed to write refusal to caller", "request", x.request.ID, "error", err)
	}
	if err != nil || gone {
		x.recordAborted(abortUnsent)
		return
	}
	x.recordAborted(abortAnswered)
}

// refusalStatus returns the HTTP status of a refusal. It does not state that the request has not run once an attempt may have run it.
func (x *exchange) refusalStatus(refused *refusal.Refusal) int {
	if x.retryState.Attempts > 0 {
		return refused.StatusAfterRun()
	}
	return refused.Status
}

// returnAfter returns when a refused caller is told to come back. Callers come back within
// their deadline, and not all at once, except with a request that crashes upstreams.
func (x *exchange) returnAfter(refused *refusal.Refusal) time.Duration {
	if refused.Reason == refusal.Quarantined {
		return refused.RetryAfter
	}
	return limit.SpreadReturn(refused.RetryAfter, x.maxRetryAfter(), x.randFloat())
}

const (
	// Retry-After is at most the remaining time divided by retryAfterDivisor,
	// so that the caller can retry within its deadline.
	retryAfterDivisor = 3
	minRetryAfter     = 50 * time.Millisecond
)

// maxRetryAfter returns the upper bound for the Retry-After sent to a refused
// caller.
func (x *exchange) maxRetryAfter() time.Duration {
	left := x.timeLeft()
	if x.request.Deadline > 0 {
		left = x.request.Deadline - x.server.Clock.Since(x.startedAt)
	}
	return max(left/retryAfterDivisor, minRetryAfter)
}

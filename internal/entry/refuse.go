package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/poplarshore/poplarshore/refusal"
)

// errorBody is the error format of common completion APIs, extended by the field ran.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Type    refusal.Class  `json:"type"`
	Code    refusal.Reason `json:"code"`
	Message string         `json:"message"`
	Ran     refusal.Ran    `json:"ran"`
}

// refuse sends a refusal. Its ran value is RanUnknown if an attempt of the exchange
// may have run, otherwise that of the refusal. Its status does not state that nothing has run then.
func (s *Server) refuse(x *Exchange, w http.ResponseWriter, refused *refusal.Refusal) {
	ran, status := refused.Ran, refused.Status
	if x.ran() == refusal.RanUnknown {
		ran = refusal.RanUnknown
	}
	if ran == refusal.RanUnknown {
		status = refused.StatusAfterRun()
	}
	s.metrics.refusals.WithLabelValues(string(refused.Reason), string(ran)).Inc()
	body, _ := json.Marshal(errorBody{errorDetail{refused.Class, refused.Reason, refused.Message(), ran}})
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(headerRan, string(ran))
	if refused.RetryAfter > 0 && status == refused.Status {
		h.Set("Retry-After", retryAfter(refused.RetryAfter))
	}
	if refused.Reason == refusal.Unauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	if refused.Reason == refusal.BodyTimeout || refused.Reason == refusal.BodyTooLarge ||
		refused.Reason == refusal.MemoryFull || refused.Reason == refusal.Draining {
		h.Set("Connection", "close")
	}
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// retryAfter formats d for the Retry-After header: in seconds, rounded up, at least 1.
func retryAfter(d time.Duration) string {
	return strconv.Itoa(int(math.Max(1, math.Ceil(d.Seconds()))))
}

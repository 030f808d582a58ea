package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/poplarshore/poplarshore/refusal"
)

// errorBody is the usual error shape of completion APIs, with ran.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Type    refusal.Class  `json:"type"`
	Code    refusal.Reason `json:"code"`
	Message string         `json:"message"`
	Ran     refusal.Ran    `json:"ran"`
}

// refuse sends a refusal. What is said of the run is the stronger of the
// refusal's own word and what the exchange has seen.
func (s *Server) refuse(x *Exchange, w http.ResponseWriter, why *refusal.Refusal) {
	ran := why.Ran
	if x.ran() == refusal.RanUnknown {
		ran = refusal.RanUnknown
	}
	s.metrics.refusals.WithLabelValues(string(why.Reason), string(ran)).Inc()
	body, _ := json.Marshal(errorBody{errorDetail{why.Class, why.Reason, why.Message(), ran}})
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(headerRan, string(ran))
	if why.RetryAfter > 0 {
		h.Set("Retry-After", retryAfter(why.RetryAfter))
	}
	if why.Reason == refusal.Unauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	if why.Reason == refusal.BodyTimeout || why.Reason == refusal.BodyTooLarge || why.Reason == refusal.Draining {
		h.Set("Connection", "close")
	}
	w.WriteHeader(why.Status)
	_, _ = w.Write(body)
}

// retryAfter returns whole seconds, at least one.
func retryAfter(d time.Duration) string {
	return strconv.Itoa(int(math.Max(1, math.Ceil(d.Seconds()))))
}

package entry

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/refusal"
)

var namespace = errorx.NewNamespace("entry")

var (
	errConnect    = namespace.NewType("connect")
	errNotStarted = namespace.NewType("not_started")
	errBroken     = namespace.NewType("broken")
	errSilent     = namespace.NewType("silent")
	errAddress    = namespace.NewType("address")
	errLost       = namespace.NewType("lost_race")
)

// hopHeaders concern one connection only (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// headerForwardedKey carries the caller's idempotency key to services. Under
// the usual names net/http would take it as leave to send a request again.
const headerForwardedKey = "Poplarshore-Idempotency-Key"

// replayHeaders are the names that net/http takes as leave to resend.
var replayHeaders = []string{"Idempotency-Key", "X-Idempotency-Key"}

// copyCallHeaders copies a caller's headers for an upstream.
func copyCallHeaders(dst, src http.Header, keyHeader string) {
	copyHeaders(dst, src)
	for _, name := range []string{"Authorization", "Expect", "Content-Length", headerSession, headerDeadline} {
		dst.Del(name)
	}
	key := src.Get(keyHeader)
	for _, name := range append(replayHeaders, keyHeader) {
		dst.Del(name)
	}
	if key != "" {
		dst.Set(headerForwardedKey, key)
	}
}

// copyAnswerHeaders copies an upstream's headers for a caller.
func copyAnswerHeaders(dst, src http.Header) {
	copyHeaders(dst, src)
	dst.Del("Content-Length")
}

func copyHeaders(dst, src http.Header) {
	own := connectionHeaders(src)
	for name, values := range src {
		if own[name] || (strings.HasPrefix(name, "Poplarshore-") && name != headerClass) {
			continue
		}
		dst[name] = append([]string(nil), values...)
	}
}

// connectionHeaders returns the names that concern one connection only.
func connectionHeaders(h http.Header) map[string]bool {
	names := make(map[string]bool, len(hopHeaders))
	for _, name := range hopHeaders {
		names[name] = true
	}
	for _, line := range h.Values("Connection") {
		for _, name := range strings.Split(line, ",") {
			names[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return names
}

func writeJSON(w http.ResponseWriter, status int, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return refusal.Wrap(refusal.InternalFault, err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if _, err := w.Write(body); err != nil {
		return refusal.Wrap(refusal.CallerGone, err)
	}
	return nil
}

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
	errLostRace   = namespace.NewType("lost_race")
)

// hopByHopHeaders apply to a single connection and are not forwarded (RFC 9110,
// section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// headerForwardedKey is the header in which the caller's idempotency key is
// forwarded to services. With one of idempotencyHeaders net/http would consider the
// request idempotent and might send it again.
const headerForwardedKey = "Poplarshore-Idempotency-Key"

// idempotencyHeaders are the headers that make net/http consider a request
// idempotent, so that it resends it after some failures.
var idempotencyHeaders = []string{"Idempotency-Key", "X-Idempotency-Key"}

// copyRequestHeaders copies the headers of a caller's request that are forwarded to
// an upstream. keyHeader is the name of the service's idempotency key header; the key
// is forwarded as headerForwardedKey.
func copyRequestHeaders(dst, src http.Header, keyHeader string) {
	copyEndToEndHeaders(dst, src)
	for _, name := range []string{"Authorization", "Expect", "Content-Length", headerSession, headerDeadline} {
		dst.Del(name)
	}
	key := src.Get(keyHeader)
	for _, name := range append(idempotencyHeaders, keyHeader) {
		dst.Del(name)
	}
	if key != "" {
		dst.Set(headerForwardedKey, key)
	}
}

// copyResponseHeaders copies the headers of an upstream's response that are forwarded
// to a caller.
func copyResponseHeaders(dst, src http.Header) {
	copyEndToEndHeaders(dst, src)
	dst.Del("Content-Length")
}

func copyEndToEndHeaders(dst, src http.Header) {
	hopByHop := hopByHopNames(src)
	for name, values := range src {
		if hopByHop[name] || (strings.HasPrefix(name, "Poplarshore-") && name != headerClass) {
			continue
		}
		dst[name] = append([]string(nil), values...)
	}
}

// hopByHopNames returns the canonical names of the hop-by-hop headers, including those
// listed in the Connection header of h.
func hopByHopNames(h http.Header) map[string]bool {
	names := make(map[string]bool, len(hopByHopHeaders))
	for _, name := range hopByHopHeaders {
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

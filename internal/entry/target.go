package entry

import (
	"net/http"
	"net/url"
	"strings"

	"github.com/poplarshore/poplarshore/internal/target"
)

// checkTarget returns an error if the target of a request can be read in more than one way. Empty segments
// are invalid here, too, as http.ServeMux would redirect to the path without them. Errors: target.ErrInvalid.
func checkTarget(r *http.Request) error {
	path, err := target.Path(r.RequestURI)
	if err == nil && strings.Contains(path, "//") {
		err = target.ErrInvalid.New("path %.100q has an empty segment", path)
	}
	return err
}

// rawPath returns the path of a request whose target is valid, as it is on the request line.
func rawPath(r *http.Request) string {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return path
}

// servicePath returns the path below /services/{service}, as it is on the request line. What may be repeated
// is decided by it, and it is forwarded as it is.
func servicePath(r *http.Request) string {
	rest := rawPath(r)
	for range 3 {
		_, rest, _ = strings.Cut(rest, "/")
	}
	return "/" + rest
}

// withPath returns the URL of an upstream's base URL with a path and a query string that are sent as they are.
func withPath(base *url.URL, path string, query *url.URL) *url.URL {
	u := &url.URL{Scheme: base.Scheme, Host: base.Host, RawQuery: query.RawQuery, ForceQuery: query.ForceQuery}
	u.Opaque = strings.TrimRight(base.EscapedPath(), "/") + path
	return u
}

// rawFingerprint precedes paths that are part of a fingerprint as they are. Decoded paths begin with a slash.
const rawFingerprint = "raw:"

// fingerprintPath returns the path by which claims tell requests apart: decoded, as older builds take it,
// and as it is if its encoding isn't the usual one of the decoded path.
func fingerprintPath(path string) string {
	decoded, err := url.PathUnescape(path)
	if err != nil || (&url.URL{Path: decoded}).EscapedPath() != path {
		return rawFingerprint + path
	}
	return decoded
}

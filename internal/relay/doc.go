// Package relay forwards callers' requests to upstreams and returns the
// responses.
//
// An exchange is the handling of one caller's request. The request is matched
// to a route and a client account, is assigned a version, and is sent to
// upstreams in one or more attempts. Another attempt is made if the upstream
// did not run the request, if the request may run again, if a broken stream can
// be resumed on another upstream, or if a cascade rejects a low-confidence
// response. Exactly one response reaches the caller, unchanged. A response that
// can't be completed is aborted, and a request that can't be served is refused
// as soon as that is certain.
//
// The wire format of callers and upstreams is behind the Protocol interface.
package relay

// Package upconn sends HTTP/1.1 requests to upstreams over pooled connections.
//
// It replaces the client of net/http, which retries some requests by itself and
// accepts the next response on a connection as the response to the request.
// Here, a request is written exactly once, because it may not be safe to repeat,
// and on a connection that was used before, a response is accepted only if it carries the id of
// the request. Stale responses to other requests are skipped.
//
// A head that is that of no response (package httphead) fails the request, as does the end of a body without
// a length while the request is still being written. A connection is not reused if the upstream sends more
// than the response.
package upconn

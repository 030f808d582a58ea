// Package upconn speaks HTTP/1.1 to upstreams on kept connections.
//
// net/http's client repeats some requests by itself, and takes whatever comes
// next on a connection for the answer. Both are wrong here: a call that may
// not be repeated is written once, and an answer is taken only if it bears the
// request's own id; others are passed over. What an upstream sends beyond an
// answer costs it the connection.
package upconn

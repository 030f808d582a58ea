// Package quarantine finds the requests that crash the upstreams which run them, and
// decides which ones to keep out.
//
// A Key is the identity by which later requests are recognized. It is a keyed digest, so
// that logs and messages between VMs contain no text of a request.
package quarantine

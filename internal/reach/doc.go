// Package reach follows whether this VM reaches the upstreams of each service, from what its
// requests meet, and probes them while it doesn't.
//
// While the way to a service is lost, an upstream that fails a request of this VM is not to
// blame, so the VM must not hold it against the upstream, nor tell others.
package reach

// Package peerrelay chooses the VM that relays a request for this one while this VM does not
// reach the upstreams that the request needs.
//
// No VM announces whether it reaches upstreams. The chooser learns that from the VMs that it
// asks: one that relayed a request lately is preferred, and one that refused is left alone
// for a while.
package peerrelay

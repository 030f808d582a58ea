// Package loadshare lets the VMs of a region tell each other what upstreams reported: their
// load, and how fast each of them has proven to be.
//
// Message is the content of a datagram with its encoding, Sender decides when a VM sends and
// what, and Recipients which VMs get it. What is known of the upstreams is kept by the caller.
// A message never has to arrive: without it a VM knows only what it learnt by itself.
//
// The package does no input or output; clock and randomness are given by the caller.
package loadshare

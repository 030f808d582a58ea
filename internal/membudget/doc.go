// Package membudget bounds the memory in which a VM keeps what others send: parts of responses and request bodies.
//
// One Budget is shared by all requests. Each reservation names its holders, such as the upstream that sends a response
// and its service. A holder may keep a fraction of what is still free, as the queues of a shared-memory switch with
// dynamic thresholds do: one that keeps much leaves room for all others, however many there are, and one that keeps
// little is not limited by a share of a fixed size.
package membudget

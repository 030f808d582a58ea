// Package egress sends answers to callers that may read slowly.
//
// An answer is buffered between the upstream and its caller, so that the upstream's response
// is read on while the caller reads slowly. The bytes held are bounded for each answer, each
// client account and the VM. A caller that takes nothing for too long, or that holds up its
// upstream, is ended.
package egress

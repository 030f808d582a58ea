// Package shift decides how the traffic of a service moves to a new version by
// a deadline, without a leader among the VMs.
//
// The state of a shift is one row, which is changed only by compare-and-swap, and
// any VM may write the next state. Plan.Next is a function of the row, of a clock
// that all VMs share, and of the evidence that the VM has. A shift only moves
// forward through its phases:
//
//	waiting -> steps of a growing share -> complete
//	   any of these before complete     -> reverted
//
// An order for another version begins the next shift. A version whose shift did not complete is
// withdrawn then, and no session uses it unless a later order names it. An order that is written
// twice before the deadline, or for the version that the service has, changes nothing.
//
// Sessions stay on the old version for the first half of the duration, because a
// session must not change its version during that time and no VM knows all
// sessions. After that a session moves once, when the share exceeds the hash of its
// key, and does not move back unless the shift is reverted. A version is found bad
// by the sequential test of package rollout on the evidence of all VMs. It is completed
// only if that evidence shows that it is good; otherwise it is reverted shortly before
// the deadline.
package shift

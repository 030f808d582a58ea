// Package shift decides how the traffic of a service moves to a new version by
// a deadline, when no VM is special.
//
// The state of a shift is one row, changed by compare-and-swap alone, and any VM
// may make the next step: Plan.Next is a function of the row, of a clock that
// all VMs share, and of the evidence that the VM has. Phases go one way:
//
//	waiting -> steps of a growing share -> complete
//	   any of these before complete     -> reverted
//
// Sessions stay on the old version through the first half of the time, as a
// session must not change its version then and nobody knows all sessions. From
// then on a session moves once, by the hash of its key against the share, and
// never moves back unless the shift is reverted. A version is found bad by the
// sequential test of package rollout on the evidence of all VMs.
package shift

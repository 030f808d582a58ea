// Package lease implements leases with fencing tokens on a transactional key-value
// table. A lease makes one process at a time the holder of a named job, for
// instance a periodic task that must not run twice concurrently.
//
// # Usage
//
// Manager.Run acquires a job, runs a function while it renews the lease and
// releases the lease when the function returns. Manager.Acquire, Lease.Renew and
// Lease.Release are the individual steps, for callers that schedule them
// themselves. In both cases the holder must
//
//   - call Lease.Check immediately before each side effect, and stop when it
//     returns an error;
//   - send the fencing token, Lease.Fence, with each write to a resource that can
//     compare tokens. The resource must reject any token lower than the highest
//     that it has seen.
//
// # Guarantees
//
// At any time at most one Lease of a job passes Check, provided that the clock
// rates of the processes agree as stated below. A check doesn't extend to the side
// effect that follows it: the process may be paused, or the request delayed,
// between the two. Only the fencing token protects against a side effect that
// arrives after the lease has ended.
//
// # Model
//
// Each job is one row with the holder, the fencing token, the TTL and the ID of
// the last write. The row is replaced by compare-and-swap and never deleted. The
// fencing token increases with every acquisition, also after a release, so it
// orders the holders of a job over the job's whole lifetime.
//
// Wall clocks are never compared between machines. The holder counts its lease on
// its own clock from before it sent the write, and treats the lease as ended
// Options.Margin before the TTL has elapsed. A contender takes over only after it
// has itself observed the same row version for the whole TTL on its own monotonic
// clock, counted from after its first read returned. Two clocks may therefore
// disagree about the length of a second by at most Margin/TTL.
//
// A write whose reply was lost is resolved by reading the row back (package
// settle). A holder that was paused detects the end of its lease at its next
// Check.
//
// # References
//
// The lease and its duration follow Gray and Cheriton, "Leases: an efficient
// fault-tolerant mechanism for distributed file cache consistency" (SOSP 1989);
// the fencing token is the sequencer of Burrows, "The Chubby lock service for
// loosely-coupled distributed systems" (OSDI 2006).
package lease

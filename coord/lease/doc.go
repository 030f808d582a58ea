// Package lease gives jobs that must have one holder at a time a lease in a
// transactional table, with a fencing token and a keeper that renews it.
//
// # Model
//
// Each job is one row: holder, fencing token, time to live and the id of the
// last write. The row is replaced by compare-and-swap and never deleted. The
// fencing token rises with every change of holder, also after a release, so
// that a resource which remembers the highest token it saw can refuse the
// orders of an earlier holder.
//
// No wall clock is compared between machines. The holder counts its lease from
// before the write was sent, on its own clock, and ends it a margin before the
// time to live. A contender takes over only after it has itself seen the same
// row version unchanged for the whole time to live on its own monotonic clock;
// it counts from after its first read returned. Clocks have to agree on the
// length of a second to within margin/TTL.
//
// A write whose reply was lost is settled by reading the row back. A holder
// that was paused learns of its end at the next Check, which has to come right
// before each act. An act that was delayed after its Check is what the fencing
// token is for.
//
// The lease and its duration follow Gray and Cheriton, "Leases: an efficient
// fault-tolerant mechanism for distributed file cache consistency" (SOSP 1989);
// the fencing token is the sequencer of Burrows, "The Chubby lock service for
// loosely-coupled distributed systems" (OSDI 2006).
package lease

// Package ledger records billing entries durably and counts each request exactly once. It needs
// an object store and a table with conditional writes (package store).
//
// # Writing
//
// Each process run has one Writer, identified by its incarnation. The Writer batches entries into
// segments (group commit). A segment is one immutable object, created only if absent, whose key
// consists of the incarnation and a sequence number. Writing the same segment again, by any process
// and at any time, therefore has no effect. Append returns nil once the segment of the entry is
// committed; otherwise its error tells whether the entry was rejected or may still be committed.
//
// While the store is unavailable, entries wait in a backlog of bounded size in memory. Copies of
// uncommitted segments can be sent to a Holder on another VM, which writes them if this process
// does not. Entries that were neither committed nor copied are lost when the process crashes.
//
// # Settling
//
// A Settler adds the entries of the segments to one row per client account, time bucket and shard,
// and then deletes the segments. A row holds the sums together with the (hashed) IDs of the requests
// in them and changes only by compare-and-swap. Replayed segments, duplicate entries and concurrent
// settlers therefore count every request ID once. Call Settler.Settle periodically, Settler.Compact
// to add buckets older than the retention to the account's total row, and Settler.Prune to delete
// the records of old incarnations. Settler.Totals returns the sums of an account.
//
// A request ID is remembered for the retention, by Entry.Time. Entries that arrive after that are
// not counted, because they can no longer be compared; they are stored for an operator under the
// key prefix "late/".
package ledger

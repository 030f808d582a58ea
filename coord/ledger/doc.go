// Package ledger bills each request exactly once on top of an object store and
// a table.
//
// The model: a Writer per process appends entries to segments. A segment is one
// object, created if absent under a key made of the process's incarnation and a
// sequence number, so that writing it again, by anybody and at any time, changes
// nothing. Append returns when the entry's segment is committed, or says what
// became of the entry instead. While the store is down the backlog is bounded,
// and copies of unwritten segments may be left with a peer's Holder.
//
// A Settler folds segments into one row per client account, time bucket and
// shard. The row holds both the sums and the request ids that are in them, and
// changes by compare-and-swap, so that replays, duplicates and concurrent
// settlers count every id once. Folded segments are deleted. Buckets older than
// the retention are added to the account's total row.
package ledger

// Package watch follows tables of the platform's store: it lists a table, then
// long-polls for its changes, and lists it again when the store no longer keeps
// the changes since the last known revision.
//
// A sink never receives rows older than those that it has: a listing or a batch of
// changes with a lower revision is ignored. During an outage of the store the last
// known rows stay valid.
//
// The store may be restored from a copy that is some seconds old. It then begins a new
// era, in which revisions continue from that of the copy. A listing of a later era
// replaces the rows even if its revision is lower; a sink that must not go back to older
// contents compares the contents itself.
package watch

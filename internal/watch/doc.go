// Package watch follows tables of the platform's store: it lists a table, then
// long-polls for its changes, and lists it again when the store no longer keeps
// the changes since the last known revision.
//
// A sink never receives rows older than those that it has: a listing or a batch of
// changes with a lower revision is ignored. During an outage of the store the last
// known rows stay valid.
package watch

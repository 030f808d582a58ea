// Package watch follows tables of the platform's store: it lists a table, then
// takes its changes one long poll after another, and lists it again when the
// store no longer has the history.
//
// What is known never goes back: a listing that is older than what was seen
// before is passed over. While the store is out, what was known last stays.
package watch

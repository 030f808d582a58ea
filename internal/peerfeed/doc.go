// Package peerfeed lets few VMs read the platform's store and pass on what they
// read. In a failure domain with many VMs one of them, the reader, polls the
// store; the others poll the reader by the same rules, and go to the store
// themselves when it does not answer.
//
// A reader passes on only what is fresh: what it knows no longer counts once
// the store has not answered it for Options.MaxAge, so that a reader which is
// cut off from the store holds nobody back.
package peerfeed

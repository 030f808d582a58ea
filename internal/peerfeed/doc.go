// Package peerfeed shares reads of the platform's store among the VMs of a
// region, so that few VMs poll the store. In a region with at least
// Options.MinVMs VMs one of them, the reader, polls the store; the others, its
// followers, poll the reader with the same List and Changes calls. A VM that has
// just started polls one of the seeds in its settings, because it doesn't know
// the other VMs yet.
//
// A VM serves only fresh data. Its data is stale once the store has not answered
// it for Options.MaxAge, so that a reader without a connection to the store
// doesn't delay its followers. A VM that is polled while its data is stale reads
// the store at once and continues to do so for Options.ReaderDuration: a VM that
// others select as the reader becomes the reader.
//
// A VM that gets no response from a reader reads the store itself. If readers
// respond that their data is stale, the store is probably unavailable to all of
// them, and each VM retries it only after Options.StoreRetryDelay.
package peerfeed

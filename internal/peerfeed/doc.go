// Package peerfeed shares reads of the platform's store among VMs, so that few VMs
// poll the store. The VMs form a tree:
//
//   - The fleet's reader polls the store, if the fleet has at least Options.MinFleet VMs.
//   - In a region with at least Options.MinVMs VMs one of them, the region's reader,
//     polls the fleet's reader; the others, its followers, poll the region's reader.
//   - VMs of smaller regions poll the fleet's reader.
//
// All of them use the same List and Changes calls. No VM has a fixed role: all VMs rank
// the candidates in the same way, and a VM that others poll becomes a reader. A VM that
// has just started polls the seeds in its settings, because it doesn't know the other
// VMs yet.
//
// A VM serves only fresh data. Its data is stale once the store has not confirmed it for
// Options.MaxAge. A reader that polls another VM learns how old the data is and counts
// from there, so that a reader without a connection to the store doesn't delay the VMs
// behind it. A VM that is polled while its data is stale reads the store at once and
// remains a reader for Options.ReaderDuration.
//
// Each response also says how old the copy is, counted from the store's confirmation through all VMs on the way. A VM
// whose copy is too old for its bound hedges its poll: it asks the store and other VMs as well, and takes the first newer
// data. This bounds the age of copies whatever readers fail, and in whatever order. A hedge opens new connections: unused
// ones may have been lost together with that of the poll.
//
// A VM that gets no response from a reader reads the store itself. If readers
// respond that their data is stale, the store is probably unavailable to all of
// them, and each VM retries it only after Options.StoreRetryDelay.
//
// Responses also carry the store's clock, because most VMs never call the store, and for how
// long the store has answered without interruption, so that a VM that could not read for a
// while can tell a cut of its own from an outage of the store.
package peerfeed

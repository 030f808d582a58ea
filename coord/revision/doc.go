// Package revision distributes one configuration document per environment to a
// group of nodes, and lets each node prove that it holds the newest version.
//
// A revision is a numbered, immutable document. Its body is an object named by
// its SHA-256 hash; a single table row, the head row, names the newest revision.
// The package has three main types:
//
//   - Publisher accepts new documents. It moves the head row by compare-and-swap,
//     so that concurrent proposals are ordered. The error of a rejected proposal
//     names the revision that was accepted instead.
//   - Node holds the revision that is installed in one process. The number of the
//     installed revision never decreases.
//   - Syncer keeps a Node up to date. It polls the head row at a rate that is
//     constant for the whole group, and exchanges digests with a fixed number of
//     random peers per period (epidemic anti-entropy, Demers et al., PODC 1987).
//
// # Freshness
//
// A node is fresh while it can prove that its revision was the newest one at most
// Options.FreshFor ago. There are two kinds of proof: a read of the head row, by
// the node itself or passed on by a chain of peers; or, while no node reaches the
// store, a recent statement of every other member. A statement says that a node
// had installed a certain revision and had no open proposal at a certain time.
//
// A node that is not fresh must not accept new work. The package doesn't enforce
// this: the caller checks Node.Fresh before each piece of work.
//
// Nodes don't need synchronized clocks. Ages are counted from the time at which a
// request was sent, and are taken from replies only, so that time in transit adds
// to an age and is never left out.
//
// # Use
//
// Create a Node with NewNode, pass it to NewSyncer and, on nodes that accept
// documents, to NewPublisher. Run Syncer.Run in a goroutine. Serve the requests of
// peers with Syncer.HandleExchange (for Peer.Exchange) and Node.Body (for Peer.Fetch).
package revision

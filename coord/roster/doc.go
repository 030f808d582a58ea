// Package roster tracks which members (entry VMs or upstreams) are live, leaving or gone, and spreads
// what one process observes to the others by gossip.
//
// What a process knows about a member is a Record: the combination of all observations, which come
// from the platform's list (it lags), from updates sent by peers, and from the outcome of requests.
// Policy.Merge combines a Record with an observation. It is a pure function and, for updates and
// requests, commutative and idempotent, so that order and repetition do not matter. Leaving is
// permanent within one incarnation: no list, however late, makes a leaving member live again.
//
// A Roster holds the records of one process. A Gossip exchanges updates with random peers: at once
// when an update is new, and otherwise at a fixed interval with a bounded number of updates per
// digest, so that the cost per process does not depend on the number of members. Delivery is
// eventual: peers may see a member in different phases for some seconds.
//
// The caller reports what it observes (Roster.ApplyList, Roster.RecordServed, Roster.RecordRefused,
// Roster.RecordDeparting), serves the peers' exchanges with Gossip.HandleExchange, and implements Directory and
// Peer as the transport.
package roster

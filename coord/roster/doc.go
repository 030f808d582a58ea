// Package roster keeps track of which members (entry VMs or upstreams) are live,
// leaving or gone.
//
// The model: what is known of one member is a Record, the join of all
// observations: the platform's list, which lags; signs passed on by peers; and
// what requests show. Merge is a pure function, and for signs and requests it is
// commutative and idempotent, so that order and repetition do not matter. Leaving is
// permanent within one incarnation: no list, however late, makes a leaving
// member live again.
//
// Roster holds the records of one process. Gossip passes on signs to random
// peers: at once when one is new, and otherwise at a fixed rate and with a fixed
// number of signs per message, so that the cost does not depend on the number
// of members.
package roster

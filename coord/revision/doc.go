// Package revision keeps one configuration document per environment and
// spreads it to every node.
//
// The model: a revision is a numbered, immutable document. Its body is an
// object named by its SHA-256 hash; a single head row names the newest
// revision. Publisher moves the head by compare-and-swap, so that concurrent
// proposals are ordered and the loser learns of the winner. Node holds what one
// process has installed, and only ever moves to a higher number. Spreader polls
// the head row at a rate that is constant for the whole group, and exchanges
// digests with a fixed number of random peers per tick (epidemic anti-entropy,
// Demers et al., PODC 1987).
//
// A node is fresh while it can prove that its revision was the newest one no
// longer ago than Options.FreshFor. The proof is either a read of the head row,
// by itself or by a chain of peers, or, while no node reaches the store, a recent
// statement from every member. A node which is not fresh must not
// give out work. Ages are counted from the time at which a request
// was sent and are taken from replies only, so that transit adds to an age and
// never hides one.
package revision

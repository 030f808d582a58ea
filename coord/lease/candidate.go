package lease

import "github.com/cespare/xxhash/v2"

// IsCandidate reports whether self is one of the count members that should
// contend for job. It returns true if members contains no other member and count
// is positive. Self need not be listed in members.
//
// Restricting a large cluster to a few candidates limits the table reads of
// standby members. It is an optimization only: mutual exclusion doesn't depend on
// it, so members may use different member lists.
//
// Candidates are selected by rendezvous hashing, also called highest random weight
// (Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
// IEEE/ACM Transactions on Networking 1998): when a member leaves, only its own
// place goes to another member.
func IsCandidate(job, self string, members []string, count int) bool {
	selfWeight, rank := rendezvousWeight(job, self), 0
	for _, member := range members {
		if member != self && rendezvousWeight(job, member) > selfWeight {
			rank++
		}
	}
	return rank < count
}

func rendezvousWeight(job, member string) uint64 {
	return xxhash.Sum64String(job + "\x00" + member)
}

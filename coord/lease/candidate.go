package lease

import "github.com/cespare/xxhash/v2"

// IsCandidate reports whether self is one of the count members that should
// contend for the job, and true if no other members are known. With many
// members it keeps the reads of the standbys few; it has no part in safety, so
// members may differ in their lists.
//
// The choice is by highest random weight (Thaler and Ravishankar, "Using
// name-based mappings to increase hit rates", IEEE/ACM Transactions on
// Networking 1998).
func IsCandidate(job, self string, members []string, count int) bool {
	own, higher := weight(job, self), 0
	for _, member := range members {
		if member != self && weight(job, member) > own {
			higher++
		}
	}
	return higher < count
}

func weight(job, member string) uint64 {
	return xxhash.Sum64String(job + "\x00" + member)
}

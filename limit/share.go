package limit

// shareInput holds the values from which a VM computes its share of a limit.
// Demands are fractions of the limit.
type shareInput struct {
	// demandFloor is the minimum demand that is counted for each VM.
	demandFloor float64
	// ownDemand is the lowest demand of this VM within the window.
	ownDemand float64
	// peerDemand is the sum of the last reported demands of the reachable VMs
	// other than this one.
	peerDemand float64
	// members is the number of VMs including this one, unreachable the number of
	// those that cannot be reached.
	members     int
	unreachable int
}

// share returns the fraction of the limit that this VM may use. Unreachable VMs
// keep an even share each. The remainder is divided among the reachable VMs: in
// proportion to demand if the total demand exceeds it, otherwise as demand plus an
// even part of what is left.
func (s shareInput) share() float64 {
	reachable := float64(s.members - s.unreachable)
	reachableShare := reachable / float64(s.members)
	ownDemand, totalDemand := s.ownDemand/reachableShare, (s.ownDemand+s.peerDemand)/reachableShare
	if totalDemand > 1 {
		return reachableShare * ownDemand / totalDemand
	}
	return reachableShare * (ownDemand + (1-totalDemand)/reachable)
}

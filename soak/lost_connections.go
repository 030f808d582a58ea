package soak

import (
	"context"
	"math/rand/v2"
)

// lostConnectionsFault lets open connections to the store fall silent for good while new ones work. It is a kind of its own
// list, because the seeds of regressions depend on the number of faultKinds.
var lostConnectionsFault = faultKind{"connections_lost", (*injector).loseStoreConnections}

// loseStoreConnections makes all open connections between some VMs and the store carry nothing any more. It is no
// disturbance: each VM can open a new connection, so that changes are to arrive within their bounds.
func (f *injector) loseStoreConnections(_ context.Context, rng *rand.Rand) {
	count := 1 + rng.IntN(len(f.bed.vms))
	for _, i := range rng.Perm(len(f.bed.vms))[:count] {
		f.bed.vms[i].storeLink.LoseConnections()
	}
}

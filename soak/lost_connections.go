package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
)

// allConnectionsFault lets all open connections of all VMs fall silent for good, also those to upstreams and between VMs.
var allConnectionsFault = faultKind{"all_connections_lost", (*injector).loseAllConnections}

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

// loseAllConnections makes all open connections of all VMs to the store, to upstreams and to each other carry nothing any
// more. Requests that wait at upstreams are lost with them, but changes are to arrive within their bounds.
func (f *injector) loseAllConnections(ctx context.Context, _ *rand.Rand) {
	defer f.bed.upstreamDisturbances.begin()()
	for _, v := range f.bed.vms {
		v.storeLink.LoseConnections()
		v.callControl(ctx, http.MethodPost, LossPath, "")
	}
}

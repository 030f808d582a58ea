// Package route chooses the upstream that a request is sent to.
//
// The model: a Source holds the upstreams in sight of this VM for one model
// version or plain service. A Policy draws a bounded sample from it, drops the
// candidates that a Filter refuses, adds up the Scorers' costs of the rest and
// picks the cheapest. The upstreams that hold the prompt's prefix and the one
// that the session prefers join the sample, so the cost of a decision depends
// on the size of the sample and not on the number of upstreams.
//
// All costs are in seconds. Billed volume becomes seconds by a rate of
// exchange and by the contract's weights (see Price). A lower cost is better.
//
//	policy := route.NewPolicy(route.DefaultOptions())
//	view, ok := state.View(loadstate.Key{Ref: ref}, now)
//	req := route.Request{Refs: refs, Region: region, Draw: rng.Uint64(), Hints: hints}
//	d, err := policy.Select(&req, view)
//
// RoundRobin, LeastRequests, Random and HotCold are small policies with the
// same Select; they serve as baselines and for plain services. Nothing here
// reads a clock, does I/O or starts a goroutine, and randomness comes from
// Request.Draw.
//
// Published sources: Mitzenmacher, "The Power of Two Choices in Randomized Load
// Balancing" (TPDS 2001); Wydrowski et al., "Load is not what you should
// balance: Introducing Prequal" (NSDI 2024); Mirrokni, Thorup and
// Zadimoghaddam, "Consistent Hashing with Bounded Loads" (SODA 2018); Thaler
// and Ravishankar, "Using name-based mappings to increase hit rates" (ToN 1998).
package route

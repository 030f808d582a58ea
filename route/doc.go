// Package route selects the upstream that a request is sent to.
//
// A Source lists this VM's candidate upstreams for one model version or plain
// service. A Policy draws a bounded sample of them, drops the candidates that a
// Filter refuses, sums the costs that the Scorers give to the rest and picks the
// cheapest. Upstreams that probably have the prompt's prefix cached, the upstream
// of the session and the home upstream of the prefix are added to the sample. The
// cost of a decision therefore depends on the size of the sample and not on the
// number of upstreams, unless many candidates are refused.
//
// All costs are in seconds; a lower cost is better. The price of billed traffic
// is converted to seconds with a fixed rate and the contract's weights (see
// PriceScorer).
//
//	policy := route.NewPolicy(route.DefaultOptions())
//	view, ok := state.View(loadstate.Key{Ref: ref}, now)
//	req := route.Request{Refs: refs, Region: region, Draw: rng.Uint64(), Hints: hints}
//	d, ok := policy.Select(&req, view)
//
// RoundRobin, LeastRequests, Random and HotCold are simple policies that also
// implement Selector; they are used as baselines and for plain services. The
// package does not read a clock, do I/O or start goroutines, and its only source
// of randomness is Request.Draw.
//
// References: Mitzenmacher, "The Power of Two Choices in Randomized Load
// Balancing" (TPDS 2001); Wydrowski et al., "Load is not what you should
// balance: Introducing Prequal" (NSDI 2024); Mirrokni, Thorup and
// Zadimoghaddam, "Consistent Hashing with Bounded Loads" (SODA 2018); Thaler
// and Ravishankar, "Using name-based mappings to increase hit rates" (ToN 1998).
package route

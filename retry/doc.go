// Package retry decides what happens after an attempt failed or is slow.
//
// The model: one State describes a request over all of its attempts, also over
// the steps of a cascade, so that retries happen at one level only. Policy.Decide
// answers a Failure with Retry, or with GiveUp and its reason; Policy.DecideHedge
// answers a slow attempt with Hedge or Wait. An attempt that may have run is
// never repeated unless the request may be.
//
// Retries and hedges are paid from two Budgets: the client account's and the
// upstream group's. Every first attempt deposits a part of a token and every
// further attempt takes a whole one, so that attempts stay within a fixed ratio
// of the load and an overload is not fed by its own failures.
//
// Breakers keeps a circuit breaker for each upstream with version, and for each
// version over all upstreams. It serves as the gate of package loadstate.
//
//	budgets := retry.NewBudgets(retry.DefaultBudgetOptions())
//	policy := retry.NewPolicy(retry.DefaultOptions(), budgets)
//	policy.Begin(state, now)               // each request once
//	v := policy.Decide(state, failure, draw, now)
//
// All types are safe for concurrent use. Time and randomness are parameters.
//
// Published sources: Brooker, "Exponential Backoff And Jitter" (AWS
// Architecture Blog, 2015); Bronson et al., "Metastable Failures in Distributed
// Systems" (HotOS 2021); Dean and Barroso, "The Tail at Scale" (CACM 2013).
package retry

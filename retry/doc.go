// Package retry decides whether a failed attempt is retried and whether a slow
// attempt is hedged. It also provides the retry budgets and circuit breakers.
//
// One State describes a request over all of its attempts, including the steps of
// a cascade, so that retries happen at one level only. Policy.Decide returns
// Retry for a Failure, or GiveUp and the reason. Policy.DecideHedge returns Hedge
// or Wait for a slow attempt. An attempt that may have run is not repeated unless
// the request is repeatable.
//
// Retries and hedges consume two budgets: the client account's and the upstream
// group's. With Budgets, every first attempt adds a fraction of a token and every
// additional attempt consumes one token. Additional attempts therefore stay
// within a fixed ratio of the load, and failures cannot amplify an overload.
// WindowBudgets enforces the same kind of limit over a sliding window.
//
// Breakers holds a circuit breaker for each combination of upstream and version,
// and for each version over all upstreams. It implements loadstate.Breakers.
// RepeatEstimator limits repeats of requests that fail on every upstream.
//
//	budgets := retry.NewBudgets(retry.DefaultBudgetOptions())
//	policy := retry.NewPolicy(retry.DefaultOptions(), budgets)
//	policy.Begin(state, now)               // once per request
//	decision := policy.Decide(state, failure, draw, now)
//
// Policy, Budgets, WindowBudgets, Breakers and RepeatEstimator are safe for
// concurrent use; a State belongs to one request. Time and randomness are
// parameters.
//
// Published sources: Brooker, "Exponential Backoff And Jitter" (AWS
// Architecture Blog, 2015); Bronson et al., "Metastable Failures in Distributed
// Systems" (HotOS 2021); Dean and Barroso, "The Tail at Scale" (CACM 2013).
package retry

// Package limit enforces the rate and concurrency limits of client accounts and
// controls the admission of requests to the engines of a model.
//
// Limiter divides the limits of each client account among the VMs. The VMs
// coordinate only through periodic reports. Each VM owns a share of a limit, 0 to
// 1, and admits requests from local token buckets (Admit, Ticket.Settle). It
// publishes its demand as a fraction of the limit (Report) and receives the demand
// of the other VMs (Observe). While the total demand is within the limit, the share
// of a VM is its demand plus an even part of the remainder; otherwise shares are
// proportional to demand.
//
// The shares never sum to more than the limit while reports arrive in time: a VM
// uses the lowest of its own published demands within a window that is longer than
// the time a report can take, so no other VM uses a lower value for it. VMs that
// cannot be reached keep an even share each, so the two sides of a network
// partition together stay within the limit. The bounds are derived in
// docs/design/limit.md.
//
// Gate bounds the requests in flight for one model on this VM. It combines an
// adaptive concurrency limit (Adaptive) with a Queue that orders by priority, is
// fair between client accounts and refuses work that is not expected to complete by
// its deadline.
//
// WindowGate does the same for a service whose upstreams report their load: its limit (Window)
// exists only while there are signs of overload.
//
//	limiter := limit.New(limit.DefaultOptions(self, incarnation))
//	limiter.SetMembers(ids)
//	ticket, err := limiter.Admit(account, limits, limit.Estimate{Tokens: n}, now)
//	defer func() { ticket.Settle(used, now) }()
//	permit, err := gate.Acquire(ctx, limit.Work{Account: account, Priority: p, Deadline: d})
//	defer func() { permit.Release(outcome) }()
//
// Every error is a *refusal.Refusal with a retry delay. Time is a parameter or comes
// from an injected clock. The package starts no goroutines.
//
// References: Shreedhar and Varghese, "Efficient Fair Queueing using Deficit Round
// Robin" (SIGCOMM 1995); Chiu and Jain, "Analysis of the Increase and Decrease
// Algorithms for Congestion Avoidance" (1989).
package limit

// Package limit holds client accounts to their limits and requests to what the
// engines can take.
//
// The model: Limiter divides each client account's limits among the VMs without
// any coordination but slow reports. Each VM holds a share of a limit, 0 to 1,
// and admits requests from its own token buckets (Admit, Ticket.Settle). It
// publishes its demand in parts of the limit (Report) and reads the other VMs'
// (Observe). While the whole demand fits, a VM's share is its demand and an even
// part of the rest; otherwise shares are in proportion to demand.
//
// Shares never add up to more than the limit while reports arrive in time,
// because a VM counts its own demand at the lowest value of a window that is
// longer than a report can take, so that no other VM counts it lower. VMs that
// are not heard keep an even part each, so that two sides that are apart hold
// together no more than the limit. The bounds are in docs/design/limit.md.
//
// Gate bounds the requests in flight for one model on this VM: an adaptive limit
// (Adaptive), and a Queue by priority that is fair between client accounts and
// refuses what can't be done by its deadline.
//
//	limiter := limit.New(limit.DefaultOptions(self, incarnation))
//	limiter.SetMembers(ids)
//	ticket, err := limiter.Admit(account, limits, limit.Estimate{Tokens: n}, now)
//	defer func() { ticket.Settle(used, now) }()
//	pass, err := gate.Enter(ctx, limit.Work{Account: account, Priority: p, Deadline: d})
//	defer func() { pass.Leave(outcome) }()
//
// Every error is a *refusal.Refusal that says when to come back. Time is a
// parameter or an injected clock; no goroutines are started.
//
// Published sources: Shreedhar and Varghese, "Efficient Fair Queueing using
// Deficit Round Robin" (SIGCOMM 1995); Chiu and Jain, "Analysis of the Increase
// and Decrease Algorithms for Congestion Avoidance" (1989).
package limit

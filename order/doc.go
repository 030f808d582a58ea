// Package order brings model engines to their desired state by orders.
//
// # Model
//
// The desired state of an engine is a set of items (model versions and
// adapters) and a role, with a generation that rises with every change. An order
// carries a whole target, not a step, so that repeating it does no harm. Plan
// compares the desired with the observed state and decides the next order of
// each engine; it is a pure function. Reconciler reads the states, calls Plan
// and sends the orders, round after round, for the holder of a lease.
//
// An order is sent only while the lease is held, which is checked right before,
// and bears the lease's fencing token. Engines that fence refuse orders with an
// older token. On a change of holder each of them is sent an order with the new
// token even if its state is right, so that late orders of the earlier holder
// are refused from then on.
//
// Engines that do not fence take any order. For them a new holder waits until
// the longest order of the earlier holder must have ended, and decides only on a
// state read after that. An order that was delayed beyond all bounds shows as a
// difference at the next round and is corrected. The same wait applies after an
// order of unknown outcome, before a different one is sent.
//
// Nothing with requests in flight is unloaded, and the role changes only on an
// idle engine. Loads draw on a token bucket, since the weight store is rate
// limited; it starts empty, so that a change of holder adds no burst.
//
// Level-triggered reconciliation follows Burns et al., "Borg, Omega, and
// Kubernetes" (ACM Queue 2016).
package order

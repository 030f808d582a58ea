// Package order reconciles model engines with their desired state by sending them orders.
//
// # Model
//
// The desired state of an engine is a set of items (model versions and adapters) and a
// role, with a generation that increases with every change. An order contains the
// complete target state rather than a step, so it is idempotent. Plan compares the
// desired with the observed state and decides the next order for each engine; it is a
// pure function. Reconciler periodically reads the states, calls Plan and sends the
// orders while its VM holds a lease.
//
// An order is sent only while the lease is held, which is checked immediately before
// sending, and contains the fencing token of the lease. Engines that support fencing
// reject orders with an older token. After a change of holder each of them is sent an
// order with the new token even if its state is already correct, so that late orders of
// the earlier holder are rejected from then on.
//
// Engines without fencing accept any order. For these a new holder waits until the last
// orders of the earlier holder must have completed (Policy.LongestOrder), and uses only
// states read after that. An order that is delayed even longer causes a difference that
// the next round corrects. The same wait applies after an order of unknown outcome,
// before a different order is sent.
//
// Items with requests in flight are not unloaded, and the role changes only on an idle
// engine. A token bucket limits the rate of loads because the weight store is rate
// limited. The bucket starts empty so that a change of holder does not cause a burst.
//
// Level-triggered reconciliation follows Burns et al., "Borg, Omega, and
// Kubernetes" (ACM Queue 2016).
package order

// Package exposure measures how many requests a bad version serves until it is
// stopped everywhere, and how often a good one is stopped by mistake.
//
// Requests arrive at seven VMs in three failure domains, where rollout.Guard assigns
// each to a version. A fifth of the answers are rated, a few seconds later. VMs
// report to the holder of the roll-out job, which calls rollout.Decide; a changed
// roll-out row reaches each VM after a delay. The simulation advances in steps of
// one second. Every request belongs to a separate session.
//
// The baseline sends a fixed share of requests to the new version on all VMs.
// Operators stop it manually a fixed time (ManualStopDelay) after it turned bad,
// whatever the fault.
package exposure

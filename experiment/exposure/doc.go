// Package exposure measures how many requests a bad version serves until it is
// stopped everywhere, and how often a good one is stopped by mistake.
//
// Requests arrive at a few VMs in three failure domains and are given a version
// by rollout.Guard. A fifth of the answers are rated, some seconds late. VMs
// report to the holder of the roll-out job, which calls rollout.Decide; a new
// row reaches each VM after a delay. Time goes in steps of a second. Each
// request is a session of its own.
//
// The baseline gives a fixed share to the new version everywhere; operators stop
// it by hand some minutes after it turned bad, whatever the fault.
package exposure

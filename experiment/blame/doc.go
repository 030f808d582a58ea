// Package blame measures how often the quarantine of requests that crash upstreams errs: such
// requests go on reaching upstreams, or sound requests are kept out.
//
// Requests arrive at random at unevenly loaded VMs and run on upstreams, which end under
// some of them, end for other reasons, and are back after some seconds. Each VM has a real
// guard; messages between VMs are delayed and lost, VMs are replaced and cut off. The
// simulation advances in ticks.
package blame

// Package fragile measures how often upstreams that end if they have to reject requests do
// so, against the service that VMs give up to prevent it.
//
// Requests arrive at random at unevenly loaded VMs, run on upstreams with a number of
// places, and are rejected beyond it. An upstream that rejects more than it tolerates in a
// second ends with all that it runs, and is back empty after some seconds. The VMs know
// their own requests, what upstreams reported with their last answer, and what hints tell;
// all of it late. The simulation advances in ticks.
package fragile

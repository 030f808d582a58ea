// Package reachability decides whether a VM has lost its way to the upstreams of a service.
//
// An upstream that can't be reached is no news: it may have ended. But if several can't, and
// nothing comes from any other, the fault is likely this VM's own, and other VMs may still
// reach them. The decision is pure: contacts and the time are parameters.
package reachability

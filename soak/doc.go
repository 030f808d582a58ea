// Package soak runs gateways as separate processes on loopback against stand-ins
// of the users' platform, and injects faults from outside the processes at random
// times that are drawn from a seed:
//   - links that delay data, drop it in one or both directions, or reset connections
//   - processes that are stopped, paused, killed and restarted by signals
//   - a store that rejects calls, loses responses, does not respond or drops its history
//   - upstreams that respond with errors, become unreachable or are replaced
//   - upstreams that send bytes without end, to VMs with little memory
//   - connections to the store that fall silent for good while new ones work
//   - new configurations, also large ones and storms of them, revoked keys and roll-outs
//
// The checks compare the responses that callers received with the requests that
// upstreams ran. They never rely on what a gateway reports about itself. Time bounds
// are only checked for VMs that have been undisturbed for Bounds.SettleTime, and allow for the time in which the host
// did not run the soak.
package soak

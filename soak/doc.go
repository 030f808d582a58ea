// Package soak runs gateways as processes of their own on loopback, before
// stand-ins of the users' platform, and injects faults from outside them by a
// seeded schedule: connections that are delayed, reset, cut one way or silent,
// processes that are stopped, paused, killed and restarted by signals, a store
// that refuses, loses answers, falls silent or forgets its history, upstreams
// that fail, crash or leave, and operators that change the configuration, take
// keys away and roll versions out meanwhile.
//
// What is checked is what callers got and what upstreams ran, never what a
// gateway says of itself. Bounds in time hold for VMs that are in touch: calm
// for the time Bounds.Contact, as the platform's pages say it.
package soak

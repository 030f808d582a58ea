// Package document defines the configuration document of an environment: client
// accounts, contracts, models, upstreams, roll-outs, withdrawals, cascades and
// takeover rules.
//
// A document is JSON with comments. Parse decodes and validates it and returns all
// faults at once, each with its line and column. NewIndex compiles a valid document
// into an Index, which is immutable and provides the lookups of each request without
// searching lists.
//
// The same bytes are used in the trial environment and in production. A document
// therefore contains no addresses and no secrets; these are in the settings of each
// process (package settings).
package document

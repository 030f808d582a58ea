// Package routing defines the configuration of a gateway: which services the
// requests for a host and path are sent to, which client accounts may call, and
// the limits and latency objectives of each route.
//
// A Config is a configuration as the operators supplied it; Compile builds a Table
// from it for fast lookups. Neither is modified after it was created: a new
// configuration gets a new Table.
package routing
